#include "standardoptions.h"

#include <tclap/CmdLine.h>

namespace Verbena::Application {

StandardOptions StandardOptions::parse(int argc, char **argv, const std::string &description, const std::string &version)
{
    TCLAP::CmdLine line(description, ' ', version);
    TCLAP::ValueArg<std::string> settings("s", "settings", "The YAML settings file of this process.", true, "", "file", line);
    TCLAP::SwitchArg check("c", "check", "Check the settings, name every problem, and exit without starting.", line);
    line.parse(argc, argv);
    return {settings.getValue(), check.getValue()};
}

} // namespace Verbena::Application
