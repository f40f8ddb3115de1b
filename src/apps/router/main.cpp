#include <application/standardoptions.h>
#include <eventloop/loop.h>
#include <eventloop/signalwatcher.h>
#include <router/routertask.h>

#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Verbena;
    const auto options
        = Application::StandardOptions::parse(argc, argv, "Routes callers' requests to the backend servers where their prompts are warm.", VERBENA_VERSION);
    const auto settings = Router::RouterSettings::fromFile(options.settingsPath);
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
    const auto task = Router::RouterTask::create(running, settings.value());
    if (!task) {
        std::cerr << task.error().toString() << '\n';
        return 1;
    }
    EventLoop::SignalWatcher terminate(running, SIGTERM, [&running] { running.stop(); });
    EventLoop::SignalWatcher interrupt(running, SIGINT, [&running] { running.stop(); });
    std::cout << "listening http " << settings.value().listen.address << ":" << task.value()->port() << std::endl;
    running.run();
    return 0;
}
