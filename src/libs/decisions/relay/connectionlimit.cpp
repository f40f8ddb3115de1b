#include "connectionlimit.h"

namespace Verbena::Decisions {

namespace {

// Eighths of the limit.
constexpr std::uint64_t crowdedEighths = 5;
constexpr std::uint64_t excessEighths = 6;
constexpr std::uint64_t fullEighths = 7;

// Sixteenths of the limit; the rest stays for calls to backend servers.
constexpr std::uint64_t refusalSixteenths = 15;

// Part of the limit by which the number of connections falls below the bound once it has passed it, so that idle ones are not looked for at each new one.
constexpr std::uint64_t excessMarginDivisor = 32;

} // namespace

ConnectionLimit::ConnectionLimit(std::optional<std::uint64_t> descriptors)
    : m_descriptors(descriptors)
{
}

bool ConnectionLimit::isCrowded(std::uint64_t open) const
{
    return m_descriptors.has_value() && open > *m_descriptors * crowdedEighths / 8;
}

std::uint64_t ConnectionLimit::excess(std::uint64_t open) const
{
    if (!m_descriptors.has_value() || open <= *m_descriptors * excessEighths / 8) {
        return 0;
    }
    return open - *m_descriptors * excessEighths / 8 + *m_descriptors / excessMarginDivisor;
}

bool ConnectionLimit::admits(std::uint64_t open) const
{
    return !m_descriptors.has_value() || open < *m_descriptors * fullEighths / 8;
}

bool ConnectionLimit::admitsRefusal(std::uint64_t open) const
{
    return !m_descriptors.has_value() || open < *m_descriptors * refusalSixteenths / 16;
}

} // namespace Verbena::Decisions
