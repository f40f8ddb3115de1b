#include "usageticket.h"

namespace Verbena::Relay {

UsageTicket::UsageTicket(UsageControl *control)
    : m_control(control)
{
}

bool UsageTicket::isKept() const
{
    return m_control != nullptr;
}

void UsageTicket::claim(const Decisions::UsageClaim &claim, UsageControl::Callback done)
{
    m_claim = claim;
    m_number = m_control->claim(claim, [this, done = std::move(done)](const Decisions::UsageVerdict &verdict) {
        m_number = 0;
        m_isCharged = verdict.isGranted;
        done(verdict);
    });
}

void UsageTicket::release()
{
    if (m_number != 0) {
        m_control->withdraw(m_number);
        m_number = 0;
    }
    if (m_isCharged) {
        m_isCharged = false;
        m_control->giveBack(*m_claim);
    }
}

} // namespace Verbena::Relay
