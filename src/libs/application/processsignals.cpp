#include "processsignals.h"

#include "processreport.h"

#include <csignal>

namespace Verbena::Application {

Core::Result<std::unique_ptr<ProcessSignals>> ProcessSignals::create(EventLoop::Loop &loop)
{
    std::unique_ptr<ProcessSignals> created(new ProcessSignals);
    BOOST_OUTCOME_TRY(created->watch(loop, SIGTERM, &SignalHandlers::terminate));
    BOOST_OUTCOME_TRY(created->watch(loop, SIGINT, &SignalHandlers::interrupt));
    BOOST_OUTCOME_TRY(created->watch(loop, SIGHUP, &SignalHandlers::hangUp));
    return created;
}

Core::Result<void> ProcessSignals::watch(EventLoop::Loop &loop, int signalNumber, std::function<void()> SignalHandlers::*handler)
{
    const auto handle = [this, signalNumber, handler] {
        reportSignal(signalNumber);
        if (m_handlers.*handler) {
            (m_handlers.*handler)();
        }
    };
    VERBENA_TRY(watcher, EventLoop::SignalWatcher::create(loop, signalNumber, handle));
    m_watchers.push_back(std::move(watcher));
    return Core::success();
}

void ProcessSignals::setHandlers(SignalHandlers handlers)
{
    m_handlers = std::move(handlers);
}

} // namespace Verbena::Application
