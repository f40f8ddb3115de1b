#pragma once

#include <control/leasemanager.h>
#include <decisions/spread/settingsdelta.h>
#include <decisions/spread/snapshotplan.h>
#include <eventloop/timer.h>
#include <store/objectstore.h>

#include <functional>
#include <memory>
#include <string>

namespace Verbena::SettingsTree {

/// \brief How a process takes part in writing snapshots.
struct SnapshotWriterOptions
{
    Decisions::SnapshotPlanOptions plan;
    Decisions::LeaseOptions lease;
    std::uint64_t seed = 0;
    std::string objectName;
    std::chrono::milliseconds putTimeout{5'000};
};

/// \brief Writes the snapshot of the settings to the object store, from time to time and under the lease for it.
///
/// A holder that is paused after its check may still put an older snapshot over a newer one. That costs a starting process some more
/// rows from peers or the table, and takes none back: a snapshot below the revision held is passed over.
class SnapshotWriter
{
public:
    using Source = std::function<Decisions::SettingsDelta()>;

    /// \brief \a source gives the whole tree as it is held now. All arguments must outlive the writer.
    SnapshotWriter(EventLoop::Loop &loop, const SnapshotWriterOptions &options, Store::TableService &table, Store::ObjectStore &objects, Source source);
    ~SnapshotWriter();

    SnapshotWriter(const SnapshotWriter &) = delete;
    SnapshotWriter &operator=(const SnapshotWriter &) = delete;

    /// \brief Takes the revision that is held, and how many processes share the work.
    void setState(std::uint64_t revision, std::size_t processCount);

private:
    void advance();
    void write();
    void takeAnswer(std::uint64_t revision, const Core::Result<void> &answer);
    void restartTimer();

    EventLoop::Loop &m_loop;
    SnapshotWriterOptions m_options;
    Store::ObjectStore &m_objects;
    Source m_source;
    Decisions::SnapshotPlan m_plan;
    Control::LeaseManager m_lease;
    EventLoop::Timer m_timer;
    std::uint64_t m_revision = 0;
    bool m_isWriting = false;
    std::shared_ptr<bool> m_isAlive; ///< Answers that come after the end of this writer find it false.
};

} // namespace Verbena::SettingsTree
