#include "routercontrol.h"

#include <application/processreport.h>
#include <application/standardoptions.h>
#include <application/startsignals.h>
#include <eventloop/loop.h>
#include <eventloop/signalwatcher.h>
#include <platform/platformprograms.h>
#include <router/routertask.h>
#include <settingstree/staticsettingsview.h>

#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Verbena;
    Application::holdSignals();
    const auto options = Application::StandardOptions::parseWithHost(
        argc, argv, "Routes callers' requests to the backend servers where their prompts are warm.", VERBENA_VERSION);
    if (!options.hostPath.empty()) {
        return Platform::runRouter(options, VERBENA_VERSION);
    }
    if (options.isDescribing) {
        return Application::printSettingsDescription([](Settings::SettingsReader &reader) { (void)Router::RouterSettings::read(reader); });
    }
    const auto settings = Router::RouterSettings::fromFile(options.settingsPath);
    if (!settings) {
        return Application::reportSettingsError("verbena-router", settings.error());
    }
    if (options.isCheckOnly) {
        return 0;
    }
    Observe::configureLog(settings.value().log);
    const auto loop = EventLoop::Loop::create();
    if (!loop) {
        return Application::reportStartFailure(loop.error());
    }
    EventLoop::Loop &running = *loop.value();
    std::unique_ptr<Router::RouterControl> control;
    Router::RouterServices services;
    if (settings.value().platformUrl.empty()) {
        auto view = SettingsTree::StaticSettingsView::fromFiles(settings.value().treeFiles);
        if (!view) {
            return Application::reportSettingsError("verbena-router", view.error());
        }
        services = {std::move(view.value()), std::make_shared<Router::RefusingClaimService>()};
    } else {
        auto started = Router::RouterControl::create(running, settings.value());
        if (!started) {
            return Application::reportStartFailure(started.error());
        }
        control = std::move(started.value());
        services = control->services();
    }
    const auto task = Router::RouterTask::create(running, settings.value(), services);
    if (!task) {
        return Application::reportStartFailure(task.error());
    }
    if (control) {
        control->attach(*task.value());
    }
    EventLoop::SignalWatcher terminate(running, SIGTERM, [&running, &task] {
        Application::reportSignal(SIGTERM);
        task.value()->beginShutdown([&running] { running.stop(); });
    });
    EventLoop::SignalWatcher interrupt(running, SIGINT, [&running] {
        Application::reportSignal(SIGINT);
        running.stop();
    });
    // Unhandled, SIGHUP would end the process. It is only logged, as the router has no files to reload.
    EventLoop::SignalWatcher hangUp(running, SIGHUP, [] { Application::reportSignal(SIGHUP); });
    std::cout << "listening http " << settings.value().listen.address << ":" << task.value()->port() << std::endl;
    Application::reportStart(VERBENA_VERSION, settings.value().listen.address + ":" + std::to_string(task.value()->port()));
    running.run();
    Application::reportStop();
    return 0;
}
