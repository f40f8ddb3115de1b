#include "looptasks.h"
#include "storememory.h"
#include "virtualrun.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

namespace {

using namespace Verbena::Bench;

double milliseconds(std::chrono::microseconds span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

nlohmann::json toJson(const SpreadFigures &figures)
{
    return {{"processes", figures.processes},
        {"changes", figures.changes},
        {"p50_ms", milliseconds(figures.delayQuantile(0.5))},
        {"p99_ms", milliseconds(figures.delayQuantile(0.99))},
        {"worst_ms", milliseconds(figures.delayQuantile(1))},
        {"bytes_sent_per_process_second", figures.bytesPerProcessSecond},
        {"messages_sent_per_process_second", figures.messagesPerProcessSecond},
        {"table_reads_per_second", figures.tableReadsPerSecond},
        {"processor_share_per_process", figures.processorShare},
        {"heap_bytes_per_process", figures.heapBytesPerProcess}};
}

nlohmann::json toJson(const StoreFigures &figures)
{
    return {{"organisations", figures.organisations},
        {"row_bytes", figures.rowBytes},
        {"store_heap_bytes", figures.storeHeapBytes},
        {"in_force_heap_bytes", figures.inForceHeapBytes},
        {"change_ns", figures.changeNanoseconds},
        {"start_ns", figures.startNanoseconds}};
}

nlohmann::json toJson(const StartFigures &figures)
{
    return {{"organisations", figures.organisations}, {"until_ready_ms", milliseconds(figures.untilReady)}, {"processor_seconds", figures.processorSeconds}};
}

} // namespace

// Usage: bench_control virtual PROCESSES CHANGES | loopback PROCESSES CHANGES | store ORGANISATIONS | start ORGANISATIONS. Prints one JSON object.
int main(int argc, char **argv)
{
    const std::string mode = argc > 2 ? argv[1] : "";
    const int size = argc > 2 ? std::atoi(argv[2]) : 0;
    const int changes = argc > 3 ? std::atoi(argv[3]) : 20;
    if (mode == "virtual") {
        std::cout << toJson(runVirtually(size, changes, 1)).dump() << '\n';
    } else if (mode == "loopback") {
        std::cout << toJson(runOnLoopback(size, changes)).dump() << '\n';
    } else if (mode == "store") {
        std::cout << toJson(measureStore(size)).dump() << '\n';
    } else if (mode == "start") {
        std::cout << toJson(runStart(size)).dump() << '\n';
    } else {
        std::cerr << "Usage: bench_control virtual PROCESSES CHANGES | loopback PROCESSES CHANGES | store ORGANISATIONS | start ORGANISATIONS\n";
        return 2;
    }
    return 0;
}
