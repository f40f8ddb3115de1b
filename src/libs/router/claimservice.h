#pragma once

#include <core/time.h>
#include <decisions/attempts/attemptaction.h>

#include <functional>
#include <string>

namespace Verbena::Router {

/// \brief The claim of an idempotency key for a request.
struct Claim
{
    std::string organisation;
    std::string team;
    std::string key; ///< Idempotency key as sent by the caller.
    std::string request; ///< Unique id of the request that claims the key.
};

/// \brief The result of a claim.
enum class ClaimOutcome {
    Granted, ///< The request may run; no other request with the same key is granted.
    Taken, ///< Another request holds the key.
    Unavailable, ///< The table cannot be read or written; the request may not run.
};

/// \brief The answer to a claim.
struct ClaimAnswer
{
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    Decisions::RunState holder = Decisions::RunState::Unknown; ///< If the key is taken: whether the request that holds it has run.
};

/// \brief Claims idempotency keys, so that a non-idempotent request runs at most once, whichever routers receive it.
class ClaimService
{
public:
    using Callback = std::function<void(const ClaimAnswer &)>;

    virtual ~ClaimService() = default;

    /// \brief Claims a key; \a done is called once, shortly after \a deadline at the latest.
    virtual void claim(const Claim &claim, Core::TimePoint deadline, Callback done) = 0;

    /// \brief Records how the request of a granted claim ended. If it was not run, its key is released.
    virtual void recordEnd(const Claim &claim, Decisions::RunState run) = 0;
};

/// \brief Answers every claim with Unavailable; for deployments without a table service.
class RefusingClaimService : public ClaimService
{
public:
    void claim(const Claim &claim, Core::TimePoint deadline, Callback done) override;
    void recordEnd(const Claim &claim, Decisions::RunState run) override;
};

} // namespace Verbena::Router
