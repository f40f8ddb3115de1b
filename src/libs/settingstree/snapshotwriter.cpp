#include "snapshotwriter.h"

#include "settingstreeevents.h"
#include "snapshotcodec.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

namespace Verbena::SettingsTree {

namespace {

constexpr const char *leaseName = "settings-snapshot";

} // namespace

SnapshotWriter::SnapshotWriter(
    EventLoop::Loop &loop, const SnapshotWriterOptions &options, Store::TableService &table, Store::ObjectStore &objects, Source source)
    : m_loop(loop)
    , m_options(options)
    , m_objects(objects)
    , m_source(std::move(source))
    , m_plan(options.plan, options.seed, loop.now())
    , m_lease(table, loop, Control::LeaseManager::namedLease(options.lease, leaseName, std::to_string(options.seed), options.seed + 1), [this] { write(); })
    , m_timer(loop, [this] { advance(); })
    , m_isAlive(std::make_shared<bool>(true))
{
    restartTimer();
}

SnapshotWriter::~SnapshotWriter()
{
    *m_isAlive = false;
}

void SnapshotWriter::setState(std::uint64_t revision, std::size_t processCount)
{
    m_revision = revision;
    m_plan.setProcessCount(processCount);
    restartTimer();
}

void SnapshotWriter::advance()
{
    const Core::TimePoint now = m_loop.now();
    if (m_plan.expireAttempt(now)) {
        m_lease.setWanted(false);
    } else if (m_plan.beginAttempt(m_revision, now)) {
        m_lease.setWanted(true);
    }
    restartTimer();
}

void SnapshotWriter::write()
{
    // The lease is checked right before the action; the header describes the effect of a pause in between.
    if (m_isWriting || !m_plan.isAttempting() || !m_lease.lease().isHeld(m_loop.now())) {
        return;
    }
    m_isWriting = true;
    const Decisions::SettingsDelta everything = m_source();
    m_objects.put(m_options.objectName,
        encodeSnapshot(everything),
        m_loop.now() + m_options.putTimeout,
        [this, revision = everything.highest, isAlive = m_isAlive](const Core::Result<void> &answer) {
            if (*isAlive) {
                takeAnswer(revision, answer);
            }
        });
}

void SnapshotWriter::takeAnswer(std::uint64_t revision, const Core::Result<void> &answer)
{
    m_isWriting = false;
    m_lease.setWanted(false);
    if (answer) {
        Observe::log(settingsSnapshotWritten, {{"revision", std::to_string(revision)}});
    } else {
        Observe::log(settingsSnapshotNotWritten, answer.error());
    }
    m_plan.endAttempt(answer ? revision : 0, m_loop.now());
    restartTimer();
}

void SnapshotWriter::restartTimer()
{
    m_timer.startAt(m_plan.nextDeadline());
}

} // namespace Verbena::SettingsTree
