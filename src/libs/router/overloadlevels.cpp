#include "overloadlevels.h"

namespace Verbena::Router {

namespace {

// A level that was told longer ago says nothing any more: some request has to go there to hear of a new one.
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
