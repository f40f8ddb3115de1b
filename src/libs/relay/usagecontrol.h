#pragma once

#include <decisions/relay/usageclaim.h>

#include <cstdint>
#include <functional>

namespace Verbena::Relay {

/// \brief Decides, for all routers together, whether requests stay within the usage caps of their organisations.
class UsageControl
{
public:
    /// \brief Called once, possibly before claim() returns.
    using Callback = std::function<void(const Decisions::UsageVerdict &verdict)>;

    virtual ~UsageControl() = default;

    /// \brief Claims the cost of one request. Returns a number for withdraw(), or 0 if \a done has already been called.
    virtual std::uint64_t claim(const Decisions::UsageClaim &claim, Callback done) = 0;

    /// \brief Cancels the pending claim \a number; if it is granted later, the cost is refunded.
    virtual void withdraw(std::uint64_t number) = 0;

    /// \brief Refunds the granted \a claim of a request that did not run.
    virtual void refund(const Decisions::UsageClaim &claim) = 0;
};

} // namespace Verbena::Relay
