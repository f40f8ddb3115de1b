#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace Verbena::Decisions {

/// \brief Estimates how many streams of a route have a pause above its target, by the speed of the backend server.
///
/// An engine reads the prompts of new requests between the tokens of its streams, so all of them pause meanwhile, and for longer where work takes longer.
/// Learned from one router's streams. Each pause is scaled to a server of average speed, so that a stream at one server counts for all.
class PauseEstimate
{
public:
    /// \brief Adds a stream whose longest pause was \a longest, at a backend server at which work took \a slowness times as long as on average.
    void addSample(std::chrono::microseconds longest, double slowness);

    /// \brief Returns the estimated fraction of streams with a pause above \a target at a backend server of \a slowness; 0 if too few are known.
    double lateFraction(double slowness, std::chrono::microseconds target) const;

private:
    std::vector<double> m_latest; ///< Longest pauses in microseconds at a server of average speed; the oldest is replaced.
    std::size_t m_next = 0; ///< Index of the oldest.
};

} // namespace Verbena::Decisions
