#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Verbena::PolicyBench {

/// \brief What one run of the bench measures.
struct BenchOptions
{
    std::string deployment = "kessick";
    std::string scenario = "steady";
    std::size_t workers = 20;
    std::size_t routers = 3;
    double load = 0.7; ///< Of the nominal capacity.
    std::uint64_t seed = 1;
    std::chrono::seconds warmUp{30}; ///< Not measured.
    std::chrono::seconds before{20}; ///< Measured before the event of the scenario.
    std::chrono::seconds after{30}; ///< From the event on; figures "after" leave out the first ten seconds.
};

} // namespace Verbena::PolicyBench
