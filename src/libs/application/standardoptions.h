#pragma once

#include <string>

namespace Verbena::Application {

/// \brief The options that every server program takes.
struct StandardOptions
{
    std::string settingsPath;
    std::string hostPath; ///< The file in which the platform describes the host; then there are no settings of our own.
    bool isCheckOnly = false; ///< Check the settings and exit without starting.
    bool isDescribing = false; ///< Print what the settings file may hold and exit; there is no settings file then.

    /// \brief Reads the command line; prints help, version or an error and exits where the user asked for that.
    static StandardOptions parse(int argc, char **argv, const std::string &description, const std::string &version);

    /// \brief As parse(), for a program that also runs on the users' platform.
    static StandardOptions parseWithHost(int argc, char **argv, const std::string &description, const std::string &version);
};

} // namespace Verbena::Application
