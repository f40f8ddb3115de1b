#include "standardoptions.h"

#include <tclap/CmdLine.h>

namespace Verbena::Application {

namespace {

constexpr const char *commonHelp
    = "\nIt prints one line \"listening ...\" on standard output for each address it listens on, and logs numbered events on standard "
      "error; docs/EVENTS.md explains each event and what to do.\nOn SIGTERM it ends after its running work has finished.\nExit status: 0 after a regular end "
      "or a "
      "check without problems, 1 if it could not start, 2 if the settings "
      "are wrong.\nThe keys of the settings file are explained in docs/SETTINGS.md, the rest in docs/OPERATIONS.md.";

} // namespace

namespace {

StandardOptions parseOptions(int argc, char **argv, const std::string &description, const std::string &version, bool hasHost)
{
    TCLAP::CmdLine line(description + commonHelp, ' ', version);
    TCLAP::ValueArg<std::string> settings("s", "settings", "The YAML settings file of this process.", true, "", "file");
    TCLAP::ValueArg<std::string> host(
        "", "host", "The YAML file in which the users' platform describes this host; replaces the settings file.", true, "", "file");
    TCLAP::SwitchArg describe("", "describe-settings", "Print every key of the settings file with type, default and range, and exit.");
    std::vector<TCLAP::Arg *> choices{&settings, &describe};
    if (hasHost) {
        choices.push_back(&host);
    }
    line.xorAdd(choices);
    TCLAP::SwitchArg check("c", "check", "Check the settings, report every problem and exit with status 0 if there is none, 2 otherwise.", line);
    line.parse(argc, argv);
    return {settings.getValue(), host.getValue(), check.getValue(), describe.getValue()};
}

} // namespace

StandardOptions StandardOptions::parse(int argc, char **argv, const std::string &description, const std::string &version)
{
    return parseOptions(argc, argv, description, version, false);
}

StandardOptions StandardOptions::parseWithHost(int argc, char **argv, const std::string &description, const std::string &version)
{
    return parseOptions(argc, argv, description, version, true);
}

} // namespace Verbena::Application
