#pragma once

#include <string>
#include <vector>

namespace Verbena::Bench {

/// \brief One measured point of a slope.
struct SlopePoint
{
    double x;
    double y;
};

/// \brief What was measured against a growing number of something.
struct Slope
{
    std::string name;
    std::string xUnit; ///< What there was more and more of.
    std::string yUnit; ///< What was measured.
    std::vector<SlopePoint> points;
};

/// \brief All of \a slopes as one JSON object by their names.
std::string toJson(const std::vector<Slope> &slopes);

} // namespace Verbena::Bench
