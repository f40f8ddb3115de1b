#include "earlierstartreports.h"

namespace Verbena::Decisions {

namespace {

// Time for which reports on an earlier start are taken for late: several times as long as a datagram is under way, or an agent takes to read the next report.
constexpr std::chrono::milliseconds latenessTime{1000};

} // namespace

bool EarlierStartReports::record(BackendServerId id, std::uint64_t incarnation, Core::TimePoint now)
{
    Series &series = m_series.try_emplace(id, Series{incarnation, now, now}).first->second;
    if (series.incarnation != incarnation || now > series.lastAt + latenessTime) {
        series = {incarnation, now, now};
    }
    series.lastAt = now;
    return now >= series.firstAt + latenessTime;
}

void EarlierStartReports::discard(BackendServerId id)
{
    m_series.erase(id);
}

void EarlierStartReports::removeIf(const std::function<bool(BackendServerId)> &isGone)
{
    std::erase_if(m_series, [&isGone](const auto &entry) { return isGone(entry.first); });
}

} // namespace Verbena::Decisions
