#pragma once

#include <decisions/control/clockreading.h>
#include <standin/memoryplatform.h>

#include <functional>
#include <map>

namespace Verbena::Test {

/// \brief Virtual monotonic and wall clocks driven by a platform in memory.
class VirtualClock
{
public:
    explicit VirtualClock(std::chrono::microseconds latency)
        : m_platform(start(), latency)
    {
    }

    static Core::TimePoint start()
    {
        return Core::TimePoint(std::chrono::hours(1));
    }

    Standin::MemoryPlatform &platform()
    {
        return m_platform;
    }

    Core::TimePoint now() const
    {
        return m_platform.now();
    }

    /// \brief Returns both clocks; the wall clock deviates by \a skew.
    Decisions::ClockReading reading(std::chrono::milliseconds skew = {}) const
    {
        const auto passed = std::chrono::duration_cast<Core::WallTime::duration>(now() - start());
        return {now(), Core::WallTime(std::chrono::hours(500'000)) + passed + skew};
    }

private:
    Standin::MemoryPlatform m_platform;
};

} // namespace Verbena::Test
