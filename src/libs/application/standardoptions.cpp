#include "standardoptions.h"

#include <tclap/CmdLine.h>

namespace Verbena::Application {

StandardOptions StandardOptions::parse(int argc, char **argv, const std::string &description, const std::string &version)
{
    TCLAP::CmdLine line(description, ' ', version);
    TCLAP::ValueArg<std::string> settings("s", "settings", "The YAML settings file of this process.", true, "", "file");
    TCLAP::SwitchArg describe("", "describe-settings", "Print every key of the settings file with type, default and range, and exit.");
    line.xorAdd(settings, describe);
    TCLAP::SwitchArg check("c", "check", "Check the settings, name every problem, and exit: 0 if all is well, 2 if not.", line);
    line.parse(argc, argv);
    return {settings.getValue(), check.getValue(), describe.getValue()};
}

} // namespace Verbena::Application
