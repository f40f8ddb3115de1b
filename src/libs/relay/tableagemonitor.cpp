#include "tableagemonitor.h"

#include "relayevents.h"

#include <observe/eventlog.h>

#include <algorithm>
#include <utility>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// Short enough for several checks within the smallest time limit for a change to be in force.
constexpr milliseconds checkInterval{250};

// Range of the renewal age as fractions of the limit: late enough that no request is sent while updates arrive as usual, and early enough for some retries.
constexpr double minimumRenewalFraction = 0.45;
constexpr double maximumRenewalFraction = 0.6;

} // namespace

TableAgeMonitor::TableAgeMonitor(EventLoop::Loop &loop, Observe::Metrics &metrics, milliseconds limit, std::uint64_t seed)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_limit(limit)
    , m_random(seed)
    , m_timer(loop, [this] { checkAll(); })
{
    m_timer.startAt(loop.now() + checkInterval);
}

void TableAgeMonitor::add(const std::string &table, Age age, std::function<void()> renew)
{
    m_watched.push_back({table, std::move(age), std::move(renew), randomRenewAge()});
}

// The copies of processes that exchange digests have about the same age. With random renewal ages the first process that renews its copy does so for all.
milliseconds TableAgeMonitor::randomRenewAge()
{
    return std::chrono::duration_cast<milliseconds>(
        m_limit * (minimumRenewalFraction + (maximumRenewalFraction - minimumRenewalFraction) * m_random.uniform()));
}

void TableAgeMonitor::checkAll()
{
    for (WatchedTable &watched : m_watched) {
        check(watched);
    }
    m_timer.startAt(m_loop.now() + checkInterval);
}

// A table that was never read has no age and is not checked.
void TableAgeMonitor::check(WatchedTable &watched)
{
    const std::optional<milliseconds> age = watched.age();
    if (!age.has_value()) {
        return;
    }
    m_metrics.setGauge("table_age_seconds_" + watched.table, std::chrono::duration<double>(*age).count());
    renewIfOld(watched, *age);
    const bool isTooOld = *age > m_limit;
    if (isTooOld && !watched.isTooOld) {
        Observe::log(tableAged, {{"table", watched.table}, {"age_ms", std::to_string(age->count())}, {"limit_ms", std::to_string(m_limit.count())}});
    } else if (!isTooOld && watched.isTooOld) {
        Observe::log(tableIsCurrent, {{"table", watched.table}, {"longest_ms", std::to_string(watched.maximumAge.count())}});
    }
    watched.maximumAge = isTooOld ? std::max(watched.maximumAge, *age) : milliseconds(0);
    watched.isTooOld = isTooOld;
}

void TableAgeMonitor::renewIfOld(WatchedTable &watched, milliseconds age)
{
    if (watched.renew && age >= watched.renewAge) {
        watched.renew();
        watched.renewAge = randomRenewAge();
    }
}

} // namespace Verbena::Relay
