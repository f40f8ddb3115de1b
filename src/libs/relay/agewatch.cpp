#include "agewatch.h"

#include "relayevents.h"

#include <observe/eventlog.h>

#include <algorithm>
#include <utility>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// Several looks in the shortest time within which a change has to be in force.
constexpr milliseconds lookPeriod{250};

// Of the limit: late enough that nothing is asked while news come as usual, and with time left for some tries.
constexpr double firstRenewal = 0.45;
constexpr double lastRenewal = 0.6;

} // namespace

AgeWatch::AgeWatch(EventLoop::Loop &loop, Observe::Metrics &metrics, milliseconds limit, std::uint64_t seed)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_limit(limit)
    , m_random(seed)
    , m_timer(loop, [this] { look(); })
{
    m_timer.startAt(loop.now() + lookPeriod);
}

void AgeWatch::watch(const std::string &table, Age age, std::function<void()> renew)
{
    m_watched.push_back({table, std::move(age), std::move(renew), drawRenewAge()});
}

// Processes that tell each other how much they know grow old together: the first one that renews what it knows does it for all.
milliseconds AgeWatch::drawRenewAge()
{
    return std::chrono::duration_cast<milliseconds>(m_limit * (firstRenewal + (lastRenewal - firstRenewal) * m_random.uniform()));
}

void AgeWatch::look()
{
    for (Watched &watched : m_watched) {
        judge(watched);
    }
    m_timer.startAt(m_loop.now() + lookPeriod);
}

// A table that was never read is no belief that could be too old.
void AgeWatch::judge(Watched &watched)
{
    const std::optional<milliseconds> age = watched.age();
    if (!age.has_value()) {
        return;
    }
    m_metrics.setGauge("table_age_seconds_" + watched.table, std::chrono::duration<double>(*age).count());
    renewIfOld(watched, *age);
    const bool isAged = *age > m_limit;
    if (isAged && !watched.isAged) {
        Observe::log(tableAged, {{"table", watched.table}, {"age_ms", std::to_string(age->count())}, {"limit_ms", std::to_string(m_limit.count())}});
    } else if (!isAged && watched.isAged) {
        Observe::log(tableIsCurrent, {{"table", watched.table}, {"longest_ms", std::to_string(watched.longest.count())}});
    }
    watched.longest = isAged ? std::max(watched.longest, *age) : milliseconds(0);
    watched.isAged = isAged;
}

void AgeWatch::renewIfOld(Watched &watched, milliseconds age)
{
    if (watched.renew && age >= watched.renewAge) {
        watched.renew();
        watched.renewAge = drawRenewAge();
    }
}

} // namespace Verbena::Relay
