#pragma once

#include <string>

namespace Verbena::Application {

/// \brief The command-line options of every server program.
struct StandardOptions
{
    std::string settingsPath; ///< Settings file of this process.
    std::string hostPath; ///< File in which the platform describes the host; replaces the settings file.
    bool isCheckOnly = false; ///< True to check the settings and exit without starting.
    bool isDescribing = false; ///< True to print the keys of the settings file and exit; no settings file is read.

    /// \brief Parses the command line. Prints the help, the version or an error and exits if applicable.
    static StandardOptions parse(int argc, char **argv, const std::string &description, const std::string &version);

    /// \brief Does the same as parse() and adds the option --host, for programs that also run on the users' platform.
    static StandardOptions parseWithHost(int argc, char **argv, const std::string &description, const std::string &version);
};

} // namespace Verbena::Application
