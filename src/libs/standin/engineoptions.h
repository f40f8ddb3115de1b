#pragma once

#include "completionrequest.h"
#include "faults.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Standin {

/// \brief Model, adapter and weights version that an engine has loaded.
struct LoadedModel
{
    std::string model;
    std::string adapter;
    std::string version;

    bool operator==(const LoadedModel &) const = default;
};

/// \brief Options of the engine stand-in.
struct EngineOptions
{
    std::uint16_t port = 0; ///< Port to listen on; 0 lets the system choose.
    std::size_t batchSize = 32; ///< Maximum number of requests that run concurrently.
    std::uint32_t prefillTokensPerSecond = 40'000;
    std::chrono::microseconds decodeInterval{5000}; ///< Time between two tokens of one answer; 0 for as fast as possible.
    std::size_t cachePieces = 512;
    PieceSize pieceSize;
    std::chrono::milliseconds loadReportLag{100}; ///< Maximum age of the report that `GET /load` returns.
    std::chrono::milliseconds eventDelay{50}; ///< Time after which `GET /cache_events` returns an event.
    double eventLossRate = 0; ///< Fraction of events that are never returned (0 to 1).
    std::chrono::milliseconds weightsLoadTime{500}; ///< Time that loading new weights takes.
    std::chrono::microseconds importTimePerPiece{1000};
    bool isCheckingFencing = true; ///< Whether orders with a lower fencing number than an earlier order are refused.
    std::vector<LoadedModel> models; ///< Models loaded at the start; if empty, every model is served.
    std::uint64_t seed = 1;
    Faults faults;
};

} // namespace Verbena::Standin
