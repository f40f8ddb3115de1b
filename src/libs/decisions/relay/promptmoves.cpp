#include "promptmoves.h"

#include <algorithm>
#include <numeric>

namespace Verbena::Decisions {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Tokens that an engine reads in a millisecond, for the weight of a prompt against the wait at an engine: between the slowest and the fastest engines
// of the known deployments (32 and 92).
constexpr std::uint32_t tokensPerMillisecond = 50;
constexpr microseconds readPerToken{40};

// What another engine keeps comes over the network: 3 to 8 microseconds a token in the known deployments.
constexpr microseconds fetchPerToken{20};

// A cold prompt goes to its home, where all routers look for it, unless another engine is this much better off.
constexpr milliseconds awayFromHome{100};

// Shared tokens of a prompt, from which on they are worth moving: an engine reads so many in 10 to 30 ms, about as long as it asks and waits for its turn
// at its link.
constexpr std::uint32_t leastMovedTokens = 1000;

// Prompts of which a full store takes one, and from which part of its capacity on it counts as full.
constexpr std::uint64_t savesOneOf = 4;
constexpr double fullStore = 0.9;
// The lower digits of a draw have chosen the weights already.
constexpr std::uint64_t saveDrawDivisor = 1'000'000'007;

// As long as it takes to bring new weights to all engines and to read again what is asked for.
constexpr milliseconds refillTime{10000};

} // namespace

PromptCaches &PromptMoves::caches()
{
    return m_caches;
}

bool PromptMoves::isForStores(const FleetChoice &choice) const
{
    return m_caches.stores().isAny() && isWorthMoving(choice);
}

RouteCandidate PromptMoves::bestOf(const RouteDecision &decision, const FleetChoice &choice, Core::TimePoint now) const
{
    const std::vector<SharedPart> &parts = choice.parts;
    const std::uint32_t anywhere = m_caches.warmAnywhere(storeOf(choice), parts, now);
    RouteCandidate best = decision.candidates.front();
    microseconds lowest = cost(best, parts, anywhere, now);
    for (RouteCandidate candidate : decision.candidates) {
        const microseconds offered = cost(candidate, parts, anywhere, now);
        if (offered < lowest) {
            lowest = offered;
            best = candidate;
        }
    }
    return best;
}

microseconds PromptMoves::work(const RouteCandidate &best, const PromptOutline &prompt)
{
    const std::uint32_t ownTokens = prompt.parts.empty() ? prompt.promptTokens : prompt.parts.back().tokens;
    return best.prefill + microseconds(1000) * (ownTokens / tokensPerMillisecond);
}

// The engine asks the store for what it lacks, even if the agent said that it lacks nothing: a question in vain costs a millisecond, reading a part
// again a hundred. What the store has needs not to be saved: with each part it would also get the one that belongs to this request alone, and drop for
// it what others miss.
void PromptMoves::settle(FleetChoice &choice, const FleetQuery &query, const WeightsHistory &history, const RouteChooser &fleet, Core::TimePoint now) const
{
    const CacheStore *store = storeOf(choice);
    const bool isFilling = isRefilling(history, now);
    choice.storedParts = PromptCaches::storedParts(store, choice.parts);
    choice.cacheSource = isFilling ? holderOf(choice, fleet, now) : "";
    if (store == nullptr) {
        return;
    }
    if (choice.cacheSource.empty()) {
        choice.cacheSource = store->address;
    }
    if (choice.storedParts < choice.parts.size() && isWorthSaving(*store->index, query.draw, isFilling)) {
        choice.cacheStore = store->address;
    }
}

// The deepest of its shared parts tells a prompt's store, in every version of the weights and without what belongs to the request alone.
const CacheStore *PromptMoves::storeOf(const FleetChoice &choice) const
{
    return isWorthMoving(choice) ? m_caches.stores().storeOf(choice.route.keys.back(), choice.route.homeDomain) : nullptr;
}

// A part that is short is read sooner than it is fetched: transfers of an engine run one after the other, and a long prompt's takes up to a tenth of a
// second. Saved with what belongs to the request alone, many short ones push the few long ones out of the store.
bool PromptMoves::isWorthMoving(const FleetChoice &choice)
{
    if (choice.parts.empty()) {
        return false;
    }
    const auto add = [](std::uint32_t tokens, const SharedPart &part) {
        return tokens + part.tokens;
    };
    return std::accumulate(choice.parts.begin(), choice.parts.end(), std::uint32_t(0), add) >= leastMovedTokens;
}

// Whether caches are still being filled after new weights.
bool PromptMoves::isRefilling(const WeightsHistory &history, Core::TimePoint now)
{
    return history.newest() > 0 && now < history.newestSince() + refillTime;
}

// A full store drops something useful for each prompt that it takes, and half of what it takes belongs to one request alone. Letting in only one of
// several keeps what is asked for again and again; right after new weights, when all that it holds is void, it takes all.
bool PromptMoves::isWorthSaving(const PartIndex &store, std::uint64_t draw, bool isFilling)
{
    const bool hasRoom = static_cast<double>(store.tokens()) < fullStore * static_cast<double>(store.capacity());
    return isFilling || hasRoom || draw / saveDrawDivisor % savesOneOf == 0;
}

std::string PromptMoves::holderOf(const FleetChoice &choice, const RouteChooser &fleet, Core::TimePoint now) const
{
    const auto holder = m_caches.holder(choice.parts, std::max(choice.warmParts, choice.storedParts), now);
    const BackendServer *server = holder.has_value() ? fleet.server(*holder) : nullptr;
    return server == nullptr ? "" : server->endpoint;
}

// What a request would wait for at the candidate, and what it would cost the engine on top: reading what nobody keeps, fetching what another one does.
microseconds PromptMoves::cost(RouteCandidate &candidate, const std::vector<SharedPart> &parts, std::uint32_t warmAnywhere, Core::TimePoint now) const
{
    // What was seen there before says nothing: it may have been on other weights.
    candidate.warmPieces = m_caches.warmParts(candidate.id, parts, now).value_or(0);
    candidate.prefill = microseconds(0);
    for (std::uint32_t part = candidate.warmPieces; part < parts.size(); ++part) {
        candidate.prefill += parts[part].tokens * (part < warmAnywhere ? fetchPerToken : readPerToken);
    }
    return candidate.wait + candidate.prefill + (candidate.origin == CandidateOrigin::Home ? microseconds(0) : awayFromHome);
}

} // namespace Verbena::Decisions
