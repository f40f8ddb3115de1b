#include "standinoptions.h"

#include <application/processreport.h>
#include <eventloop/loop.h>
#include <eventloop/signalwatcher.h>
#include <standin/enginestandin.h>
#include <standin/platformstandin.h>
#include <standin/servicestandin.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace Verbena;

void stopFor(EventLoop::Loop &loop, int signalNumber)
{
    Application::reportSignal(signalNumber);
    loop.stop();
}

int runUntilSignal(EventLoop::Loop &loop, std::uint16_t port)
{
    const auto terminate = EventLoop::SignalWatcher::create(loop, SIGTERM, [&loop] { stopFor(loop, SIGTERM); });
    const auto interrupt = EventLoop::SignalWatcher::create(loop, SIGINT, [&loop] { stopFor(loop, SIGINT); });
    if (!terminate || !interrupt) {
        return Application::reportStartFailure(terminate ? interrupt.error() : terminate.error());
    }
    const std::string address = "127.0.0.1:" + std::to_string(port);
    std::cout << "listening http " << address << std::endl;
    Application::reportStart(VERBENA_VERSION, address);
    loop.run();
    Application::reportStop();
    // Requests that a fault left unanswered stay open forever, so the process exits without waiting for them.
    std::_Exit(EXIT_SUCCESS);
}

} // namespace

int main(int argc, char **argv)
{
    const StandinOptions options = StandinOptions::parse(argc, argv, VERBENA_VERSION);
    Observe::configureLog({.process = "standin-" + options.role});
    const auto loop = EventLoop::Loop::create();
    if (!loop) {
        return Application::reportStartFailure(loop.error());
    }
    if (options.role == "platform") {
        const auto platform = Standin::PlatformStandin::create(*loop.value(), options.engine.port);
        return platform ? runUntilSignal(*loop.value(), platform.value()->port()) : Application::reportStartFailure(platform.error());
    }
    if (options.role == "service") {
        const auto service = Standin::ServiceStandin::create(*loop.value(), options.service);
        return service ? runUntilSignal(*loop.value(), service.value()->port()) : Application::reportStartFailure(service.error());
    }
    const auto engine = Standin::EngineStandin::create(*loop.value(), options.engine);
    return engine ? runUntilSignal(*loop.value(), engine.value()->port()) : Application::reportStartFailure(engine.error());
}
