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

/// \brief Decides by what one router believes of caches where a prompt costs least, and from where to where its parts are moved.
class PromptMoves
{
public:
    /// \brief What is believed of caches, to be kept up to date by its owner.
    PromptCaches &caches();

    /// \brief Whether there are stores of kept KV cache and the prompt of \a choice is worth keeping there.
    bool isForStores(const FleetChoice &choice) const;

    /// \brief The one of the candidates, of which there is at least one, at which the prompt of \a choice costs least.
    RouteCandidate bestOf(const RouteDecision &decision, const FleetChoice &choice, Core::TimePoint now) const;

    /// \brief How long \a best has to read and fetch for \a prompt.
    static std::chrono::microseconds work(const RouteCandidate &best, const PromptOutline &prompt);

    /// \brief Fills in where \a choice, whose engine is chosen from \a fleet, fetches and saves parts; \a history is of the weights of its model.
    void settle(FleetChoice &choice, const FleetQuery &query, const WeightsHistory &history, const RouteChooser &fleet, Core::TimePoint now) const;

private:
    const CacheStore *storeOf(const FleetChoice &choice) const;
    static bool isWorthMoving(const FleetChoice &choice);
    static bool isRefilling(const WeightsHistory &history, Core::TimePoint now);
    static bool isWorthSaving(const PartIndex &store, std::uint64_t draw, bool isFilling);
    std::string holderOf(const FleetChoice &choice, const RouteChooser &fleet, Core::TimePoint now) const;
    std::chrono::microseconds cost(RouteCandidate &candidate, const std::vector<SharedPart> &parts, std::uint32_t warmAnywhere, Core::TimePoint now) const;

    PromptCaches m_caches;
};

} // namespace Verbena::Decisions
