#include "bodyadmission.h"

#include <observe/metrics.h>

#include <utility>

namespace Verbena::Relay {

BodyAdmission::BodyAdmission(EventLoop::Loop &loop, const Decisions::MemoryBudget &budget, Observe::Metrics &metrics)
    : m_queue(budget)
    , m_metrics(metrics)
    , m_admit(loop, [this] { admitWaiting(); })
{
}

const Decisions::BodyQueue &BodyAdmission::queue() const
{
    return m_queue;
}

std::uint64_t BodyAdmission::wait(const Decisions::RequestDemand &demand, Callback admitted)
{
    const std::uint64_t number = m_queue.add(demand);
    m_callbacks.emplace(number, std::move(admitted));
    m_metrics.count("requests_delayed_for_memory_total");
    return number;
}

void BodyAdmission::withdraw(std::uint64_t number)
{
    if (m_callbacks.erase(number) == 0) {
        return;
    }
    m_queue.remove(number);
    // The next one may fit where this one did not.
    handleRoom();
}

void BodyAdmission::handleRoom()
{
    if (m_queue.size() > 0) {
        m_admit.schedule();
    }
}

void BodyAdmission::admitWaiting()
{
    while (const std::optional<std::uint64_t> number = m_queue.next()) {
        m_queue.remove(*number);
        const Callback admitted = std::move(m_callbacks.extract(*number).mapped());
        admitted();
    }
}

} // namespace Verbena::Relay
