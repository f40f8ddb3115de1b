#include "tableclaimservice.h"

namespace Verbena::Control {

using namespace Decisions;

namespace {

// Duplicates are told that the request ran but not its answer; this status is recorded in its place.
constexpr int ranStatus = 200;

} // namespace

TableClaimService::TableClaimService(
    Store::TableService &table, EventLoop::Loop &loop, const ClaimOptions &options, const std::string &owner, std::uint64_t seed)
    : m_manager(table, loop, options, owner, seed)
{
}

void TableClaimService::claim(const Router::Claim &claim, Core::TimePoint deadline, Callback done)
{
    const ClaimRequest request{claim.organisation, claim.team, claim.key, 0, deadline};
    // The result arrives from the loop, after the id has been stored.
    auto id = std::make_shared<ClaimId>();
    *id = m_manager.claim(
        request, [this, id, name = claim.request, done = std::move(done)](const ClaimResult &result) { receiveResult(name, *id, result, done); });
}

void TableClaimService::receiveResult(const std::string &request, ClaimId id, const ClaimResult &result, const Callback &done)
{
    switch (result.verdict) {
    case ClaimVerdict::Granted:
        // The process may have been paused since the claim was written.
        if (!m_manager.mayDispatch(id)) {
            m_manager.release(id);
            done({Router::ClaimOutcome::Unavailable, RunState::Unknown});
            return;
        }
        m_granted[request] = id;
        done({Router::ClaimOutcome::Granted, RunState::Unknown});
        return;
    case ClaimVerdict::Duplicate:
        done({Router::ClaimOutcome::Taken, result.outcome ? RunState::Run : RunState::Unknown});
        return;
    case ClaimVerdict::NotClaimed:
        done({Router::ClaimOutcome::Unavailable, RunState::Unknown});
        return;
    }
}

void TableClaimService::recordEnd(const Router::Claim &claim, RunState run)
{
    const auto granted = m_granted.extract(claim.request);
    if (granted.empty()) {
        return;
    }
    switch (run) {
    case RunState::Run:
        m_manager.recordOutcome(granted.mapped(), {ranStatus, {}, {}});
        return;
    case RunState::NotRun:
        m_manager.release(granted.mapped());
        return;
    case RunState::Unknown:
        m_manager.abandon(granted.mapped());
        return;
    }
}

} // namespace Verbena::Control
