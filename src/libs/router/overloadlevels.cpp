#include "overloadlevels.h"

namespace Verbena::Router {

namespace {

// An older level is no longer valid: some request must be sent to the agent again, so that it reports a new one.
constexpr std::chrono::milliseconds levelValidity{1500};

} // namespace

void OverloadLevels::update(Decisions::BackendServerId id, std::uint32_t level, Core::TimePoint now)
{
    if (level == 0) {
        m_levels.erase(id);
    } else {
        m_levels[id] = {level, now + levelValidity};
    }
}

bool OverloadLevels::isRefusing(Decisions::BackendServerId id, std::uint32_t mark, Core::TimePoint now) const
{
    const auto found = m_levels.find(id);
    return found != m_levels.end() && now < found->second.validUntil && mark >= found->second.level;
}

} // namespace Verbena::Router
