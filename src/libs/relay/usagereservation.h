#pragma once

#include "usagecontrol.h"

#include <optional>

namespace Verbena::Relay {

/// \brief The part of its organisation's usage cap that one request reserves: claimed before it is sent, refunded if it never runs.
class UsageReservation
{
public:
    /// \brief \a control may be null.
    explicit UsageReservation(UsageControl *control);

    UsageReservation(const UsageReservation &) = delete;
    UsageReservation &operator=(const UsageReservation &) = delete;

    /// \brief Returns whether usage caps are enforced.
    bool isEnabled() const;

    /// \brief Sends \a claim; \a done may be called before this returns.
    void claim(const Decisions::UsageClaim &claim, UsageControl::Callback done);

    /// \brief Refunds a granted claim and cancels a pending one; for a request that has not run and never will.
    void release();

private:
    UsageControl *m_control;
    std::optional<Decisions::UsageClaim> m_claim;
    std::uint64_t m_pendingNumber = 0; ///< Number of the pending claim; 0 if there is none.
    bool m_isCharged = false;
};

} // namespace Verbena::Relay
