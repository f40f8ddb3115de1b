#include "measure.h"
#include "slopelist.h"

#include <decisions/gate/admissiongate.h>

#include <memory>

namespace Verbena::Bench {

namespace {

using namespace Decisions;

constexpr int piecesPerRun = 16; // A prompt of about 32,000 tokens.
constexpr std::size_t keptRuns = 1024;
const ModelVersion analyst{"analyst", "wall", "7"};

Core::TimePoint at(int milliseconds)
{
    return Core::TimePoint(std::chrono::milliseconds(milliseconds));
}

std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    return value ^ (value >> 27);
}

RequestRef requestRef(int number)
{
    return {"request-" + std::to_string(1'000'000'000 + number), 1};
}

std::vector<PrefixKey> promptKeys(int run)
{
    std::vector<PrefixKey> keys;
    keys.reserve(piecesPerRun);
    for (int piece = 0; piece < piecesPerRun; ++piece) {
        keys.push_back(PrefixKey{mixed(static_cast<std::uint64_t>(run) * piecesPerRun + static_cast<std::uint64_t>(piece) + 1)});
    }
    return keys;
}

/// Stores the blocks of one run after the other, one event a block, as the chattiest engines do.
void storeBlocks(CacheIndex &index, int first, int count)
{
    std::uint64_t sequence = static_cast<std::uint64_t>(first);
    for (int run = first / piecesPerRun; run < (first + count) / piecesPerRun; ++run) {
        index.recordRunStarted(requestRef(run), analyst, promptKeys(run));
        for (int piece = 0; piece < piecesPerRun; ++piece) {
            ++sequence;
            CacheEvent event{1, sequence, CacheEvent::Kind::Stored, {BlockId{sequence}}, requestRef(run), static_cast<std::uint32_t>(piece)};
            index.handleEvent(event, at(run));
        }
    }
}

std::unique_ptr<CacheIndex> filledIndex(int blocks)
{
    auto index = std::make_unique<CacheIndex>(CacheIndexOptions{.maximumEntries = static_cast<std::size_t>(blocks), .maximumRuns = keptRuns});
    index->setIncarnation(1);
    storeBlocks(*index, 0, blocks);
    return index;
}

double bytesOfIndex(int blocks)
{
    return heapBytesOf([blocks] { return filledIndex(blocks); });
}

/// Each event stores a block in a full index of the target's size, so that an old entry goes with it.
double timeOfEvents(int events)
{
    constexpr int blocks = 52'000 / piecesPerRun * piecesPerRun;
    const auto index = filledIndex(blocks);
    int stored = blocks;
    return processorNanoseconds([&] {
        storeBlocks(*index, stored, events);
        stored += events;
    });
}

GateRequest gateRequest(int number, int organisations, Core::TimePoint arrival)
{
    GateRequest request;
    request.ref = requestRef(number);
    request.flow = {"organisation" + std::to_string(number % organisations), "team", "urgent"};
    request.version = analyst;
    request.keys = promptKeys(number % 100);
    request.promptTokens = piecesPerRun * 2048;
    request.maximumTokens = 450;
    request.deadline = arrival + std::chrono::minutes(2);
    return request;
}

/// A whole request, from submit() to the end of its run.
void runRequest(AdmissionGate &gate, int number, Core::TimePoint now)
{
    constexpr int organisations = 200;
    keep(gate.submit(gateRequest(number, organisations, now), now));
    keep(gate.handleFirstToken(requestRef(number), 2048, now));
    keep(gate.handleRunEnded(requestRef(number), {RunEnd::Complete, 32768, 2048, 450}, now));
}

double timeOfRequests(int requests)
{
    constexpr int millisecondsBetween = 300; // Of the target's 3.3 requests a second; copies are remembered for minutes.
    AdmissionGate gate;
    gate.setEngineIncarnation(1);
    gate.setServed({analyst}, at(0));
    int next = 0;
    return processorNanoseconds([&] {
        for (const int end = next + requests; next < end; ++next) {
            runRequest(gate, next, at(next * millisecondsBetween));
        }
    });
}

double bytesOfGate(int requests)
{
    return heapBytesOf([requests] {
        auto gate = std::make_unique<AdmissionGate>();
        gate->setEngineIncarnation(1);
        gate->setServed({analyst}, at(0));
        for (int i = 0; i < requests; ++i) {
            runRequest(*gate, i, at(i));
        }
        return gate;
    });
}

std::vector<FlowShare> shares(int organisations)
{
    std::vector<FlowShare> result;
    for (int i = 0; i < organisations; ++i) {
        result.push_back({"organisation" + std::to_string(i), 1.0, "dams", 2.0});
        result.push_back({"organisation" + std::to_string(i), 1.0, "sites", 1.0});
    }
    return result;
}

double bytesOfShares(int organisations)
{
    const std::vector<FlowShare> given = shares(organisations);
    return heapBytesOf([&given] {
        auto queue = std::make_unique<FairQueue>();
        queue->setShares(given);
        return queue;
    });
}

/// Processor time for a queue entry that comes and goes while \a flows others wait.
double timeOfQueueEntry(int flows)
{
    constexpr int entries = 10'000;
    FairQueue queue;
    const std::chrono::microseconds work(1000);
    std::uint64_t next = 0;
    for (int i = 0; i < flows; ++i) {
        queue.push({"organisation" + std::to_string(i), "team", "urgent"}, {QueueEntryId{++next}, work});
    }
    return processorNanoseconds([&] {
        for (int i = 0; i < entries; ++i) {
            queue.push({"organisation" + std::to_string(i % flows), "team", "urgent"}, {QueueEntryId{++next}, work});
            keep(queue.pop());
        }
    }) / entries;
}

} // namespace

std::vector<Slope> agentSlopes()
{
    return {
        measureSlope({"cache_index_memory", "blocks", "bytes", {}}, {16'000, 32'000, 64'000, 128'000}, bytesOfIndex),
        measureSlope({"cache_event_time", "events", "ns", {}}, {16'000, 32'000, 64'000, 128'000}, timeOfEvents),
        measureSlope({"gate_request_time", "requests", "ns", {}}, {1'000, 2'000, 4'000}, timeOfRequests),
        measureSlope({"gate_memory", "requests remembered", "bytes", {}}, {2'000, 4'000, 8'000, 16'000}, bytesOfGate),
        measureSlope({"fair_queue_share_memory", "organisations", "bytes", {}}, {2'000, 4'000, 9'000, 18'000}, bytesOfShares),
        measureSlope({"fair_queue_ticket_time", "waiting flows", "ns a ticket", {}}, {10, 100, 1'000}, timeOfQueueEntry),
    };
}

} // namespace Verbena::Bench
