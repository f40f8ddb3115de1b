#include "usagereservation.h"

namespace Verbena::Relay {

UsageReservation::UsageReservation(UsageControl *control)
    : m_control(control)
{
}

bool UsageReservation::isEnabled() const
{
    return m_control != nullptr;
}

void UsageReservation::claim(const Decisions::UsageClaim &claim, UsageControl::Callback done)
{
    m_claim = claim;
    m_pendingNumber = m_control->claim(claim, [this, done = std::move(done)](const Decisions::UsageVerdict &verdict) {
        m_pendingNumber = 0;
        m_isCharged = verdict.isGranted;
        done(verdict);
    });
}

void UsageReservation::release()
{
    if (m_pendingNumber != 0) {
        m_control->withdraw(m_pendingNumber);
        m_pendingNumber = 0;
    }
    if (m_isCharged) {
        m_isCharged = false;
        m_control->refund(*m_claim);
    }
}

} // namespace Verbena::Relay
