#include "arguments.h"
#include "fleetcommands.h"
#include "keycommands.h"
#include "settingscommands.h"

#include <sodium.h>

#include <iostream>

namespace {

using namespace Verbena::Tool;

ExitStatus run(const Arguments &arguments)
{
    const std::vector<std::string> &words = arguments.words;
    if (words.front() == "settings") {
        return runSettingsCommand(arguments, {words.begin() + 1, words.end()});
    }
    if (words.front() == "status" && words.size() == 1) {
        return runStatus(arguments);
    }
    if (words.front() == "drain" && words.size() == 2) {
        return runDrain(arguments, words[1]);
    }
    if (words.front() == "explain" && words.size() == 2) {
        return runExplain(arguments, words[1]);
    }
    if (words.front() == "explain" && words.size() > 2) {
        return runTell(words[1], {words.begin() + 2, words.end()});
    }
    if (words.front() == "keygen" && words.size() == 2) {
        return runKeygen(words[1]);
    }
    std::cerr << "This is no command, or not all of one; see --help.\n";
    return ExitStatus::Invalid;
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = Arguments::parse(argc, argv, VERBENA_VERSION);
    if (sodium_init() < 0) {
        std::cerr << "There is no source of random numbers.\n";
        return static_cast<int>(ExitStatus::Failure);
    }
    return static_cast<int>(run(arguments));
}
