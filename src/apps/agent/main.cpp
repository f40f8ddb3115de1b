#include <agent/agenttask.h>
#include <application/processreport.h>
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
    if (options.isDescribing) {
        return Application::printSettingsDescription([](Settings::SettingsReader &reader) { (void)Agent::AgentSettings::read(reader); });
    }
    const auto settings = Agent::AgentSettings::fromFile(options.settingsPath);
    if (!settings) {
        return Application::refuseSettings("verbena-agent", settings.error());
    }
    if (options.isCheckOnly) {
        return 0;
    }
    Observe::configureLog(settings.value().log);
    const auto loop = EventLoop::Loop::create();
    if (!loop) {
        return Application::refuseStart(loop.error());
    }
    EventLoop::Loop &running = *loop.value();
    const auto task = Agent::AgentTask::create(running, settings.value());
    if (!task) {
        return Application::refuseStart(task.error());
    }
    EventLoop::SignalWatcher terminate(running, SIGTERM, [&running] {
        Application::reportSignal(SIGTERM);
        running.stop();
    });
    EventLoop::SignalWatcher interrupt(running, SIGINT, [&running] {
        Application::reportSignal(SIGINT);
        running.stop();
    });
    std::cout << "listening zmq " << task.value()->endpoint() << std::endl;
    Application::reportStart(VERBENA_VERSION, task.value()->endpoint());
    running.run();
    Application::reportStop();
    return 0;
}
