#pragma once

#include <decisions/relay/memorybudget.h>
#include <http/bytemeter.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Verbena::Observe {
class Metrics;
}

namespace Verbena::Relay {

class CallerConnection;
class RelayedRequest;

/// \brief Returns a meter that counts the unsent bytes of one connection in \a budget, or null if \a budget is null.
std::unique_ptr<Http::ByteMeter> createMeter(Decisions::MemoryBudget *budget, Decisions::HeldKind kind);

/// \brief Holds a router to its memory budget, and reports what it holds and what it gave up.
class MemoryGuard
{
public:
    MemoryGuard(std::optional<std::uint64_t> processBytes, Observe::Metrics &metrics);

    Decisions::MemoryBudget &budget();

    /// \brief Reports that a request was refused, after it had waited for the time \a waited, as it takes \a bytes, or so many at least.
    void reportRefusal(std::uint64_t bytes, std::chrono::milliseconds waited);

    /// \brief Reports what is held and whether that has become short or no longer is. Returns whether callers may have to be cut off.
    bool check();

    /// \brief Chooses which of \a connections, none of which has read all of its answer, are cut off at \a now and reports them; the owner has to cut them off.
    std::vector<CallerConnection *> connectionsToCut(const std::vector<CallerConnection *> &connections, Core::TimePoint now);

    /// \brief Chooses on which of \a requests the current call is given up and reports it; the owner has to give them up.
    std::vector<RelayedRequest *> answersToGiveUp(const std::vector<RelayedRequest *> &requests);

private:
    void reportHeld();
    void reportShortage();
    void reportCut(const Decisions::UnreadCaller &caller, Core::TimePoint now);
    void reportGivenUp(const RelayedRequest &request, std::uint64_t bytes) const;

    Decisions::MemoryBudget m_budget;
    Observe::Metrics &m_metrics;
    std::uint64_t m_reportedBytes = 0;
    bool m_isReportedShort = false;
};

} // namespace Verbena::Relay
