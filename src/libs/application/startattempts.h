#pragma once

#include <core/result.h>
#include <core/time.h>

#include <functional>
#include <string>

namespace Verbena::Application {

/// \brief Limits the retries of a step of the start to a deadline, and waits between them.
///
/// A port may still be held by the predecessor or by an outgoing connection, and a file may still be being written.
class StartAttempts
{
public:
    /// \brief Allows tries until \a deadline.
    explicit StartAttempts(Core::TimePoint deadline);

    /// \brief Waits before the next try of the step that failed with \a error, which is logged. Returns false if there is to be none: the deadline has
    /// passed or isEndRequested().
    bool waitForRetry(const Core::Error &error);

    /// \brief Returns whether SIGTERM or SIGINT stopped the retries.
    bool isEndRequested() const;

private:
    void report(const Core::Error &error, Core::TimePoint now);

    Core::TimePoint m_deadline;
    Core::TimePoint m_nextReport{}; ///< Time from which the same failure is logged again.
    std::string m_reported; ///< The failure that was logged last.
    unsigned m_failures = 0;
    bool m_isEndRequested = false;
};

/// \brief Time from the start of a process until its predecessor, which may still hold its ports, has ended, unless the settings say more.
inline constexpr std::chrono::seconds defaultStartTime{10};

/// \brief Calls \a serve again until \a deadline if it fails for a reason that may pass, and returns the exit status of the process. \a serve returns once the
/// process has done its work; it returns an error only if the start failed. A process that has been asked to end by then does not start.
int serveWithRetries(Core::TimePoint deadline, const std::function<Core::Result<void>()> &serve);

} // namespace Verbena::Application
