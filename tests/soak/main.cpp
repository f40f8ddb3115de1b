#include "soakrun.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace {

// Hosts of one run are told apart by one number; a machine bears some hundred processes.
constexpr std::size_t mostRouters = 90;
constexpr std::size_t mostServers = 140;

Verbena::Soak::FaultMix mixOf(const std::string &name)
{
    using Verbena::Soak::FaultMix;
    return name == "planned" ? FaultMix::Planned : name == "all" ? FaultMix::All : FaultMix::Drawn;
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line(
        "Plays real routers and agents under random faults and holds what callers and backend servers see against the promises.", ' ', VERBENA_VERSION);
    TCLAP::ValueArg<std::uint64_t> first("", "seed", "The first seed.", false, 1, "number", line);
    TCLAP::ValueArg<std::uint64_t> count("", "count", "How many seeds, one after the other.", false, 1, "number", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "How long faults come in each run.", false, 10, "seconds", line);
    TCLAP::ValueArg<std::size_t> routers("", "routers", "Number of routers, at most 90.", false, 3, "number", line);
    TCLAP::ValueArg<std::size_t> engines("", "engines", "Number of engines, each with an agent.", false, 3, "number", line);
    TCLAP::ValueArg<std::size_t> callers("", "callers", "Number of callers of each kind for each router.", false, 4, "number", line);
    std::vector<std::string> mixes{"drawn", "planned", "all"};
    TCLAP::ValuesConstraint<std::string> mixNames(mixes);
    TCLAP::ValueArg<std::string> faults("", "faults", "Which faults come; drawn: one of the others, by the seed.", false, "drawn", &mixNames, line);
    TCLAP::ValueArg<std::string> logs("", "logs", "Folder for the logs of a run that breaks a promise.", false, "", "folder", line);
    TCLAP::SwitchArg unread("", "unread-logs", "Leave what the processes log unread, as a reader that has stopped would.", line);
    line.parse(argc, argv);
    Verbena::Soak::RunSettings settings;
    settings.length = std::chrono::seconds(seconds.getValue());
    settings.size.routers = std::clamp<std::size_t>(routers.getValue(), 1, mostRouters);
    settings.size.engines = std::clamp<std::size_t>(engines.getValue(), 1, mostServers - settings.size.services - settings.size.slowServices);
    settings.size.callersPerRouter = callers.getValue();
    settings.mix = mixOf(faults.getValue());
    settings.logFolder = logs.getValue();
    settings.areLogsUnread = unread.getValue();
    bool isGood = true;
    for (std::uint64_t seed = first.getValue(); seed < first.getValue() + count.getValue(); ++seed) {
        std::cout << "seed " << seed << ": " << std::flush;
        settings.seed = seed;
        isGood = Verbena::Soak::SoakRun(settings).play() && isGood;
    }
    return isGood ? 0 : 1;
}
