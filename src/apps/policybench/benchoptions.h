#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Verbena::PolicyBench {

/// \brief Options of one simulation.
struct BenchOptions
{
    std::string deployment = "kessick";
    std::string scenario = "steady";
    std::size_t workers = 20;
    std::size_t routers = 3;
    double load = 0.7; ///< Arrival rate as a fraction of the nominal capacity.
    std::uint64_t seed = 1;
    std::chrono::seconds warmUp{30}; ///< Time before measurements start.
    std::chrono::seconds before{20}; ///< Measured time before the event of the scenario.
    std::chrono::seconds after{30}; ///< Measured time after the event; the "after" statistics leave out its first ten seconds.
};

} // namespace Verbena::PolicyBench
