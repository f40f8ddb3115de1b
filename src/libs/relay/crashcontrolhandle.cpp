#include "crashcontrolhandle.h"

namespace Verbena::Relay {

CrashControlHandle::CrashControlHandle(CrashControl *control, std::function<Decisions::RequestIdentity()> identity)
    : m_control(control)
    , m_makeIdentity(std::move(identity))
{
}

CrashControlHandle::~CrashControlHandle()
{
    if (m_control != nullptr) {
        m_control->withdraw(m_pendingNumber);
    }
}

const Decisions::RequestIdentity &CrashControlHandle::identity()
{
    if (!m_identity.has_value()) {
        m_identity = m_makeIdentity();
    }
    return *m_identity;
}

bool CrashControlHandle::isSuspected()
{
    return m_control != nullptr && m_control->hasRecords() && m_control->isSuspected(identity());
}

bool CrashControlHandle::isTrialRequired(std::uint32_t arrivals)
{
    return isSuspected() && m_trialArrivals != arrivals;
}

void CrashControlHandle::claimTrial(std::uint32_t arrivals, CrashControl::TrialCallback done)
{
    const auto handle = [this, arrivals, done = std::move(done)](const TrialVerdict &verdict) {
        m_pendingNumber = 0;
        m_trialArrivals = verdict.isGranted ? std::optional(arrivals) : std::nullopt;
        done(verdict);
    };
    if (const std::uint64_t number = m_control->claimTrial(identity(), handle); number != 0) {
        m_pendingNumber = number;
    }
}

void CrashControlHandle::handleLostCall(LostCall call, CrashControl::CheckCallback done)
{
    if (m_control == nullptr) {
        done();
        return;
    }
    call.request = identity();
    const auto handle = [this, done = std::move(done)] {
        m_pendingNumber = 0;
        done();
    };
    if (const std::uint64_t number = m_control->handleLostCall(call, handle); number != 0) {
        m_pendingNumber = number;
    }
}

void CrashControlHandle::handleAnswer(bool isSuccess)
{
    m_trialArrivals.reset();
    if (isSuccess && m_control != nullptr && m_control->hasRecords()) {
        m_control->handleSuccess(identity());
    }
}

void CrashControlHandle::end(std::uint32_t arrivals)
{
    if (m_control == nullptr) {
        return;
    }
    m_control->withdraw(m_pendingNumber);
    m_pendingNumber = 0;
    if (m_trialArrivals == arrivals) {
        m_control->releaseTrial(identity());
    }
    m_trialArrivals.reset();
}

} // namespace Verbena::Relay
