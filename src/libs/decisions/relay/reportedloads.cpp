#include "reportedloads.h"

#include <algorithm>
#include <chrono>

namespace Verbena::Decisions {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

namespace {

// Several times the duration of a plain call: afterwards a full server has begun what waited.
constexpr milliseconds fullLifetime{250};

constexpr Seconds loadLifetime{1};

// Slots that are assumed of a server that has reported none.
constexpr double assumedSlots = 8;

// Delay at a server whose slots are all but occupied: some slow down then, and requests of other routers arrive there between two reports.
constexpr double crowdingDelay = 0.5;

} // namespace

void ReportedLoads::update(BackendServerId id, const ServerLoad &load, std::uint32_t unanswered, Core::TimePoint now)
{
    const std::uint32_t present = load.running + load.waiting;
    m_reports[id] = {load, present - std::min(present, unanswered), now};
}

void ReportedLoads::handleRestart(BackendServerId id)
{
    m_reports.erase(id);
}

void ReportedLoads::removeIf(const std::function<bool(BackendServerId)> &isGone)
{
    std::erase_if(m_reports, [&isGone](const auto &entry) { return isGone(entry.first); });
}

const ReportedLoads::Report *ReportedLoads::find(BackendServerId id) const
{
    const auto found = m_reports.find(id);
    return found == m_reports.end() ? nullptr : &found->second;
}

bool ReportedLoads::isFull(BackendServerId id, std::uint32_t unanswered, Core::TimePoint now) const
{
    const Report *report = find(id);
    if (report == nullptr) {
        return false;
    }
    const bool saidFull = report->load.waiting > 0 || report->load.running >= report->load.slots;
    return unanswered >= report->load.slots || (saidFull && now < report->receivedAt + fullLifetime);
}

double ReportedLoads::expectedDelay(BackendServerId id, std::uint32_t unanswered, Core::TimePoint now) const
{
    const Report *report = find(id);
    if (report == nullptr) {
        return crowdingDelay * std::min(1.0, unanswered / assumedSlots) + std::max(0.0, unanswered + 1 - assumedSlots) / assumedSlots;
    }
    const double slots = report->load.slots;
    const double remaining = std::max(0.0, 1 - Seconds(now - report->receivedAt) / loadLifetime);
    const double before = unanswered + remaining * report->ofOthers;
    return crowdingDelay * std::min(1.0, before / slots) + std::max(0.0, before + 1 - slots) / slots;
}

} // namespace Verbena::Decisions
