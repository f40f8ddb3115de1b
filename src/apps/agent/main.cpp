#include <agent/agentcontrol.h>
#include <agent/agentevents.h>
#include <agent/agenttask.h>
#include <agent/statuspage.h>
#include <application/descriptorlimit.h>
#include <application/loopguard.h>
#include <application/processreport.h>
#include <application/processsignals.h>
#include <application/standardoptions.h>
#include <application/startattempts.h>
#include <eventloop/loop.h>
#include <loader/programentry.h>
#include <observe/eventlog.h>
#include <platform/platformprograms.h>
#include <settingstree/staticsettingsview.h>

#include <iostream>

namespace {

using namespace Verbena;

Core::Result<std::unique_ptr<Agent::StatusPage>> openStatusPage(
    EventLoop::Loop &loop, const Agent::AgentSettings &settings, const Agent::AgentTask &agent, Observe::Metrics &metrics)
{
    if (!settings.status) {
        return std::unique_ptr<Agent::StatusPage>();
    }
    return Agent::StatusPage::create(loop, *settings.status, agent, metrics);
}

Core::Result<std::unique_ptr<Agent::AgentControl>> followPlatform(EventLoop::Loop &loop, const Agent::AgentSettings &settings, Agent::AgentTask &agent)
{
    if (settings.platformUrl.empty()) {
        return std::unique_ptr<Agent::AgentControl>();
    }
    return Agent::AgentControl::create(loop, settings.platformUrl, agent);
}

void reload(Agent::AgentTask &agent, SettingsTree::StaticSettingsView *view)
{
    agent.reloadKeys();
    if (view == nullptr) {
        return;
    }
    const auto read = view->reload();
    if (!read) {
        Observe::log(Agent::agentSettingsInvalid, read.error());
    }
}

Core::Result<void> serve(const Agent::AgentSettings &settings)
{
    VERBENA_TRY(loop, EventLoop::Loop::create());
    VERBENA_TRY(signals, Application::ProcessSignals::create(*loop));
    Observe::Metrics metrics;
    VERBENA_TRY(agent, Agent::AgentTask::create(*loop, settings, metrics));
    VERBENA_TRY(page, openStatusPage(*loop, settings, *agent, metrics));
    std::shared_ptr<SettingsTree::StaticSettingsView> view;
    if (!settings.treeFiles.empty()) {
        VERBENA_TRY(read, SettingsTree::StaticSettingsView::fromFiles(settings.treeFiles));
        view = std::move(read);
        agent->setSettingsView(view);
    }
    VERBENA_TRY(control, followPlatform(*loop, settings, *agent));
    if (page != nullptr && control != nullptr) {
        page->setControl(control.get());
    }
    const auto end = [&loop, &agent] {
        agent->leave([&loop] { loop->stop(); });
    };
    const auto watchdog = Application::watchLoop(*loop);
    signals->setHandlers({.terminate = end, .interrupt = end, .hangUp = [&agent, &view] {
                              reload(*agent, view.get());
                          }});
    if (page != nullptr) {
        std::cout << "listening status " << page->address() << std::endl;
    }
    std::cout << "listening zmq " << agent->endpoint() << std::endl;
    Application::reportStart(VERBENA_VERSION, agent->endpoint());
    loop->run();
    Application::reportStop();
    return Core::success();
}

} // namespace

int verbenaMain(int argc, char **argv)
{
    const auto options = Application::StandardOptions::parseWithHost(
        argc, argv, "Stands beside one backend server and decides what it runs and when. SIGHUP makes it read its key and tree files again.", VERBENA_VERSION);
    if (!options.hostPath.empty()) {
        return Platform::runAgent(options, VERBENA_VERSION);
    }
    if (options.isDescribing) {
        return Application::printSettingsDescription([](Settings::SettingsReader &reader) { (void)Agent::AgentSettings::read(reader); });
    }
    const auto settings = Agent::AgentSettings::fromFile(options.settingsPath);
    if (!settings) {
        return Application::reportSettingsError("verbena-agent", settings.error());
    }
    if (options.isCheckOnly) {
        return 0;
    }
    Observe::configureLog(settings.value().log);
    (void)Application::raiseDescriptorLimit();
    return Application::serveWithRetries(Core::Clock::now() + Application::defaultStartTime, [&settings] { return serve(settings.value()); });
}
