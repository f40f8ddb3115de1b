#pragma once

#include <core/result.h>
#include <core/time.h>

#include <functional>
#include <string>

namespace Verbena::Application {

/// \brief Decides how often a step of the start is tried that may succeed later, and waits between the tries.
///
/// A port may still be held by the process before or by an outgoing connection, and a file may still be being written.
class StartAttempts
{
public:
    /// \brief Allows tries until \a deadline.
    explicit StartAttempts(Core::TimePoint deadline);

    /// \brief Waits before the next try of the step that failed with \a error, which is logged. Returns false if there is to be none: the deadline has
    /// passed or isEnded().
    bool awaitNext(const Core::Error &error);

    /// \brief Returns whether the process was asked to end meanwhile.
    bool isEnded() const;

private:
    void report(const Core::Error &error, Core::TimePoint now);

    Core::TimePoint m_deadline;
    Core::TimePoint m_nextReport{}; ///< Time from which the same failure is logged again.
    std::string m_reported; ///< The failure that was logged last.
    unsigned m_failures = 0;
    bool m_isEnded = false;
};

/// \brief Calls \a serve, which returns once the process has done its work, and calls it again until \a deadline if the start fails for a reason that may pass.
/// Returns the exit status of the process.
int serveWithRetries(Core::TimePoint deadline, const std::function<Core::Result<void>()> &serve);

} // namespace Verbena::Application
