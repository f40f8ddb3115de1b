#include "processreport.h"

#include "processevents.h"

#include <iostream>

#include <unistd.h>

namespace Verbena::Application {

int reportSettingsError(const std::string &process, const Core::Error &error)
{
    // The log options are in the file that is wrong, so the log uses its defaults.
    Observe::configureLog({.process = process});
    Observe::log(settingsRefused, error);
    Observe::flushLog();
    std::cerr << error.toString() << '\n';
    return invalidSettingsStatus;
}

int reportStartFailure(const Core::Error &error)
{
    Observe::log(startFailed, error);
    Observe::flushLog();
    std::cerr << error.toString() << '\n';
    return startFailedStatus;
}

void reportStart(const std::string &version, const std::string &endpoint)
{
    Observe::log(processStarted, {{"version", version}, {"endpoint", endpoint}, {"pid", std::to_string(getpid())}});
}

void reportSignal(int signalNumber)
{
    Observe::log(signalReceived, {{"signal", std::to_string(signalNumber)}});
}

void reportStop()
{
    Observe::log(processStopped);
}

int reportEndBeforeStart()
{
    reportStop();
    Observe::flushLog();
    return 0;
}

int printSettingsDescription(const std::function<void(Settings::SettingsReader &)> &read)
{
    Settings::SettingsReader reader = Settings::SettingsReader::forDescription();
    read(reader);
    std::cout << Settings::describeAsTable(reader.descriptions());
    return 0;
}

} // namespace Verbena::Application
