#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief Pseudo-random numbers from a seed, the same on every machine.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed);

    std::uint64_t next();

    /// \brief Evenly spread over [0, 1).
    double uniform();

    /// \brief Exponentially distributed with mean 1.
    double exponential();

    /// \brief Up to \a count different members of \a all.
    std::vector<std::string> sample(std::span<const std::string> all, std::size_t count);

private:
    std::uint64_t m_state;
};

} // namespace Verbena::Decisions
