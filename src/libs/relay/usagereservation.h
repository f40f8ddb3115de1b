#pragma once

#include "usagecontrol.h"

#include <optional>

namespace Verbena::Relay {

/// \brief What one request uses of its organisation's cap: claimed before it is sent, given back if it never runs.
class UsageReservation
{
public:
    /// \brief \a control may be nothing.
    explicit UsageReservation(UsageControl *control);

    UsageReservation(const UsageReservation &) = delete;
    UsageReservation &operator=(const UsageReservation &) = delete;

    /// \brief Whether anybody keeps caps.
    bool isEnabled() const;

    /// \brief Asks for \a claim; \a done may be called at once.
    void claim(const Decisions::UsageClaim &claim, UsageControl::Callback done);

    /// \brief The request did not run, and never will: what it was granted, or is yet to be, goes to others.
    void release();

private:
    UsageControl *m_control;
    std::optional<Decisions::UsageClaim> m_claim;
    std::uint64_t m_pendingNumber = 0; ///< While the verdict is awaited.
    bool m_isCharged = false;
};

} // namespace Verbena::Relay
