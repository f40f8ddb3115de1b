#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace Verbena::Tool {

/// \brief The command line of verbenactl.
struct Arguments
{
    std::vector<std::string> words; ///< The command and what it is about.
    std::string platformUrl;
    std::string operatorName;
    std::string operatorKeyFile;
    std::vector<std::string> prunedSubtrees;
    std::vector<std::string> processUrls;
    std::string apiKeyFile;
    std::string model;
    bool isUndoing = false;
    std::chrono::milliseconds timeout{5'000};

    /// \brief Reads the command line; prints help, version or an error and exits where the user asked for that.
    static Arguments parse(int argc, char **argv, const std::string &version);
};

} // namespace Verbena::Tool
