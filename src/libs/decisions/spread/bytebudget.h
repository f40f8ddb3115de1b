#pragma once

#include <core/time.h>

#include <cstddef>

namespace Verbena::Decisions {

/// \brief Token bucket that limits the bytes a process sends to its peers.
class ByteBudget
{
public:
    /// \brief Creates a full budget of \a burstBytes that is refilled at \a bytesPerSecond.
    ByteBudget(std::size_t bytesPerSecond, std::size_t burstBytes, Core::TimePoint now);

    /// \brief Returns whether a message may be sent at \a now; its size is then passed to consume().
    bool mayConsume(Core::TimePoint now) const;

    /// \brief Subtracts \a bytes that were sent.
    ///
    /// The level may fall below zero; nothing may be sent until it is positive again.
    void consume(std::size_t bytes, Core::TimePoint now);

private:
    double levelAt(Core::TimePoint now) const;

    double m_bytesPerSecond;
    double m_burstBytes;
    double m_level;
    Core::TimePoint m_updatedAt;
};

} // namespace Verbena::Decisions
