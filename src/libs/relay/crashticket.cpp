#include "crashticket.h"

namespace Verbena::Relay {

CrashTicket::CrashTicket(CrashControl *control, std::function<Decisions::RequestIdentity()> identity)
    : m_control(control)
    , m_makeIdentity(std::move(identity))
{
}

CrashTicket::~CrashTicket()
{
    if (m_control != nullptr) {
        m_control->withdraw(m_number);
    }
}

const Decisions::RequestIdentity &CrashTicket::identity()
{
    if (!m_identity.has_value()) {
        m_identity = m_makeIdentity();
    }
    return *m_identity;
}

bool CrashTicket::isSuspected()
{
    return m_control != nullptr && m_control->hasRecords() && m_control->isSuspected(identity());
}

bool CrashTicket::isBarred(std::uint32_t arrivals)
{
    return isSuspected() && m_trialAfter != arrivals;
}

void CrashTicket::claimTrial(std::uint32_t arrivals, CrashControl::TrialCallback done)
{
    const auto take = [this, arrivals, done = std::move(done)](const TrialVerdict &verdict) {
        m_number = 0;
        m_trialAfter = verdict.isGranted ? std::optional(arrivals) : std::nullopt;
        done(verdict);
    };
    if (const std::uint64_t number = m_control->claimTrial(identity(), take); number != 0) {
        m_number = number;
    }
}

void CrashTicket::noteLost(LostCall call, CrashControl::CheckCallback done)
{
    if (m_control == nullptr) {
        done();
        return;
    }
    call.request = identity();
    const auto take = [this, done = std::move(done)] {
        m_number = 0;
        done();
    };
    if (const std::uint64_t number = m_control->noteLost(call, take); number != 0) {
        m_number = number;
    }
}

void CrashTicket::noteAnswered(bool isSuccess)
{
    m_trialAfter.reset();
    if (isSuccess && m_control != nullptr && m_control->hasRecords()) {
        m_control->noteServed(identity());
    }
}

void CrashTicket::end(std::uint32_t arrivals)
{
    if (m_control == nullptr) {
        return;
    }
    m_control->withdraw(m_number);
    m_number = 0;
    if (m_trialAfter == arrivals) {
        m_control->giveBackTrial(identity());
    }
    m_trialAfter.reset();
}

} // namespace Verbena::Relay
