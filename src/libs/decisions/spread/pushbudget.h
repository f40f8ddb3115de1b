#pragma once

#include <core/time.h>

#include <cstddef>

namespace Verbena::Decisions {

/// \brief Bounds the bytes of settings that a process serves to others; a token bucket.
class PushBudget
{
public:
    PushBudget(std::size_t bytesPerSecond, std::size_t burstBytes, Core::TimePoint now);

    /// \brief True if something may be served at \a now; its bytes are then noted by spend().
    bool isOpen(Core::TimePoint now) const;

    /// \brief Notes \a bytes as served; the budget may go below zero and has to recover first.
    void spend(std::size_t bytes, Core::TimePoint now);

private:
    double levelAt(Core::TimePoint now) const;

    double m_bytesPerSecond;
    double m_burstBytes;
    double m_level;
    Core::TimePoint m_updatedAt;
};

} // namespace Verbena::Decisions
