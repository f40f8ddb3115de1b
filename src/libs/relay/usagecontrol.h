#pragma once

#include <decisions/relay/usageclaim.h>

#include <cstdint>
#include <functional>

namespace Verbena::Relay {

/// \brief Whoever decides, for all routers together, whether requests stay within their organisations' caps.
class UsageControl
{
public:
    /// \brief Told once; may be told before claim() returns.
    using Callback = std::function<void(const Decisions::UsageVerdict &verdict)>;

    virtual ~UsageControl() = default;

    /// \brief Asks for the cost of one request. Returns a number by which the question can be withdrawn, 0 if it is answered already.
    virtual std::uint64_t claim(const Decisions::UsageClaim &claim, Callback done) = 0;

    /// \brief The request of the open question \a number is gone; what is granted to it later goes back.
    virtual void withdraw(std::uint64_t number) = 0;

    /// \brief A request that was granted \a claim did not run.
    virtual void refund(const Decisions::UsageClaim &claim) = 0;
};

} // namespace Verbena::Relay
