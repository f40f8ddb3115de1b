#include "standinoptions.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace Verbena::Standin;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Parses "model" or "model:adapter", each with an optional "@version" suffix.
LoadedModel modelOf(const std::string &text)
{
    const std::size_t at = text.find('@');
    const std::string name = text.substr(0, at);
    const std::size_t colon = name.find(':');
    return {name.substr(0, colon), colon == std::string::npos ? "" : name.substr(colon + 1), at == std::string::npos ? "" : text.substr(at + 1)};
}

Faults faultsOf(const std::string &text)
{
    const auto faults = Faults().withChanges(text);
    if (!faults) {
        std::cerr << faults.error().toString() << '\n';
        std::exit(EXIT_FAILURE);
    }
    return faults.value();
}

} // namespace

StandinOptions StandinOptions::parse(int argc, char **argv, const std::string &version)
{
    using TCLAP::ValueArg;
    StandinOptions options;
    const EngineOptions &standard = options.engine;
    TCLAP::CmdLine line("Simulates the systems that verbenaladder communicates with.", ' ', version);
    std::vector<std::string> roles{"engine", "platform", "service"};
    TCLAP::ValuesConstraint<std::string> allowedRoles(roles);
    TCLAP::UnlabeledValueArg<std::string> role("role", "The system to simulate.", true, "engine", &allowedRoles, line);
    ValueArg<int> port("p", "port", "The port to listen on; 0 lets the system choose.", false, 0, "number", line);
    ValueArg<std::string> faults("", "faults", "Initial faults, in the format of the body of POST /control.", false, "{}", "json", line);
    ValueArg<unsigned> batch("", "batch-size", "Requests that the engine runs concurrently.", false, unsigned(standard.batchSize), "number", line);
    ValueArg<unsigned> prefill("", "prefill-rate", "Tokens prefilled per second.", false, standard.prefillTokensPerSecond, "number", line);
    ValueArg<unsigned> decode("", "decode-interval-us", "Time between two tokens of an answer.", false, 5000, "microseconds", line);
    ValueArg<unsigned> pieces("", "cache-pieces", "Pieces that the prefix cache holds.", false, unsigned(standard.cachePieces), "number", line);
    ValueArg<unsigned> pieceTokens("", "piece-tokens", "Tokens in a piece.", false, standard.pieceSize.tokens, "number", line);
    ValueArg<unsigned> loadReportLag("", "load-lag-ms", "Maximum age of the load report.", false, 100, "milliseconds", line);
    ValueArg<unsigned> eventDelay("", "event-delay-ms", "Delay of cache events.", false, 50, "milliseconds", line);
    ValueArg<double> eventLossRate("", "event-loss", "Fraction of cache events that are lost.", false, 0, "fraction", line);
    ValueArg<unsigned> weightsLoadTime("", "load-time-ms", "Time to load new weights.", false, 500, "milliseconds", line);
    ValueArg<unsigned> importTime("", "import-time-us", "Time to import a piece.", false, 1000, "microseconds", line);
    TCLAP::SwitchArg ignoreFencing("", "ignore-fencing", "Accepts orders with an outdated fencing number.", line);
    TCLAP::MultiArg<std::string> models(
        "m", "model", "A model loaded at the start; if none is given, every model is served.", false, "model[:adapter][@version]", line);
    ValueArg<std::uint64_t> seed("", "seed", "Seed that determines which cache events are lost.", false, 1, "number", line);
    ValueArg<unsigned> callDuration("", "call-time-us", "Time that a service call takes.", false, 1000, "microseconds", line);
    line.parse(argc, argv);

    options.role = role.getValue();
    options.engine.port = static_cast<std::uint16_t>(port.getValue());
    options.engine.batchSize = batch.getValue();
    options.engine.prefillTokensPerSecond = prefill.getValue();
    options.engine.decodeInterval = microseconds(decode.getValue());
    options.engine.cachePieces = pieces.getValue();
    options.engine.pieceSize.tokens = pieceTokens.getValue();
    options.engine.loadReportLag = milliseconds(loadReportLag.getValue());
    options.engine.eventDelay = milliseconds(eventDelay.getValue());
    options.engine.eventLossRate = eventLossRate.getValue();
    options.engine.weightsLoadTime = milliseconds(weightsLoadTime.getValue());
    options.engine.importTimePerPiece = microseconds(importTime.getValue());
    options.engine.isCheckingFencing = !ignoreFencing.getValue();
    options.engine.seed = seed.getValue();
    options.engine.faults = faultsOf(faults.getValue());
    for (const std::string &model : models.getValue()) {
        options.engine.models.push_back(modelOf(model));
    }
    options.service.port = options.engine.port;
    options.service.callDuration = microseconds(callDuration.getValue());
    options.service.faults = options.engine.faults;
    return options;
}
