#include "standardoptions.h"

#include <tclap/CmdLine.h>

namespace Verbena::Application {

namespace {

constexpr const char *commonHelp
    = "\nIt prints one line \"listening ...\" on standard output for each address it listens on, and logs numbered events on standard "
      "error; docs/EVENTS.md tells what each means and what to do.\nSIGTERM ends it after what runs has finished.\nExit status: 0 after an orderly end or a "
      "check without problems, 1 if it could not start, 2 if the settings "
      "are wrong.\nThe keys of the settings file are explained in docs/SETTINGS.md, the rest in docs/OPERATING.md.";

} // namespace

StandardOptions StandardOptions::parse(int argc, char **argv, const std::string &description, const std::string &version)
{
    TCLAP::CmdLine line(description + commonHelp, ' ', version);
    TCLAP::ValueArg<std::string> settings("s", "settings", "The YAML settings file of this process.", true, "", "file");
    TCLAP::SwitchArg describe("", "describe-settings", "Print every key of the settings file with type, default and range, and exit.");
    line.xorAdd(settings, describe);
    TCLAP::SwitchArg check("c", "check", "Check the settings, name every problem, and exit: 0 if all is well, 2 if not.", line);
    line.parse(argc, argv);
    return {settings.getValue(), check.getValue(), describe.getValue()};
}

} // namespace Verbena::Application
