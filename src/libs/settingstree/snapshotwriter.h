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

/// \brief Options of a SnapshotWriter.
struct SnapshotWriterOptions
{
    Decisions::SnapshotPlanOptions plan;
    Decisions::LeaseOptions lease;
    std::uint64_t seed = 0;
    std::string objectName;
    std::chrono::milliseconds putTimeout{5'000};
};

/// \brief Writes a snapshot of the settings to the object store periodically while it holds the lease for that.
///
/// A holder that is paused after its check may overwrite a newer snapshot with an older one. A starting process then reads some more rows from peers or the
/// table, but never goes back: it ignores a snapshot below its own revision.
class SnapshotWriter
{
public:
    using Source = std::function<Decisions::SettingsDelta()>;

    /// \brief \a source returns the whole current tree. All arguments must outlive the writer.
    SnapshotWriter(EventLoop::Loop &loop, const SnapshotWriterOptions &options, Store::TableService &table, Store::ObjectStore &objects, Source source);
    ~SnapshotWriter();

    SnapshotWriter(const SnapshotWriter &) = delete;
    SnapshotWriter &operator=(const SnapshotWriter &) = delete;

    /// \brief Sets the current revision and the number of processes that share the work.
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
    std::shared_ptr<bool> m_isAlive; ///< Expired when a late answer arrives after the destruction of this writer.
};

} // namespace Verbena::SettingsTree
