#include <eventloop/loop.h>
#include <eventloop/signalwatcher.h>
#include <load/loadtask.h>

#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include <unistd.h>

namespace {

using namespace Verbena;
using Load::LoadOptions;
using Load::Workload;
using Load::WorkloadKind;

struct Arguments
{
    LoadOptions load;
    bool isJson = false;
    std::string jsonFile;
    bool isListingCallers = false;
};

Arguments parse(int argc, char **argv)
{
    using TCLAP::ValueArg;
    Arguments arguments;
    LoadOptions &load = arguments.load;
    const Load::WorkloadOptions &standard = load.workload;
    TCLAP::CmdLine line(
        "Sends load to routers and checks every answer. The exit status is 0 only if no answer was lost, corrupted, misdelivered or duplicated.",
        ' ',
        VERBENA_VERSION);
    TCLAP::MultiArg<std::string> targets("t", "target", "URL of a router; requests are sent to several routers in turn.", false, "url", line);
    TCLAP::MultiArg<std::string> services("", "service-url", "URL of a plain service whose runs are checked at the end.", false, "url", line);
    std::vector<std::string> names{"kessick", "kalari"};
    TCLAP::ValuesConstraint<std::string> allowedNames(names);
    ValueArg<std::string> workload("w", "workload", "The deployment whose traffic is simulated.", false, "kessick", &allowedNames, line);
    ValueArg<double> rate("r", "rate", "Mean number of requests per second, sent at random times.", false, load.requestsPerSecond, "number", line);
    ValueArg<double> seconds("d", "seconds", "Time for which requests are sent, in seconds.", false, 10, "number", line);
    ValueArg<double> timeout("", "timeout", "Timeout of each request, in seconds.", false, 30, "number", line);
    ValueArg<std::uint64_t> seed("", "seed", "The same seed sends the same requests.", false, standard.seed, "number", line);
    ValueArg<std::size_t> pieceBytes(
        "", "piece-bytes", "Size of a piece; the lengths of prefixes are multiples of it.", false, standard.pieceBytes, "bytes", line);
    ValueArg<std::uint32_t> tokens("", "answer-tokens", "Number of tokens in each answer.", false, standard.answerTokens, "number", line);
    ValueArg<double> serviceShare("", "service-share", "Fraction of plain service calls.", false, standard.serviceShare, "fraction", line);
    ValueArg<double> chatShare("", "chat-share", "Fraction of completions sent as chat.", false, standard.chatShare, "fraction", line);
    ValueArg<double> tokenShare("", "token-share", "Fraction of completions sent as token ids.", false, standard.tokenShare, "fraction", line);
    ValueArg<double> nonStreamedShare("", "whole-share", "Fraction of completions not streamed.", false, standard.nonStreamedShare, "fraction", line);
    TCLAP::SwitchArg keep("", "keep-connections", "Reuses connections; a request may then be repeated if its connection is dead.", line);
    TCLAP::SwitchArg json("", "json", "Prints the report as JSON.", line);
    ValueArg<std::string> jsonFile("", "json-file", "Also writes the report as JSON to a file.", false, "", "file", line);
    TCLAP::SwitchArg callers("", "list-callers", "Prints the organisation and API key of each caller and exits.", line);
    line.parse(argc, argv);

    using std::chrono::milliseconds;
    load.targets = targets.getValue();
    load.serviceUrls = services.getValue();
    load.requestsPerSecond = rate.getValue();
    load.duration = milliseconds(static_cast<std::int64_t>(seconds.getValue() * 1000));
    load.timeout = milliseconds(static_cast<std::int64_t>(timeout.getValue() * 1000));
    load.isKeepingConnections = keep.getValue();
    load.isShowingProgress = isatty(STDERR_FILENO) != 0;
    load.workload.kind = workload.getValue() == "kessick" ? WorkloadKind::Kessick : WorkloadKind::Kalari;
    load.workload.seed = seed.getValue();
    load.workload.pieceBytes = pieceBytes.getValue();
    load.workload.answerTokens = tokens.getValue();
    load.workload.serviceShare = serviceShare.getValue();
    load.workload.chatShare = chatShare.getValue();
    load.workload.tokenShare = tokenShare.getValue();
    load.workload.nonStreamedShare = nonStreamedShare.getValue();
    arguments.isJson = json.getValue();
    arguments.jsonFile = jsonFile.getValue();
    arguments.isListingCallers = callers.getValue();
    return arguments;
}

void listCallers(WorkloadKind kind)
{
    for (const std::string &organisation : Workload::organisations(kind)) {
        std::cout << organisation << ' ' << Workload::apiKey(organisation) << '\n';
    }
}

int fail(const Core::Error &error)
{
    std::cerr << error.toString() << '\n';
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    const Arguments arguments = parse(argc, argv);
    if (arguments.isListingCallers) {
        listCallers(arguments.load.workload.kind);
        return EXIT_SUCCESS;
    }
    const auto loop = EventLoop::Loop::create();
    if (!loop) {
        return fail(loop.error());
    }
    const auto task = Load::LoadTask::create(*loop.value(), arguments.load);
    if (!task) {
        return fail(task.error());
    }
    Load::LoadTask &running = *task.value();
    const auto interrupt = EventLoop::SignalWatcher::create(*loop.value(), SIGINT, [&running] { running.stopSending(); });
    if (!interrupt) {
        return fail(interrupt.error());
    }
    running.start();
    loop.value()->run();
    std::cerr << running.problems();
    if (!arguments.jsonFile.empty()) {
        std::ofstream(arguments.jsonFile) << running.report().toJson() << '\n';
    }
    std::cout << (arguments.isJson ? running.report().toJson() : running.report().toText()) << std::endl;
    return running.report().isClean() && running.problems().empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
