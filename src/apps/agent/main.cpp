#include <agent/agentcontrol.h>
#include <agent/agentevents.h>
#include <agent/agenttask.h>
#include <agent/statuspage.h>
#include <application/processreport.h>
#include <application/standardoptions.h>
#include <application/startsignals.h>
#include <eventloop/loop.h>
#include <eventloop/signalwatcher.h>
#include <observe/eventlog.h>
#include <platform/platformprograms.h>
#include <settingstree/staticsettingsview.h>

#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Verbena;
    Application::holdSignals();
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
    const auto loop = EventLoop::Loop::create();
    if (!loop) {
        return Application::reportStartFailure(loop.error());
    }
    EventLoop::Loop &running = *loop.value();
    Observe::Metrics metrics;
    const auto task = Agent::AgentTask::create(running, settings.value(), metrics);
    if (!task) {
        return Application::reportStartFailure(task.error());
    }
    Agent::AgentTask &agent = *task.value();
    std::unique_ptr<Agent::StatusPage> page;
    if (settings.value().status) {
        auto opened = Agent::StatusPage::create(running, *settings.value().status, agent, metrics);
        if (!opened) {
            return Application::reportStartFailure(opened.error());
        }
        page = std::move(opened.value());
        std::cout << "listening status " << page->address() << std::endl;
    }
    std::shared_ptr<SettingsTree::StaticSettingsView> view;
    if (!settings.value().treeFiles.empty()) {
        auto read = SettingsTree::StaticSettingsView::fromFiles(settings.value().treeFiles);
        if (!read) {
            return Application::reportStartFailure(read.error());
        }
        view = std::move(read.value());
        agent.setSettingsView(view);
    }
    std::unique_ptr<Agent::AgentControl> control;
    if (!settings.value().platformUrl.empty()) {
        auto started = Agent::AgentControl::create(running, settings.value().platformUrl, agent);
        if (!started) {
            return Application::reportStartFailure(started.error());
        }
        control = std::move(started.value());
        if (page) {
            page->setControl(control.get());
        }
    }
    const auto end = [&running, &agent](int signalNumber) {
        Application::reportSignal(signalNumber);
        agent.leave([&running] { running.stop(); });
    };
    EventLoop::SignalWatcher terminate(running, SIGTERM, [&end] { end(SIGTERM); });
    EventLoop::SignalWatcher interrupt(running, SIGINT, [&end] { end(SIGINT); });
    EventLoop::SignalWatcher reload(running, SIGHUP, [&agent, &view] {
        agent.reloadKeys();
        if (!view) {
            return;
        }
        const auto read = view->reload();
        if (!read) {
            Observe::log(Agent::agentSettingsInvalid, read.error());
        }
    });
    std::cout << "listening zmq " << agent.endpoint() << std::endl;
    Application::reportStart(VERBENA_VERSION, agent.endpoint());
    running.run();
    Application::reportStop();
    return 0;
}
