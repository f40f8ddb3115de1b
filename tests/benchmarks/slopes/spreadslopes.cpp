#include "measure.h"
#include "slopelist.h"

#include <support/virtualspread.h>

#include <algorithm>
#include <cmath>

namespace Verbena::Bench {

namespace {

using namespace std::chrono_literals;
using Test::VirtualSpread;

constexpr int changes = 30;
constexpr std::size_t peersEach = 16;

/// What changes cost and how long they take among processes that know a few peers each, in virtual time.
struct SpreadFigures
{
    double worstMilliseconds = 0;
    double p99Milliseconds = 0;
    double messagesEach = 0; ///< To one process, a second.
    double bytesEach = 0; ///< To one process, a second, without the transport's own.
};

double milliseconds(std::chrono::nanoseconds span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

SpreadFigures spread(int processes)
{
    Test::VirtualSpreadOptions options;
    options.processes = static_cast<std::size_t>(processes);
    options.peersEach = peersEach;
    options.isHistoryKept = false;
    VirtualSpread virtualSpread(options);
    virtualSpread.commit({{"settings/models/analyst", std::string(320, 'x')}});
    virtualSpread.run(30s);
    const std::uint64_t messagesBefore = virtualSpread.messages;
    const std::uint64_t bytesBefore = virtualSpread.messageBytes;
    const Core::TimePoint begin = virtualSpread.now();
    std::vector<double> spans;
    for (int i = 0; i < changes; ++i) {
        const Core::TimePoint accepted = virtualSpread.now();
        const std::uint64_t revision = virtualSpread.commit({{"settings/models/model" + std::to_string(i % 10), std::string(320, 'y')}});
        virtualSpread.run(10s);
        for (std::size_t process = 0; process < options.processes; ++process) {
            const auto inForce = virtualSpread.inForceAt(process, revision);
            spans.push_back(inForce ? milliseconds(*inForce - accepted) : std::numeric_limits<double>::infinity());
        }
    }
    std::sort(spans.begin(), spans.end());
    const double seconds = milliseconds(virtualSpread.now() - begin) / 1000;
    SpreadFigures figures;
    figures.worstMilliseconds = spans.back();
    figures.p99Milliseconds = spans[spans.size() * 99 / 100];
    figures.messagesEach = static_cast<double>(virtualSpread.messages - messagesBefore) / processes / seconds;
    figures.bytesEach = static_cast<double>(virtualSpread.messageBytes - bytesBefore) / processes / seconds;
    return figures;
}

} // namespace

std::vector<Slope> spreadSlopes()
{
    Slope worst{"spread_worst_time", "doublings of processes", "ms", {}};
    Slope p99{"spread_p99_time", "doublings of processes", "ms", {}};
    Slope messages{"spread_messages", "doublings of processes", "messages/s a process", {}};
    Slope bytes{"spread_bytes", "doublings of processes", "bytes/s a process", {}};
    for (const int processes : {128, 1'024, 4'096, 13'000}) {
        const double doublings = std::log2(processes);
        const SpreadFigures figures = spread(processes);
        worst.points.push_back({doublings, figures.worstMilliseconds});
        p99.points.push_back({doublings, figures.p99Milliseconds});
        messages.points.push_back({doublings, figures.messagesEach});
        bytes.points.push_back({doublings, figures.bytesEach});
    }
    return {worst, p99, messages, bytes};
}

} // namespace Verbena::Bench
