#pragma once

#include "fleetchoice.h"
#include "promptcaches.h"
#include "promptoutline.h"
#include "weightschoice.h"

#include <core/time.h>
#include <decisions/routing/routechooser.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief Decides by the assumed content of caches at which engine a prompt costs least, and from where to where its parts are transferred.
class PromptTransfers
{
public:
    /// \brief Returns the assumed content of caches, which the owner keeps up to date.
    PromptCaches &caches();

    /// \brief Returns whether there are stores of saved KV cache and the prompt of \a choice is long enough to be saved there.
    bool isStorable(const FleetChoice &choice) const;

    /// \brief Returns the candidate of \a decision at which the prompt of \a choice costs least; there must be at least one.
    RouteCandidate cheapest(const RouteDecision &decision, const FleetChoice &choice, Core::TimePoint now) const;

    /// \brief Returns the time that the engine \a best needs to compute and fetch the parts of \a prompt.
    static std::chrono::microseconds work(const RouteCandidate &best, const PromptOutline &prompt);

    /// \brief Sets from where \a choice, whose engine is chosen from \a fleet, fetches parts and where it saves them; \a history is that of the weights of its
    /// model.
    void planTransfers(FleetChoice &choice, const FleetQuery &query, const WeightsHistory &history, const RouteChooser &fleet, Core::TimePoint now) const;

    /// \brief Returns whether the shared parts of the prompt are so long that an engine which has them cached saves noticeable time.
    static bool hasLongSharedParts(const FleetChoice &choice);

private:
    const CacheStore *storeOf(const FleetChoice &choice) const;
    static bool isRefilling(const WeightsHistory &history, Core::TimePoint now);
    static bool isWorthSaving(const PartIndex &store, std::uint64_t randomValue, bool isFilling);
    std::string holderOf(const FleetChoice &choice, const RouteChooser &fleet, Core::TimePoint now) const;
    std::chrono::microseconds cost(RouteCandidate &candidate, const FleetChoice &choice, std::uint32_t warmPartsAnywhere, Core::TimePoint now) const;

    PromptCaches m_caches;
};

} // namespace Verbena::Decisions
