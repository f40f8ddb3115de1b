#pragma once

#include <core/time.h>
#include <decisions/attempts/attemptaction.h>

#include <functional>
#include <string>

namespace Verbena::Router {

/// \brief Which idempotency key is claimed, and for which request.
struct Claim
{
    std::string organisation;
    std::string team;
    std::string key; ///< As the caller gave it.
    std::string request; ///< Id of the request that claims it; no two requests have the same.
};

/// \brief How a claim ended.
enum class ClaimOutcome {
    Granted, ///< This request may run; no other with the same key will be granted.
    Taken, ///< Another request holds the key.
    Unavailable, ///< The table cannot say; nothing may run.
};

/// \brief The answer to a claim.
struct ClaimAnswer
{
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    Decisions::RunState holder = Decisions::RunState::Unknown; ///< If taken: what is known of the request that holds the key.
};

/// \brief Claims idempotency keys, so that a non-idempotent request runs at most once, whichever router it comes to.
class ClaimService
{
public:
    using Callback = std::function<void(const ClaimAnswer &)>;

    virtual ~ClaimService() = default;

    /// \brief Claims a key; \a done is called once, at the latest shortly after \a deadline.
    virtual void claim(const Claim &claim, Core::TimePoint deadline, Callback done) = 0;

    /// \brief Notes what became of the request of a granted claim. One that was not run gives its key back.
    virtual void recordEnd(const Claim &claim, Decisions::RunState run) = 0;
};

/// \brief Grants nothing; for deployments without a table service.
class RefusingClaimService : public ClaimService
{
public:
    void claim(const Claim &claim, Core::TimePoint deadline, Callback done) override;
    void recordEnd(const Claim &claim, Decisions::RunState run) override;
};

} // namespace Verbena::Router
