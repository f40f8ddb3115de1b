#pragma once

#include <cstdint>

namespace Verbena::Decisions {

/// \brief Numbers by which a process recognises the answers to its own messages.
class MessageNumbers
{
public:
    /// \brief \a seed has to differ from one start of the process to the next.
    explicit MessageNumbers(std::uint64_t seed);

    /// \brief Returns a number that was not returned before; never 0.
    std::uint64_t next();

private:
    std::uint64_t m_last;
};

} // namespace Verbena::Decisions
