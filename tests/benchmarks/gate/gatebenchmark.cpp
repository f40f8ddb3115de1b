#include <decisions/gate/admissiongate.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <memory>

namespace Verbena::Decisions {

namespace {

constexpr int piecesPerPrompt = 40;
constexpr std::uint32_t pieceTokens = 2048;
const ModelVersion version{"m", "", "7"};

Core::TimePoint at(std::int64_t microseconds)
{
    return Core::TimePoint(std::chrono::microseconds(microseconds));
}

std::vector<PrefixKey> promptKeys(std::uint64_t prompt)
{
    std::vector<PrefixKey> keys;
    keys.reserve(piecesPerPrompt);
    for (std::uint64_t piece = 0; piece < piecesPerPrompt; ++piece) {
        keys.push_back(PrefixKey(prompt * piecesPerPrompt + piece + 1));
    }
    return keys;
}

GateRequest requestNumber(std::uint64_t number)
{
    GateRequest request;
    request.ref = {"request-" + std::to_string(number), 1};
    request.flow = {"organisation" + std::to_string(number % 8), "team" + std::to_string(number % 24), "class" + std::to_string(number % 3)};
    request.version = version;
    request.keys = promptKeys(number % 100);
    request.promptTokens = piecesPerPrompt * pieceTokens;
    request.maximumTokens = 100;
    request.deadline = at(3'600'000'000'000);
    return request;
}

// Submits one request while another starts and ends, with up to a thousand requests queued in 24 teams.
void submitAndStart(benchmark::State &state)
{
    AdmissionGateOptions options;
    options.maximumQueued = 2048;
    options.maximumRunning = 1;
    options.duplicateCapacity = 1U << 22U;
    AdmissionGate gate(options);
    gate.setServed({version}, at(0));
    std::uint64_t last = 0;
    RequestRef running;
    const auto updateRunning = [&running](const std::vector<GateAction> &actions) {
        for (const GateAction &action : actions) {
            if (const auto *start = std::get_if<StartRun>(&action)) {
                running = start->ref;
            }
        }
    };
    while (gate.queued() < static_cast<std::size_t>(state.range(0))) {
        updateRunning(gate.submit(requestNumber(++last), at(0)));
    }
    std::int64_t now = 0;
    for (auto step : state) {
        ++now;
        updateRunning(gate.submit(requestNumber(++last), at(now)));
        updateRunning(gate.handleFirstToken(running, 0, at(now)));
        updateRunning(gate.handleRunEnded(running, {RunEnd::Complete, {}, {}, 100}, at(now)));
    }
    state.counters["queued"] = static_cast<double>(gate.queued());
}
BENCHMARK(submitAndStart)->Arg(10)->Arg(1000);

std::unique_ptr<CacheIndex> filledIndex(std::size_t blocks)
{
    CacheIndexOptions options;
    options.maximumEntries = blocks;
    auto index = std::make_unique<CacheIndex>(options);
    index->setIncarnation(1);
    for (std::uint64_t prompt = 0; prompt < blocks / piecesPerPrompt; ++prompt) {
        const RequestRef ref{"request-" + std::to_string(prompt), 1};
        const std::vector<PrefixKey> keys = promptKeys(prompt);
        index->recordRunStarted(ref, version, keys);
        CacheEvent event{.incarnation = 1, .sequence = prompt + 1, .kind = CacheEvent::Kind::Stored, .blocks = {}, .request = ref};
        for (const PrefixKey key : keys) {
            event.blocks.push_back(BlockId(static_cast<std::uint64_t>(key)));
        }
        index->handleEvent(event, at(0));
    }
    return index;
}

void lookUpPrompt(benchmark::State &state)
{
    const auto blocks = static_cast<std::uint64_t>(state.range(0));
    const std::unique_ptr<CacheIndex> index = filledIndex(blocks);
    std::uint64_t prompt = 0;
    for (auto step : state) {
        prompt = (prompt + 7919) % (blocks / piecesPerPrompt);
        benchmark::DoNotOptimize(index->confirmedPieces(promptKeys(prompt)));
    }
}
BENCHMARK(lookUpPrompt)->Arg(100000);

// Removes a block and stores it again, with one event for each.
void applyTwoEvents(benchmark::State &state)
{
    const auto blocks = static_cast<std::uint64_t>(state.range(0));
    const std::unique_ptr<CacheIndex> index = filledIndex(blocks);
    std::uint64_t sequence = blocks / piecesPerPrompt;
    // The index still keeps the keys of the last runs, so that it can interpret stored events for them.
    const std::uint64_t prompt = blocks / piecesPerPrompt - 1;
    const RequestRef ref{"request-" + std::to_string(prompt), 1};
    const std::vector<PrefixKey> keys = promptKeys(prompt);
    CacheEvent removed{.incarnation = 1, .kind = CacheEvent::Kind::Removed, .blocks = {}, .request = {}};
    CacheEvent stored{.incarnation = 1, .kind = CacheEvent::Kind::Stored, .blocks = {}, .request = ref};
    std::uint32_t piece = 0;
    for (auto step : state) {
        piece = (piece + 1) % piecesPerPrompt;
        const auto block = BlockId(static_cast<std::uint64_t>(keys[piece]));
        removed.sequence = ++sequence;
        removed.blocks = {block};
        index->handleEvent(removed, at(0));
        stored.sequence = ++sequence;
        stored.blocks = {block};
        stored.firstPiece = piece;
        index->handleEvent(stored, at(0));
    }
    state.counters["known"] = index->confirmedPieces(keys);
}
BENCHMARK(applyTwoEvents)->Arg(100000);

void memoryOfIndex(benchmark::State &state)
{
    const auto blocks = static_cast<std::size_t>(state.range(0));
    double bytes = 0;
    for (auto step : state) {
        const std::size_t before = mallinfo2().uordblks;
        const std::unique_ptr<CacheIndex> index = filledIndex(blocks);
        bytes = static_cast<double>(mallinfo2().uordblks - before);
    }
    state.counters["bytes"] = bytes;
    state.counters["bytes_per_block"] = bytes / static_cast<double>(blocks);
}
BENCHMARK(memoryOfIndex)->Arg(52000)->Arg(100000)->Iterations(1);

// Measures a gate at the target capacity: its cache index, its queue and its duplicate filter.
void memoryOfGate(benchmark::State &state)
{
    double bytes = 0;
    for (auto step : state) {
        const std::size_t before = mallinfo2().uordblks;
        auto gate = std::make_unique<AdmissionGate>();
        gate->setServed({version}, at(0));
        for (std::uint64_t number = 1; number <= 20000; ++number) {
            gate->submit(requestNumber(number), at(0));
        }
        state.counters["queued"] = static_cast<double>(gate->queued());
        const std::unique_ptr<CacheIndex> index = filledIndex(52000);
        bytes = static_cast<double>(mallinfo2().uordblks - before);
    }
    state.counters["bytes"] = bytes;
}
BENCHMARK(memoryOfGate)->Iterations(1);

} // namespace

} // namespace Verbena::Decisions
