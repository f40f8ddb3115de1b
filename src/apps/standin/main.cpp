#include <application/processreport.h>
#include <eventloop/loop.h>
#include <eventloop/signalwatcher.h>
#include <standin/enginestandin.h>

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Verbena;
    TCLAP::CmdLine line("Stands in for the systems that verbenaladder meets.", ' ', VERBENA_VERSION);
    std::vector<std::string> roles{"engine"};
    TCLAP::ValuesConstraint<std::string> allowedRoles(roles);
    TCLAP::UnlabeledValueArg<std::string> role("role", "What to stand in for.", true, "engine", &allowedRoles, line);
    TCLAP::ValueArg<int> port("p", "port", "The port to listen on; 0 lets the system choose.", false, 0, "number", line);
    line.parse(argc, argv);
    Observe::configureLog({.process = "standin-" + role.getValue()});
    const auto loop = EventLoop::Loop::create();
    if (!loop) {
        return Application::refuseStart(loop.error());
    }
    EventLoop::Loop &running = *loop.value();
    const auto engine = Standin::EngineStandin::create(running, static_cast<std::uint16_t>(port.getValue()));
    if (!engine) {
        return Application::refuseStart(engine.error());
    }
    EventLoop::SignalWatcher terminate(running, SIGTERM, [&running] {
        Application::reportSignal(SIGTERM);
        running.stop();
    });
    EventLoop::SignalWatcher interrupt(running, SIGINT, [&running] {
        Application::reportSignal(SIGINT);
        running.stop();
    });
    std::cout << "listening http 127.0.0.1:" << engine.value()->port() << std::endl;
    Application::reportStart(VERBENA_VERSION, "127.0.0.1:" + std::to_string(engine.value()->port()));
    running.run();
    Application::reportStop();
    return 0;
}
