#pragma once

#include <chrono>
#include <vector>

namespace Verbena::Bench {

/// \brief What one run tells of the spread of settings.
struct SpreadFigures
{
    int processes = 0;
    int changes = 0;
    std::vector<std::chrono::microseconds> delays; ///< From accepted to in force, one for each process and change.
    double bytesPerProcessSecond = 0; ///< Of messages sent, without the transport's own; as many come in.
    double messagesPerProcessSecond = 0; ///< Sent.
    double tableReadsPerSecond = 0; ///< Of all processes together.
    double processorShare = 0; ///< Of a core for each process; 0 where it was not measured.
    double heapBytesPerProcess = 0; ///< 0 where it was not measured.

    /// \brief The delay that a part \a q of all stays below.
    std::chrono::microseconds delayQuantile(double q) const;
};

} // namespace Verbena::Bench
