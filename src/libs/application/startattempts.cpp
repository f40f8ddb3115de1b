#include "startattempts.h"

#include "processevents.h"
#include "processreport.h"
#include "startsignals.h"

#include <observe/eventlog.h>

#include <thread>

namespace Verbena::Application {

namespace {

constexpr std::chrono::milliseconds retryInterval{25};

// Interval at which a failure that stays the same is logged again.
constexpr std::chrono::milliseconds reportInterval{1000};

// Returns whether a start that failed with \a code may succeed later, for instance since another process holds a port.
bool isTransient(Core::ErrorCode code)
{
    return code != Core::ErrorCode::InvalidArgument && code != Core::ErrorCode::PermissionDenied && code != Core::ErrorCode::NotFound;
}

} // namespace

StartAttempts::StartAttempts(Core::TimePoint deadline)
    : m_deadline(deadline)
{
}

bool StartAttempts::waitForRetry(const Core::Error &error)
{
    const Core::TimePoint now = Core::Clock::now();
    m_isEndRequested = Application::isEndRequested();
    if (m_isEndRequested || now >= m_deadline) {
        return false;
    }
    ++m_failures;
    report(error, now);
    std::this_thread::sleep_for(retryInterval);
    return true;
}

bool StartAttempts::isEndRequested() const
{
    return m_isEndRequested;
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

// A router that came up all the same would count its grace period from then on.
int serveWithRetries(Core::TimePoint deadline, const std::function<Core::Result<void>()> &serve)
{
    if (isEndRequested()) {
        return reportEndBeforeStart();
    }
    StartAttempts attempts(deadline);
    Core::Result<void> served = serve();
    while (!served && isTransient(served.error().code) && attempts.waitForRetry(served.error())) {
        served = serve();
    }
    if (attempts.isEndRequested()) {
        return reportEndBeforeStart();
    }
    return served ? 0 : reportStartFailure(served.error());
}

} // namespace Verbena::Application
