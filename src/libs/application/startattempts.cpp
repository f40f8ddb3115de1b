#include "startattempts.h"

#include "processevents.h"
#include "processreport.h"
#include "startsignals.h"

#include <observe/eventlog.h>

#include <thread>

namespace Verbena::Application {

namespace {

constexpr std::chrono::milliseconds attemptPause{25};

// Interval at which a failure that stays the same is logged again.
constexpr std::chrono::milliseconds reportInterval{1000};

// Returns whether a start that failed with \a code may succeed later, for instance since another process holds a port.
bool isPassing(Core::ErrorCode code)
{
    return code != Core::ErrorCode::InvalidArgument && code != Core::ErrorCode::PermissionDenied && code != Core::ErrorCode::NotFound;
}

} // namespace

StartAttempts::StartAttempts(Core::TimePoint deadline)
    : m_deadline(deadline)
{
}

bool StartAttempts::awaitNext(const Core::Error &error)
{
    const Core::TimePoint now = Core::Clock::now();
    m_isEnded = isEndRequested();
    if (m_isEnded || now >= m_deadline) {
        return false;
    }
    ++m_failures;
    report(error, now);
    std::this_thread::sleep_for(attemptPause);
    return true;
}

bool StartAttempts::isEnded() const
{
    return m_isEnded;
}

void StartAttempts::report(const Core::Error &error, Core::TimePoint now)
{
    const std::string failure = error.toString();
    if (failure == m_reported && now < m_nextReport) {
        return;
    }
    m_reported = failure;
    m_nextReport = now + reportInterval;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now);
    Observe::log(startDelayed, error, {{"attempt", std::to_string(m_failures)}, {"left_ms", std::to_string(left.count())}});
    Observe::flushLog();
}

int serveWithRetries(Core::TimePoint deadline, const std::function<Core::Result<void>()> &serve)
{
    StartAttempts attempts(deadline);
    Core::Result<void> served = serve();
    while (!served && isPassing(served.error().code) && attempts.awaitNext(served.error())) {
        served = serve();
    }
    if (attempts.isEnded()) {
        return reportEndBeforeStart();
    }
    return served ? 0 : reportStartFailure(served.error());
}

} // namespace Verbena::Application
