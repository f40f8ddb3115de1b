#pragma once

#include <eventloop/signalwatcher.h>

#include <functional>
#include <memory>
#include <vector>

namespace Verbena::Application {

/// \brief What a program does when it receives a signal; empty functions do nothing.
struct SignalHandlers
{
    std::function<void()> terminate = {}; ///< SIGTERM.
    std::function<void()> interrupt = {}; ///< SIGINT.
    std::function<void()> hangUp = {}; ///< SIGHUP, which would end the process if it was not handled.
};

/// \brief The signals that each program handles: logs them and calls what the program sets.
///
/// Made early in a start, so that one for which no descriptor is left fails before it accepts anything. What comes until the loop runs stays pending.
class ProcessSignals
{
public:
    /// \brief Watches SIGTERM, SIGINT and SIGHUP on \a loop, which must outlive it. Errors: Internal, if no descriptor is left.
    static Core::Result<std::unique_ptr<ProcessSignals>> create(EventLoop::Loop &loop);

    ProcessSignals(const ProcessSignals &) = delete;
    ProcessSignals &operator=(const ProcessSignals &) = delete;

    /// \brief Calls \a handlers from now on.
    void setHandlers(SignalHandlers handlers);

private:
    ProcessSignals() = default;
    Core::Result<void> watch(EventLoop::Loop &loop, int signalNumber, std::function<void()> SignalHandlers::*handler);

    SignalHandlers m_handlers;
    std::vector<std::unique_ptr<EventLoop::SignalWatcher>> m_watchers;
};

} // namespace Verbena::Application
