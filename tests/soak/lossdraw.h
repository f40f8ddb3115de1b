#pragma once

#include <decisions/spread/randomsource.h>

#include <chrono>

namespace Verbena::Soak {

/// \brief Returns for how long TCP holds up what follows on a link that loses packets: mostly not at all, else until it has sent a packet again.
std::chrono::milliseconds drawStall(Decisions::RandomSource &random);

/// \brief Returns whether a link that loses packets breaks within the present piece.
bool drawCut(Decisions::RandomSource &random);

} // namespace Verbena::Soak
