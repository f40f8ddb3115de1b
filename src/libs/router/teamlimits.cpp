#include "teamlimits.h"

namespace Verbena::Router {

TeamLimits::Slot TeamLimits::acquire(const std::string &organisation, const std::string &team, std::uint32_t maximum)
{
    std::shared_ptr<Count> &count = m_counts[organisation + '/' + team];
    if (count == nullptr) {
        count = std::make_shared<Count>();
    }
    if (maximum > 0 && count->running >= maximum) {
        return nullptr;
    }
    ++count->running;
    return {count.get(), [count](void *) {
                --count->running;
            }};
}

} // namespace Verbena::Router
