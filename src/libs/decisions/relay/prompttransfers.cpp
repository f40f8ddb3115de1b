#include "prompttransfers.h"

#include <algorithm>
#include <numeric>

namespace Verbena::Decisions {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Prefill speed in tokens per millisecond, to compare the length of a prompt with the wait at an engine: between that of the slowest and the fastest engines
// of the deployments in use (32 and 92).
constexpr std::uint32_t tokensPerMillisecond = 50;
constexpr microseconds prefillPerToken{40};

// Time to fetch the cache of another engine over the network: 3 to 8 microseconds a token in the deployments in use.
constexpr microseconds fetchPerToken{20};

// A cold prompt is sent to its home, where all routers look for it, unless another engine costs less by more than this.
constexpr milliseconds awayFromHomePenalty{100};

// Number of shared tokens above which the parts of a prompt are transferred: the prefill of so many takes 10 to 30 ms, about as long as the request for them
// and the wait for the link of the engine.
constexpr std::uint32_t minTransferTokens = 1000;

// A full store accepts one in this many prompts.
constexpr std::uint64_t fullStoreSaveInterval = 4;
// Fraction of its capacity above which a store counts as full.
constexpr double fullStoreFraction = 0.9;
// The low digits of the random value have already chosen the weights.
constexpr std::uint64_t saveRandomDivisor = 1'000'000'007;

// Time from an announcement until all engines have loaded the new weights and computed the prompts in demand again.
constexpr milliseconds refillDuration{10000};

microseconds ownPrefill(std::uint32_t tokens)
{
    return microseconds(1000) * (tokens / tokensPerMillisecond);
}

} // namespace

PromptCaches &PromptTransfers::caches()
{
    return m_caches;
}

bool PromptTransfers::isStorable(const FleetChoice &choice) const
{
    return m_caches.stores().hasStores() && hasLongSharedParts(choice);
}

RouteCandidate PromptTransfers::cheapest(const RouteDecision &decision, const FleetChoice &choice, Core::TimePoint now) const
{
    const std::uint32_t anywhere = m_caches.warmPartsAnywhere(storeOf(choice), choice.parts, now);
    RouteCandidate best = decision.candidates.front();
    microseconds lowest = cost(best, choice, anywhere, now);
    for (RouteCandidate candidate : decision.candidates) {
        const microseconds offered = cost(candidate, choice, anywhere, now);
        if (offered < lowest) {
            lowest = offered;
            best = candidate;
        }
    }
    return best;
}

microseconds PromptTransfers::work(const RouteCandidate &best, const PromptOutline &prompt)
{
    const std::uint32_t ownTokens = prompt.parts.empty() ? prompt.promptTokens : prompt.parts.back().tokens;
    return best.prefill + ownPrefill(ownTokens);
}

// The engine asks the store for the parts that it lacks, even if its agent reported that it lacks none: a request in vain costs a millisecond, computing a
// part again a hundred. Parts that the store holds are not saved again: the engine would also save the part that belongs to this request alone, and the store
// would evict for it what other requests need.
void PromptTransfers::planTransfers(
    FleetChoice &choice, const FleetQuery &query, const WeightsHistory &history, const RouteChooser &fleet, Core::TimePoint now) const
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
    if (choice.storedParts < choice.parts.size() && isWorthSaving(*store->index, query.randomValue, isFilling)) {
        choice.cacheStore = store->address;
    }
}

// The key of the last shared part determines the store of a prompt, so the store is the same for every version of the weights and for every request with these
// parts.
const CacheStore *PromptTransfers::storeOf(const FleetChoice &choice) const
{
    return hasLongSharedParts(choice) ? m_caches.stores().storeOf(choice.route.keys.back(), choice.route.homeDomain) : nullptr;
}

// Computing a short part is faster than fetching it: an engine runs its transfers one after the other, and that of a long prompt takes up to a tenth of a
// second. Many short prompts, each saved with the part that belongs to its request alone, would also evict the few long ones from the store.
bool PromptTransfers::hasLongSharedParts(const FleetChoice &choice)
{
    if (choice.parts.empty()) {
        return false;
    }
    const auto add = [](std::uint32_t tokens, const SharedPart &part) {
        return tokens + part.tokens;
    };
    return std::accumulate(choice.parts.begin(), choice.parts.end(), std::uint32_t(0), add) >= minTransferTokens;
}

// Returns whether caches are still being filled after new weights.
bool PromptTransfers::isRefilling(const WeightsHistory &history, Core::TimePoint now)
{
    return history.newest() > 0 && now < history.newestAnnouncedAt() + refillDuration;
}

// A full store evicts something useful for each prompt that it accepts, and half of what it accepts belongs to one request alone. Accepting only one of
// several keeps the prompts in repeated demand. Right after new weights, when all its content is useless, it accepts all.
bool PromptTransfers::isWorthSaving(const PartIndex &store, std::uint64_t randomValue, bool isFilling)
{
    const bool hasRoom = static_cast<double>(store.tokens()) < fullStoreFraction * static_cast<double>(store.capacity());
    return isFilling || hasRoom || randomValue / saveRandomDivisor % fullStoreSaveInterval == 0;
}

std::string PromptTransfers::holderOf(const FleetChoice &choice, const RouteChooser &fleet, Core::TimePoint now) const
{
    const auto holder = m_caches.holder(choice.parts, std::max(choice.warmParts, choice.storedParts), now);
    const BackendServer *server = holder.has_value() ? fleet.server(*holder) : nullptr;
    return server == nullptr ? "" : server->endpoint;
}

// Returns the wait of a request at the candidate plus the extra cost for the engine: computing parts that nobody caches and fetching those that another engine
// or store holds. Its own part costs the same everywhere but for the speed of the engine.
microseconds PromptTransfers::cost(RouteCandidate &candidate, const FleetChoice &choice, std::uint32_t warmPartsAnywhere, Core::TimePoint now) const
{
    const std::vector<SharedPart> &parts = choice.parts;
    // Earlier observations of the cache do not count: they may be of other weights.
    candidate.warmPieces = m_caches.warmParts(candidate.id, parts, now).value_or(0);
    candidate.prefill = microseconds(0);
    for (std::uint32_t part = candidate.warmPieces; part < parts.size(); ++part) {
        candidate.prefill += parts[part].tokens * (part < warmPartsAnywhere ? fetchPerToken : prefillPerToken);
    }
    const auto untilFirstToken
        = std::chrono::duration_cast<microseconds>(candidate.slowness * (candidate.wait + candidate.prefill + ownPrefill(choice.ownTokens)));
    // To the caller a late pause is as bad as a late first event, so it costs the route's whole latency target.
    const auto latePauses = std::chrono::duration_cast<microseconds>(candidate.lateFraction * choice.latencyTarget);
    return untilFirstToken + latePauses + (candidate.origin == CandidateOrigin::Home ? microseconds(0) : awayFromHomePenalty);
}

} // namespace Verbena::Decisions
