#pragma once

#include <decisions/relay/relayconfiguration.h>

#include <cstdint>

namespace Verbena::Relay {

/// \brief Counts what is received from a caller and belongs to no request that is read.
class DroppedBytes
{
public:
    void add(std::uint64_t bytes);

    /// \brief Returns whether the rest should stay with the caller, which has its last answer if \a isAnswered is true.
    bool isEnough(const Decisions::RelayLimits &limits, bool isAnswered) const;

private:
    std::uint64_t m_bytes = 0;
};

} // namespace Verbena::Relay
