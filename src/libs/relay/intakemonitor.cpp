#include "intakemonitor.h"

#include "relayevents.h"

#include <http/tcpchannel.h>
#include <observe/eventlog.h>
#include <observe/fieldvalue.h>
#include <observe/metrics.h>

#include <string>

namespace Verbena::Relay {

using std::chrono::milliseconds;

IntakeMonitor::IntakeMonitor(std::optional<std::uint64_t> descriptors, std::uint64_t seed, Core::TimePoint now, Observe::Metrics &metrics)
    : m_intake(descriptors, seed, now)
    , m_metrics(metrics)
{
}

void IntakeMonitor::record(Core::TimePoint due, Core::TimePoint now, bool isMemoryShort)
{
    const Decisions::RouterLoad load{std::chrono::duration_cast<milliseconds>(now - due), Http::TcpChannel::openCount(), isMemoryShort};
    const bool hasChanged = m_intake.record(load, now);
    if (hasChanged || m_intake.isBehind() != m_wasBehind) {
        m_wasBehind = m_intake.isBehind();
        report(load);
    }
}

void IntakeMonitor::report(const Decisions::RouterLoad &load)
{
    m_metrics.setGauge("router_behind", m_wasBehind ? 1 : 0);
    m_metrics.setGauge("router_wants_callers", wantsCallers() ? 1 : 0);
    Observe::log(routerBehind,
        {{"behind", Observe::yesOrNo(m_wasBehind)},
            {"wants_callers", Observe::yesOrNo(wantsCallers())},
            {"lag_ms", std::to_string(m_intake.averageLag().count())},
            {"connections", std::to_string(load.connections)},
            {"memory_short", Observe::yesOrNo(load.isMemoryShort)}});
}

bool IntakeMonitor::wantsCallers() const
{
    return m_intake.wantsCallers();
}

} // namespace Verbena::Relay
