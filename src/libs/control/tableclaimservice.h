#pragma once

#include "claimkeeper.h"

#include <router/claimservice.h>

#include <string>
#include <unordered_map>

namespace Verbena::Control {

/// \brief Claims idempotency keys in the platform's table for a router.
class TableClaimService : public Router::ClaimService
{
public:
    /// \brief Uses \a table, which has to live longer. \a owner and \a seed: see ClaimLedger.
    TableClaimService(Store::TableService &table, EventLoop::Loop &loop, const Decisions::ClaimOptions &options, const std::string &owner, std::uint64_t seed);

    void claim(const Router::Claim &claim, Core::TimePoint deadline, Callback done) override;
    void recordEnd(const Router::Claim &claim, Decisions::RunState run) override;

private:
    void receiveResult(const std::string &request, Decisions::ClaimId id, const Decisions::ClaimResult &result, const Callback &done);

    ClaimKeeper m_keeper;
    std::unordered_map<std::string, Decisions::ClaimId> m_granted; ///< By id of the request.
};

} // namespace Verbena::Control
