#include "bytebudget.h"

#include <algorithm>

namespace Verbena::Decisions {

ByteBudget::ByteBudget(std::size_t bytesPerSecond, std::size_t burstBytes, Core::TimePoint now)
    : m_bytesPerSecond(static_cast<double>(bytesPerSecond))
    , m_burstBytes(static_cast<double>(burstBytes))
    , m_level(m_burstBytes)
    , m_updatedAt(now)
{
}

bool ByteBudget::mayConsume(Core::TimePoint now) const
{
    return levelAt(now) > 0;
}

void ByteBudget::consume(std::size_t bytes, Core::TimePoint now)
{
    m_level = levelAt(now) - static_cast<double>(bytes);
    m_updatedAt = std::max(m_updatedAt, now);
}

double ByteBudget::levelAt(Core::TimePoint now) const
{
    const std::chrono::duration<double> elapsed = std::max(now, m_updatedAt) - m_updatedAt;
    return std::min(m_burstBytes, m_level + elapsed.count() * m_bytesPerSecond);
}

} // namespace Verbena::Decisions
