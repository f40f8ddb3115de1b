#include "crashcontrolhandle.h"

#include <algorithm>
#include <iterator>

namespace Verbena::Relay {

CrashControlHandle::CrashControlHandle(CrashControl *control, std::function<Subjects()> makeSubjects)
    : m_control(control)
    , m_makeSubjects(std::move(makeSubjects))
{
}

CrashControlHandle::~CrashControlHandle()
{
    if (m_control != nullptr) {
        m_control->withdraw(m_pendingNumber);
    }
}

const CrashControlHandle::Subjects &CrashControlHandle::subjects()
{
    if (m_subjects.empty()) {
        m_subjects = m_makeSubjects();
    }
    return m_subjects;
}

const Decisions::CrashSubject &CrashControlHandle::request()
{
    return subjects().front();
}

CrashControlHandle::Subjects CrashControlHandle::suspects()
{
    Subjects suspects;
    if (m_control != nullptr && m_control->hasRecords()) {
        std::copy_if(subjects().begin(), subjects().end(), std::back_inserter(suspects), [this](const auto &each) { return m_control->isSuspected(each); });
    }
    return suspects;
}

std::optional<std::size_t> CrashControlHandle::partIndex(const Decisions::CrashSubject &subject)
{
    const auto firstPart = subjects().begin() + 1;
    const auto part = std::find(firstPart, subjects().end(), subject);
    return part == subjects().end() ? std::nullopt : std::optional(static_cast<std::size_t>(part - firstPart));
}

bool CrashControlHandle::isSuspected()
{
    return !suspects().empty();
}

bool CrashControlHandle::isTrialRequired(std::uint32_t arrivals)
{
    return m_trialArrivals != arrivals && isSuspected();
}

void CrashControlHandle::claimTrial(std::uint32_t arrivals, CrashControl::TrialCallback done)
{
    const auto handle = [this, arrivals, done = std::move(done)](const TrialVerdict &verdict) {
        m_pendingNumber = 0;
        m_trialArrivals = verdict.isGranted ? std::optional(arrivals) : std::nullopt;
        m_trialSubject = verdict.subject;
        done(verdict);
    };
    if (const std::uint64_t number = m_control->claimTrial(suspects(), handle); number != 0) {
        m_pendingNumber = number;
    }
}

void CrashControlHandle::handleLostCall(LostCall call, bool hasEvent, CrashControl::CheckCallback done)
{
    if (m_control == nullptr) {
        done(ServerEnd::Unknown);
        return;
    }
    call.subjects = hasEvent ? Subjects{request()} : subjects();
    const auto handle = [this, done = std::move(done)](ServerEnd end) {
        m_pendingNumber = 0;
        done(end);
    };
    if (const std::uint64_t number = m_control->handleLostCall(call, handle); number != 0) {
        m_pendingNumber = number;
    }
}

void CrashControlHandle::handleFirstEvent()
{
    if (m_control != nullptr && m_control->hasRecords()) {
        m_control->handleSuccess(Subjects(subjects().begin() + 1, subjects().end()));
    }
}

void CrashControlHandle::handleAnswer(bool isSuccess)
{
    m_trialArrivals.reset();
    if (isSuccess && m_control != nullptr && m_control->hasRecords()) {
        m_control->handleSuccess(subjects());
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
        m_control->releaseTrial(m_trialSubject);
    }
    m_trialArrivals.reset();
}

} // namespace Verbena::Relay
