#include "lossdraw.h"

#include <algorithm>

namespace Verbena::Soak {

using std::chrono::milliseconds;

namespace {

constexpr double lossShare = 0.1;
constexpr double repeatedLossShare = 0.4;
constexpr double cutShare = 0.01;

// The first retransmission comes after the shortest time, each further one after twice the time before it.
constexpr milliseconds shortestStall{200};
constexpr milliseconds longestStall{3000};

} // namespace

milliseconds drawStall(Decisions::RandomSource &random)
{
    if (random.uniform() >= lossShare) {
        return milliseconds(0);
    }
    milliseconds stall = shortestStall;
    while (stall < longestStall && random.uniform() < repeatedLossShare) {
        stall *= 2;
    }
    return std::min(stall, longestStall);
}

bool drawCut(Decisions::RandomSource &random)
{
    return random.uniform() < cutShare;
}

} // namespace Verbena::Soak
