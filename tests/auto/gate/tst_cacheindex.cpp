#include <decisions/gate/cacheindex.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace Verbena::Decisions {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t engineBlocks = 12;

Core::TimePoint at(int count)
{
    return Core::TimePoint(std::chrono::milliseconds(count));
}

// Prompts of two organisations with two versions of the weights; all use the same token ids.
std::vector<PrefixKey> keysOf(int scope, int branch)
{
    const PrefixScope prefixScope{scope % 2 == 0 ? "kessick" : "kalari", {"m", "", scope / 2 == 0 ? "7" : "8"}};
    const std::vector<std::uint32_t> tokens{
        1, static_cast<std::uint32_t>(branch % 2), static_cast<std::uint32_t>(branch % 4), static_cast<std::uint32_t>(branch)};
    return PrefixChain::fromTokens(prefixScope, tokens, 1).keys();
}

ModelVersion versionOf(int scope)
{
    return {"m", "", scope / 2 == 0 ? "7" : "8"};
}

// An engine with a few blocks and least-recently-used eviction. It identifies blocks by their position and so reuses block ids.
class FakeEngine
{
public:
    struct Block
    {
        PrefixKey key{};
        int scope = 0;
        int usedAt = 0;
    };

    std::uint32_t run(const RequestRef &ref, int scope, const std::vector<PrefixKey> &keys)
    {
        std::uint32_t cached = 0;
        bool isHit = true;
        for (std::uint32_t piece = 0; piece < keys.size(); ++piece) {
            const auto found = std::find_if(m_blocks.begin(), m_blocks.end(), [&](const auto &block) { return block.second.key == keys[piece]; });
            isHit = isHit && found != m_blocks.end();
            if (isHit) {
                ++cached;
                found->second.usedAt = ++m_clock;
            } else if (found == m_blocks.end()) {
                fill(ref, scope, keys[piece], piece);
            }
        }
        return cached;
    }

    void crash()
    {
        ++incarnation;
        m_sequence = 0;
        m_blocks.clear();
        record();
    }

    void unload(const ModelVersion &version)
    {
        for (auto block = m_blocks.begin(); block != m_blocks.end();) {
            const auto next = std::next(block);
            if (versionOf(block->second.scope) == version) {
                remove(block->first);
            }
            block = next;
        }
    }

    bool isCached(std::uint64_t incarnationNumber, std::uint64_t sequence, PrefixKey key) const
    {
        const auto found = m_history.find({incarnationNumber, sequence});
        return found != m_history.end() && found->second.contains(key);
    }

    std::vector<CacheEvent> events;
    std::uint64_t incarnation = 1;

private:
    void fill(const RequestRef &ref, int scope, PrefixKey key, std::uint32_t piece)
    {
        std::uint64_t blockNumber = 1;
        while (blockNumber <= engineBlocks && m_blocks.contains(blockNumber)) {
            ++blockNumber;
        }
        if (blockNumber > engineBlocks) {
            blockNumber = std::min_element(m_blocks.begin(), m_blocks.end(), [](const auto &left, const auto &right) {
                return left.second.usedAt < right.second.usedAt;
            })->first;
            remove(blockNumber);
        }
        m_blocks[blockNumber] = {key, scope, ++m_clock};
        emit({.kind = CacheEvent::Kind::Stored, .blocks = {BlockId(blockNumber)}, .request = ref, .firstPiece = piece});
    }

    void remove(std::uint64_t blockNumber)
    {
        m_blocks.erase(blockNumber);
        emit({.kind = CacheEvent::Kind::Removed, .blocks = {BlockId(blockNumber)}, .request = {}});
    }

    void emit(CacheEvent event)
    {
        event.incarnation = incarnation;
        event.sequence = ++m_sequence;
        events.push_back(event);
        record();
    }

    void record()
    {
        std::set<PrefixKey> &keys = m_history[{incarnation, m_sequence}];
        for (const auto &[blockNumber, block] : m_blocks) {
            keys.insert(block.key);
        }
    }

    std::map<std::uint64_t, Block> m_blocks;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::set<PrefixKey>> m_history;
    std::uint64_t m_sequence = 0;
    int m_clock = 0;
};

struct PromptReport
{
    RequestRef ref;
    std::uint32_t cached = 0;
};

// An engine and an index, connected by events that may be lost, repeated and reordered.
class LossyChannel
{
public:
    explicit LossyChannel(const CacheIndexOptions &options)
        : index(options)
    {
        index.setIncarnation(engine.incarnation);
    }

    void run(int scope, int branch)
    {
        const RequestRef ref{"r" + std::to_string(++requests), 1};
        const std::vector<PrefixKey> keys = keysOf(scope, branch);
        unloaded[std::size_t(scope / 2)] = false;
        index.recordRunStarted(ref, versionOf(scope), keys);
        reports.push_back({ref, engine.run(ref, scope, keys)});
        std::move(engine.events.begin(), engine.events.end(), std::back_inserter(inFlight));
        engine.events.clear();
    }

    void deliver(std::size_t which, bool isRepeated)
    {
        if (inFlight.empty()) {
            return;
        }
        const auto event = inFlight.begin() + static_cast<std::ptrdiff_t>(which % inFlight.size());
        index.handleEvent(*event, now);
        if (!isRepeated) {
            inFlight.erase(event);
        }
    }

    void lose(std::size_t which)
    {
        if (!inFlight.empty()) {
            inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(which % inFlight.size()));
        }
    }

    void report(std::size_t which)
    {
        if (!reports.empty()) {
            const auto chosen = reports.begin() + static_cast<std::ptrdiff_t>(which % reports.size());
            index.recordPromptProcessed(chosen->ref, chosen->cached, now);
            reports.erase(chosen);
        }
    }

    void unload(const ModelVersion &version)
    {
        engine.unload(version);
        std::move(engine.events.begin(), engine.events.end(), std::back_inserter(inFlight));
        engine.events.clear();
        index.removeVersion(version);
        unloaded[version.weightsVersion == "7" ? 0 : 1] = true;
    }

    // Every confirmed prefix must have been cached as of the index's last event, and its weights must be loaded.
    bool areConfirmedPrefixesCached() const
    {
        for (int scope = 0; scope < 4; ++scope) {
            for (int branch = 0; branch < 8; ++branch) {
                for (const PrefixKey key : keysOf(scope, branch)) {
                    const bool isCached = !unloaded[std::size_t(scope / 2)] && engine.isCached(index.incarnation(), index.lastSequence(), key);
                    if (index.confirmedPieces({key}) == 1 && !isCached) {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    FakeEngine engine;
    CacheIndex index;
    std::vector<CacheEvent> inFlight;
    std::vector<PromptReport> reports;
    std::vector<bool> unloaded{false, false}; ///< By version: whether it was unloaded and not used again since.
    Core::TimePoint now = at(0);
    int requests = 0;
};

void performRandomStep(LossyChannel &channel)
{
    const auto which = *rc::gen::inRange<std::size_t>(0, 1000);
    switch (*rc::gen::weightedElement<int>({{8, 0}, {16, 1}, {2, 2}, {2, 3}, {4, 4}, {1, 5}, {1, 6}, {3, 7}})) {
    case 0:
        channel.run(static_cast<int>(which % 4), static_cast<int>(which / 4 % 8));
        break;
    case 1:
        channel.deliver(which % 3, false);
        break;
    case 2:
        channel.deliver(which, true);
        break;
    case 3:
        channel.lose(which);
        break;
    case 4:
        channel.report(which);
        break;
    case 5:
        channel.engine.crash();
        break;
    case 6:
        channel.unload(versionOf(static_cast<int>(which % 4)));
        break;
    default:
        channel.now += milliseconds(which % 300);
        channel.index.tick(channel.now);
    }
}

TEST(CacheIndexTest, confirmsOnlyCachedPrefixes)
{
    EXPECT_TRUE(rc::check("under loss, repeats, reordering, crashes and new weights", [] {
        CacheIndexOptions options;
        options.maximumEntries = *rc::gen::element<std::size_t>(6, 64);
        options.maximumBufferedEvents = 4;
        LossyChannel channel(options);
        const int steps = *rc::gen::inRange(1, 200);
        std::uint32_t confirmed = 0;
        for (int i = 0; i < steps; ++i) {
            performRandomStep(channel);
            RC_ASSERT(channel.areConfirmedPrefixesCached());
            RC_ASSERT(channel.index.size() <= options.maximumEntries);
            confirmed += channel.index.confirmedPieces(keysOf(0, 0)) + channel.index.confirmedPieces(keysOf(3, 1));
        }
        RC_TAG(confirmed > 0 ? "with confirmed prefixes" : "without confirmed prefixes");
    }));
}

TEST(CacheIndexTest, matchesAPlainMapWhenNoEventIsLost)
{
    EXPECT_TRUE(rc::check("with each event in order", [] {
        LossyChannel channel({});
        const int runs = *rc::gen::inRange(1, 60);
        for (int i = 0; i < runs; ++i) {
            channel.run(*rc::gen::inRange(0, 4), *rc::gen::inRange(0, 8));
            while (!channel.inFlight.empty()) {
                channel.deliver(0, false);
            }
            channel.report(0);
            for (int scope = 0; scope < 4; ++scope) {
                for (int branch = 0; branch < 8; ++branch) {
                    for (const PrefixKey key : keysOf(scope, branch)) {
                        RC_ASSERT((channel.index.confirmedPieces({key}) == 1) == channel.engine.isCached(1, channel.index.lastSequence(), key));
                    }
                }
            }
        }
    }));
}

TEST(CacheIndexTest, clearsEntriesOfAnOlderIncarnation)
{
    LossyChannel channel({});
    channel.run(0, 0);
    const std::vector<CacheEvent> old = channel.inFlight;
    while (!channel.inFlight.empty()) {
        channel.deliver(0, false);
    }
    ASSERT_EQ(channel.index.confirmedPieces(keysOf(0, 0)), 4U);
    channel.index.setIncarnation(2);
    EXPECT_EQ(channel.index.likelyPieces(keysOf(0, 0), channel.now), 0U);
    for (const CacheEvent &event : old) {
        channel.index.handleEvent(event, channel.now);
    }
    channel.report(0);
    EXPECT_EQ(channel.index.likelyPieces(keysOf(0, 0), channel.now), 0U);
}

TEST(CacheIndexTest, ignoresReportsOfAnOlderIncarnation)
{
    CacheIndex index;
    index.setIncarnation(1);
    index.recordRunStarted({"a", 1}, versionOf(0), keysOf(0, 0));
    index.setIncarnation(2);
    index.recordPromptProcessed({"a", 1}, 4, at(0));
    EXPECT_EQ(index.likelyPieces(keysOf(0, 0), at(0)), 0U);
}

TEST(CacheIndexTest, isUncertainAfterALostEventUntilRefilled)
{
    LossyChannel channel({});
    channel.run(0, 0);
    channel.reports.clear();
    while (!channel.inFlight.empty()) {
        channel.deliver(0, false);
    }
    channel.run(1, 0);
    channel.lose(0);
    channel.deliver(0, false);
    EXPECT_EQ(channel.index.confirmedPieces(keysOf(0, 0)), 0U);
    EXPECT_EQ(channel.index.likelyPieces(keysOf(0, 0), channel.now), 4U);
    channel.now = *channel.index.nextDeadline();
    channel.index.tick(channel.now);
    EXPECT_EQ(channel.index.lostEventGaps(), 1U);
    while (!channel.inFlight.empty()) {
        channel.deliver(0, false);
    }
    channel.run(0, 0);
    channel.report(1);
    EXPECT_EQ(channel.index.confirmedPieces(keysOf(0, 0)), 0U);
    EXPECT_EQ(channel.index.likelyPieces(keysOf(0, 0), channel.now), 4U);
    channel.now += milliseconds(60000);
    EXPECT_EQ(channel.index.likelyPieces(keysOf(0, 0), channel.now), 0U);
    channel.unload(versionOf(0));
    channel.run(0, 0);
    while (!channel.inFlight.empty()) {
        channel.deliver(0, false);
    }
    EXPECT_EQ(channel.index.confirmedPieces(keysOf(0, 0)), 4U);
}

// Guards against losing the new prefix of a block together with its old one. This happens when the block is refilled and the
// index has not seen the removal.
TEST(CacheIndexTest, bindsABlockToItsLatestPrefixOnly)
{
    CacheIndexOptions options;
    options.maximumEntries = 2;
    CacheIndex index(options);
    index.setIncarnation(1);
    index.recordRunStarted({"a", 1}, versionOf(0), {PrefixKey(1), PrefixKey(2), PrefixKey(3)});
    const auto event = [](std::uint64_t sequence, CacheEvent::Kind kind, std::uint64_t block, std::uint32_t piece) {
        return CacheEvent{.incarnation = 1, .sequence = sequence, .kind = kind, .blocks = {BlockId(block)}, .request = {"a", 1}, .firstPiece = piece};
    };
    index.handleEvent(event(1, CacheEvent::Kind::Stored, 5, 0), at(0));
    index.handleEvent(event(2, CacheEvent::Kind::Stored, 5, 1), at(0));
    index.handleEvent(event(3, CacheEvent::Kind::Stored, 6, 2), at(0));
    EXPECT_EQ(index.confirmedPieces({PrefixKey(1)}), 0U);
    EXPECT_EQ(index.confirmedPieces({PrefixKey(2)}), 1U);
    index.handleEvent(event(4, CacheEvent::Kind::Removed, 5, 0), at(0));
    EXPECT_EQ(index.confirmedPieces({PrefixKey(2)}), 0U);
}

// Guards against confirming a prefix because an answer found it again: it may have moved to another block after lost events, and
// then its removal is not recognised.
TEST(CacheIndexTest, doesNotConfirmAPrefixThatMayHaveMoved)
{
    CacheIndex index;
    const std::vector<PrefixKey> keys{PrefixKey(1)};
    const auto event = [](std::uint64_t sequence, CacheEvent::Kind kind, std::uint64_t block) {
        return CacheEvent{.incarnation = 1, .sequence = sequence, .kind = kind, .blocks = {BlockId(block)}, .request = {"a", 1}};
    };
    index.setIncarnation(1);
    index.recordRunStarted({"a", 1}, versionOf(0), keys);
    index.handleEvent(event(1, CacheEvent::Kind::Stored, 5), at(0));
    EXPECT_EQ(index.confirmedPieces(keys), 1U);
    // Lost events: 2 removes block 5, and 3 stores the prefix in block 6.
    index.handleEvent(event(4, CacheEvent::Kind::Removed, 7), at(0));
    index.tick(at(1000));
    index.recordRunStarted({"b", 1}, versionOf(0), keys);
    index.recordPromptProcessed({"b", 1}, 1, at(1000));
    index.handleEvent(event(5, CacheEvent::Kind::Removed, 6), at(1001));
    EXPECT_EQ(index.confirmedPieces(keys), 0U);
}

TEST(CacheIndexTest, estimatesLifetimeWithoutEvents)
{
    CacheIndexOptions options;
    options.initialAssumedLifetime = milliseconds(10000);
    CacheIndex index(options);
    Core::TimePoint now = at(0);
    // The engine keeps a prefix for two seconds; the same prompt is sent every three seconds.
    std::vector<std::uint32_t> likely;
    for (int i = 0; i < 20; ++i) {
        const RequestRef ref{"r" + std::to_string(i), 1};
        likely.push_back(index.likelyPieces(keysOf(0, 0), now));
        index.recordRunStarted(ref, versionOf(0), keysOf(0, 0));
        index.recordPromptProcessed(ref, 0, now);
        now += milliseconds(3000);
    }
    EXPECT_EQ(likely[1], 4U);
    EXPECT_EQ(likely.back(), 0U);
    EXPECT_EQ(index.confirmedPieces(keysOf(0, 0)), 0U);
}

} // namespace

} // namespace Verbena::Decisions
