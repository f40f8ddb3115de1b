#include "soakrun.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace {

// Hosts of one run are told apart by one number; a machine bears some hundred processes.
constexpr std::size_t mostRouters = 90;
constexpr std::size_t mostServers = 140;

constexpr const char *helpText
    = "Plays real routers and agents under random faults and holds what callers and backend servers see against the promises. The seed draws the mix of "
      "faults, "
      "the grace period, the software versions of the engines, the memory of the routers (110, 64 or 48 MB) and whether many large bodies come at once. "
      "Planned: ends of routers and agents, alone, in series, or with a successor; floods of SIGHUP and SIGTERM; configurations; longer and longer work; "
      "entries "
      "that name a model twice. All others: processes that are killed or stand still, also engines and whole hosts, in series and during planned work; links "
      "between callers, routers, agents, engines and the store that are late, silent, reset, or lose packets (stalls of 200 ms to 3 s, bursts, cuts); "
      "datagrams that are lost, late, doubled, old, or well-formed with odd values; odd reports of engines and odd entries; crashes; bytes without end; newer "
      "weights. In all runs callers leave streams and resume them at other routers, and some keep their connections open longer than any process runs.";

Verbena::Soak::FaultMix mixOf(const std::string &name)
{
    using Verbena::Soak::FaultMix;
    return name == "planned" ? FaultMix::Planned : name == "all" ? FaultMix::All : FaultMix::Drawn;
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line(helpText, ' ', VERBENA_VERSION);
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
