#pragma once

#include "claimmanager.h"

#include <router/claimservice.h>

#include <string>
#include <unordered_map>

namespace Verbena::Control {

/// \brief Claims idempotency keys in the platform's table for a router.
class TableClaimService : public Router::ClaimService
{
public:
    /// \brief Uses \a table, which must outlive this object. \a owner and \a seed: see ClaimRegistry.
    TableClaimService(Store::TableService &table, EventLoop::Loop &loop, const Decisions::ClaimOptions &options, const std::string &owner, std::uint64_t seed);

    void claim(const Router::Claim &claim, Core::TimePoint deadline, Callback done) override;
    void recordEnd(const Router::Claim &claim, Decisions::RunState run) override;

private:
    void receiveResult(const std::string &request, Decisions::ClaimId id, const Decisions::ClaimResult &result, const Callback &done);

    ClaimManager m_manager;
    std::unordered_map<std::string, Decisions::ClaimId> m_granted; ///< Granted claims by request id.
};

} // namespace Verbena::Control
