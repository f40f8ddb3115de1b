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

// The prompts of two organisations under two versions of weights; all share the same token ids.
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

// An engine with a few blocks, evicted in order of their last use; it numbers its blocks by place, and so uses numbers again.
class NaiveEngine
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

    bool held(std::uint64_t ofIncarnation, std::uint64_t asOf, PrefixKey key) const
    {
        const auto found = m_truth.find({ofIncarnation, asOf});
        return found != m_truth.end() && found->second.contains(key);
    }

    std::vector<CacheEvent> events;
    std::uint64_t incarnation = 1;

private:
    void fill(const RequestRef &ref, int scope, PrefixKey key, std::uint32_t piece)
    {
        std::uint64_t place = 1;
        while (place <= engineBlocks && m_blocks.contains(place)) {
            ++place;
        }
        if (place > engineBlocks) {
            place = std::min_element(m_blocks.begin(), m_blocks.end(), [](const auto &left, const auto &right) {
                return left.second.usedAt < right.second.usedAt;
            })->first;
            remove(place);
        }
        m_blocks[place] = {key, scope, ++m_clock};
        emit({.kind = CacheEvent::Kind::Stored, .blocks = {BlockId(place)}, .request = ref, .firstPiece = piece});
    }

    void remove(std::uint64_t place)
    {
        m_blocks.erase(place);
        emit({.kind = CacheEvent::Kind::Removed, .blocks = {BlockId(place)}, .request = {}});
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
        std::set<PrefixKey> &keys = m_truth[{incarnation, m_sequence}];
        for (const auto &[place, block] : m_blocks) {
            keys.insert(block.key);
        }
    }

    std::map<std::uint64_t, Block> m_blocks;
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::set<PrefixKey>> m_truth;
    std::uint64_t m_sequence = 0;
    int m_clock = 0;
};

struct Report
{
    RequestRef ref;
    std::uint32_t cached = 0;
};

// One engine and one index, with events between them that may be lost, repeated and reordered.
class LossyPair
{
public:
    explicit LossyPair(const CacheIndexOptions &options)
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

    void deliver(std::size_t which, bool isKept)
    {
        if (inFlight.empty()) {
            return;
        }
        const auto event = inFlight.begin() + static_cast<std::ptrdiff_t>(which % inFlight.size());
        index.handleEvent(*event, now);
        if (!isKept) {
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

    // Every claim must have been true at the event that the index says it has come to, and for weights that are loaded.
    bool isTruthful() const
    {
        for (int scope = 0; scope < 4; ++scope) {
            for (int branch = 0; branch < 8; ++branch) {
                for (const PrefixKey key : keysOf(scope, branch)) {
                    const bool isHeld = !unloaded[std::size_t(scope / 2)] && engine.held(index.incarnation(), index.lastSequence(), key);
                    if (index.confirmedPieces({key}) == 1 && !isHeld) {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    NaiveEngine engine;
    CacheIndex index;
    std::vector<CacheEvent> inFlight;
    std::vector<Report> reports;
    std::vector<bool> unloaded{false, false}; ///< And not used again since, by version.
    Core::TimePoint now = at(0);
    int requests = 0;
};

void step(LossyPair &pair)
{
    const auto which = *rc::gen::inRange<std::size_t>(0, 1000);
    switch (*rc::gen::weightedElement<int>({{8, 0}, {16, 1}, {2, 2}, {2, 3}, {4, 4}, {1, 5}, {1, 6}, {3, 7}})) {
    case 0:
        pair.run(static_cast<int>(which % 4), static_cast<int>(which / 4 % 8));
        break;
    case 1:
        pair.deliver(which % 3, false);
        break;
    case 2:
        pair.deliver(which, true);
        break;
    case 3:
        pair.lose(which);
        break;
    case 4:
        pair.report(which);
        break;
    case 5:
        pair.engine.crash();
        break;
    case 6:
        pair.unload(versionOf(static_cast<int>(which % 4)));
        break;
    default:
        pair.now += milliseconds(which % 300);
        pair.index.tick(pair.now);
    }
}

TEST(CacheIndexTest, neverClaimsWhatItCannotKnow)
{
    EXPECT_TRUE(rc::check("under loss, repeats, reordering, crashes and new weights", [] {
        CacheIndexOptions options;
        options.maximumEntries = *rc::gen::element<std::size_t>(6, 64);
        options.maximumBufferedEvents = 4;
        LossyPair pair(options);
        const int steps = *rc::gen::inRange(1, 200);
        std::uint32_t claims = 0;
        for (int i = 0; i < steps; ++i) {
            step(pair);
            RC_ASSERT(pair.isTruthful());
            RC_ASSERT(pair.index.size() <= options.maximumEntries);
            claims += pair.index.confirmedPieces(keysOf(0, 0)) + pair.index.confirmedPieces(keysOf(3, 1));
        }
        RC_TAG(claims > 0 ? "with claims" : "without claims");
    }));
}

TEST(CacheIndexTest, equalsAPlainMapThatSeesEveryEvent)
{
    EXPECT_TRUE(rc::check("with each event in order", [] {
        LossyPair pair({});
        const int runs = *rc::gen::inRange(1, 60);
        for (int i = 0; i < runs; ++i) {
            pair.run(*rc::gen::inRange(0, 4), *rc::gen::inRange(0, 8));
            while (!pair.inFlight.empty()) {
                pair.deliver(0, false);
            }
            pair.report(0);
            for (int scope = 0; scope < 4; ++scope) {
                for (int branch = 0; branch < 8; ++branch) {
                    for (const PrefixKey key : keysOf(scope, branch)) {
                        RC_ASSERT((pair.index.confirmedPieces({key}) == 1) == pair.engine.held(1, pair.index.lastSequence(), key));
                    }
                }
            }
        }
    }));
}

TEST(CacheIndexTest, forgetsEverythingOfAnOlderIncarnation)
{
    LossyPair pair({});
    pair.run(0, 0);
    const std::vector<CacheEvent> old = pair.inFlight;
    while (!pair.inFlight.empty()) {
        pair.deliver(0, false);
    }
    ASSERT_EQ(pair.index.confirmedPieces(keysOf(0, 0)), 4U);
    pair.index.setIncarnation(2);
    EXPECT_EQ(pair.index.likelyPieces(keysOf(0, 0), pair.now), 0U);
    for (const CacheEvent &event : old) {
        pair.index.handleEvent(event, pair.now);
    }
    pair.report(0);
    EXPECT_EQ(pair.index.likelyPieces(keysOf(0, 0), pair.now), 0U);
}

TEST(CacheIndexTest, believesNoReportOfAnOlderIncarnation)
{
    CacheIndex index;
    index.setIncarnation(1);
    index.recordRunStarted({"a", 1}, versionOf(0), keysOf(0, 0));
    index.setIncarnation(2);
    index.recordPromptProcessed({"a", 1}, 4, at(0));
    EXPECT_EQ(index.likelyPieces(keysOf(0, 0), at(0)), 0U);
}

TEST(CacheIndexTest, doubtsAfterALostEventUntilFilledAnew)
{
    LossyPair pair({});
    pair.run(0, 0);
    pair.reports.clear();
    while (!pair.inFlight.empty()) {
        pair.deliver(0, false);
    }
    pair.run(1, 0);
    pair.lose(0);
    pair.deliver(0, false);
    EXPECT_EQ(pair.index.confirmedPieces(keysOf(0, 0)), 0U);
    EXPECT_EQ(pair.index.likelyPieces(keysOf(0, 0), pair.now), 4U);
    pair.now = *pair.index.nextDeadline();
    pair.index.tick(pair.now);
    EXPECT_EQ(pair.index.lostEventGaps(), 1U);
    while (!pair.inFlight.empty()) {
        pair.deliver(0, false);
    }
    pair.run(0, 0);
    pair.report(1);
    EXPECT_EQ(pair.index.confirmedPieces(keysOf(0, 0)), 0U);
    EXPECT_EQ(pair.index.likelyPieces(keysOf(0, 0), pair.now), 4U);
    pair.now += milliseconds(60000);
    EXPECT_EQ(pair.index.likelyPieces(keysOf(0, 0), pair.now), 0U);
    pair.unload(versionOf(0));
    pair.run(0, 0);
    while (!pair.inFlight.empty()) {
        pair.deliver(0, false);
    }
    EXPECT_EQ(pair.index.confirmedPieces(keysOf(0, 0)), 4U);
}

// A block that is filled anew without the removal having been seen must not lose its new prefix with the old one.
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

// A prefix that an answer found again may have moved to another block, and then its removal is not recognised.
TEST(CacheIndexTest, doesNotKnowAgainWhatMayHaveMoved)
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
    // Lost: 2, block 5 removed, and 3, the prefix stored in block 6.
    index.handleEvent(event(4, CacheEvent::Kind::Removed, 7), at(0));
    index.tick(at(1000));
    index.recordRunStarted({"b", 1}, versionOf(0), keys);
    index.recordPromptProcessed({"b", 1}, 1, at(1000));
    index.handleEvent(event(5, CacheEvent::Kind::Removed, 6), at(1001));
    EXPECT_EQ(index.confirmedPieces(keys), 0U);
}

TEST(CacheIndexTest, learnsHowLongPrefixesStayWithoutEvents)
{
    CacheIndexOptions options;
    options.initialAssumedLifetime = milliseconds(10000);
    CacheIndex index(options);
    Core::TimePoint now = at(0);
    // The engine keeps a prefix for two seconds; each prompt comes again after three.
    std::vector<std::uint32_t> claims;
    for (int i = 0; i < 20; ++i) {
        const RequestRef ref{"r" + std::to_string(i), 1};
        claims.push_back(index.likelyPieces(keysOf(0, 0), now));
        index.recordRunStarted(ref, versionOf(0), keysOf(0, 0));
        index.recordPromptProcessed(ref, 0, now);
        now += milliseconds(3000);
    }
    EXPECT_EQ(claims[1], 4U);
    EXPECT_EQ(claims.back(), 0U);
    EXPECT_EQ(index.confirmedPieces(keysOf(0, 0)), 0U);
}

} // namespace

} // namespace Verbena::Decisions
