#include <agent/agenttask.h>
#include <application/standardoptions.h>
#include <eventloop/loop.h>
#include <eventloop/signalwatcher.h>

#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Verbena;
    const auto options
        = Application::StandardOptions::parse(argc, argv, "Stands beside one backend server and decides what it runs and when.", VERBENA_VERSION);
    const auto settings = Agent::AgentSettings::fromFile(options.settingsPath);
    if (!settings) {
        std::cerr << settings.error().toString() << '\n';
        return 2;
    }
    if (options.isCheckOnly) {
        return 0;
    }
    const auto loop = EventLoop::Loop::create();
    if (!loop) {
        std::cerr << loop.error().toString() << '\n';
        return 1;
    }
    EventLoop::Loop &running = *loop.value();
    const auto task = Agent::AgentTask::create(running, settings.value());
    if (!task) {
        std::cerr << task.error().toString() << '\n';
        return 1;
    }
    EventLoop::SignalWatcher terminate(running, SIGTERM, [&running] { running.stop(); });
    EventLoop::SignalWatcher interrupt(running, SIGINT, [&running] { running.stop(); });
    std::cout << "listening zmq " << task.value()->endpoint() << std::endl;
    running.run();
    return 0;
}
