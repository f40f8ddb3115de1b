#pragma once

#include "completionrequest.h"
#include "faults.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Standin {

/// \brief A model, adapter and version of weights that an engine has loaded.
struct LoadedModel
{
    std::string model;
    std::string adapter;
    std::string version;

    bool operator==(const LoadedModel &) const = default;
};

/// \brief How the engine stand-in behaves.
struct EngineOptions
{
    std::uint16_t port = 0; ///< 0 lets the system choose.
    std::size_t batchSize = 32; ///< Requests that run at a time.
    std::uint32_t prefillTokensPerSecond = 40'000;
    std::chrono::microseconds decodeInterval{5000}; ///< Between two tokens of one answer; 0 for as fast as possible.
    std::size_t cachePieces = 512;
    PieceSize pieceSize;
    std::chrono::milliseconds loadLag{100}; ///< How old `GET /load` may be.
    std::chrono::milliseconds eventDelay{50}; ///< How late `GET /cache_events` tells of an event.
    double eventLoss = 0; ///< Fraction of events that are never told.
    std::chrono::milliseconds loadTime{500}; ///< Loading new weights takes this long.
    std::chrono::microseconds importTimePerPiece{1000};
    bool isCheckingFencing = true; ///< Refuses orders with a lower fencing number than seen before.
    std::vector<LoadedModel> models; ///< Loaded at the start; when none is given, every model is served.
    std::uint64_t seed = 1;
    Faults faults;
};

} // namespace Verbena::Standin
