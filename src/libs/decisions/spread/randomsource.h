#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief Pseudo-random number generator whose sequence depends only on the seed, on every machine.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed);

    /// \brief Returns the next 64 random bits.
    std::uint64_t next();

    /// \brief Returns a number that is uniformly distributed over [0, 1).
    double uniform();

    /// \brief Returns an exponentially distributed number with mean 1.
    double exponential();

    /// \brief Returns up to \a count different random members of \a all.
    std::vector<std::string> sample(std::span<const std::string> all, std::size_t count);

private:
    std::uint64_t m_state;
};

} // namespace Verbena::Decisions
