#include "droppedbytes.h"

#include <algorithm>

namespace Verbena::Relay {

namespace {

// Bodies of the largest size that are read and dropped after an answer; one that is refused may be larger.
constexpr std::uint64_t refusedBodies = 4;

} // namespace

void DroppedBytes::add(std::uint64_t bytes)
{
    m_bytes += bytes;
}

// Beside an answer, one more request: the rest stays with the caller. After it, bodies that were refused for their size, as a caller that has to send on before
// it reads would find a reset in place of its answer.
bool DroppedBytes::isEnough(const Decisions::RelayLimits &limits, bool isAnswered) const
{
    const std::uint64_t bodies = isAnswered ? refusedBodies : 1;
    const std::uint64_t ofBodies = m_bytes - std::min<std::uint64_t>(m_bytes, limits.headerBytes);
    return ofBodies / bodies > limits.bodyBytes;
}

} // namespace Verbena::Relay
