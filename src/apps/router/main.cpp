#include "routercontrol.h"

#include <application/descriptorlimit.h>
#include <application/loopguard.h>
#include <application/processreport.h>
#include <application/processsignals.h>
#include <application/standardoptions.h>
#include <application/startattempts.h>
#include <eventloop/loop.h>
#include <loader/programentry.h>
#include <platform/platformprograms.h>
#include <router/routertask.h>
#include <settingstree/staticsettingsview.h>

#include <iostream>

namespace {

using namespace Verbena;

/// \brief What a router needs beside its task, which refers to it.
struct Environment
{
    std::unique_ptr<Router::RouterControl> control; ///< Null if the settings tree is read from files.
    Router::RouterServices services;
};

using SettingsView = std::shared_ptr<SettingsTree::StaticSettingsView>; // Null if the settings tree is read from the platform.

Core::Result<Environment> createEnvironment(EventLoop::Loop &loop, const Router::RouterSettings &settings, const SettingsView &view)
{
    if (view != nullptr) {
        return Environment{nullptr, {view, std::make_shared<Router::RefusingClaimService>()}};
    }
    VERBENA_TRY(control, Router::RouterControl::create(loop, settings));
    const Router::RouterServices services = control->services();
    return Environment{std::move(control), services};
}

Core::Result<void> serve(const Router::RouterSettings &settings, const SettingsView &view)
{
    VERBENA_TRY(loop, EventLoop::Loop::create());
    VERBENA_TRY(signals, Application::ProcessSignals::create(*loop));
    VERBENA_TRY(environment, createEnvironment(*loop, settings, view));
    VERBENA_TRY(task, Router::RouterTask::create(*loop, settings, environment.services));
    if (environment.control) {
        environment.control->attach(*task);
    }
    const auto watchdog = Application::watchLoop(*loop);
    // SIGHUP is only logged, as the router has no files to reload.
    signals->setHandlers({
        .terminate = [&loop, &task] { task->beginShutdown([&loop] { loop->stop(); }); },
        .interrupt = [&loop] { loop->stop(); },
    });
    const std::string endpoint = settings.listen.address + ":" + std::to_string(task->port());
    std::cout << "listening http " << endpoint << std::endl;
    Application::reportStart(VERBENA_VERSION, endpoint);
    loop->run();
    Application::reportStop();
    return Core::success();
}

} // namespace

int verbenaMain(int argc, char **argv)
{
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
    SettingsView view;
    if (settings.value().platformUrl.empty()) {
        auto read = SettingsTree::StaticSettingsView::fromFiles(settings.value().treeFiles);
        if (!read) {
            return Application::reportSettingsError("verbena-router", read.error());
        }
        view = std::move(read.value());
    }
    (void)Application::raiseDescriptorLimit();
    return Application::serveWithRetries(Core::Clock::now() + Application::defaultStartTime, [&] { return serve(settings.value(), view); });
}
