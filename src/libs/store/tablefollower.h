#pragma once

#include "rowsource.h"
#include "storeclockestimate.h"

#include <core/lifetime.h>
#include <eventloop/timer.h>

#include <memory>
#include <string>

namespace Verbena::Store {

/// \brief An answer from the past: it knows less than has been told before.
struct RefusedAnswer
{
    std::uint64_t revision = 0;
    std::uint64_t knownRevision = 0;
    std::optional<std::chrono::milliseconds> saidAgo; ///< By the store's clock; nothing if the store did not say when.
};

/// \brief Takes what a TableFollower learns.
class RowConsumer
{
public:
    virtual ~RowConsumer() = default;

    /// \brief The whole of \a table, in place of all that was known.
    virtual void replaceRows(const std::string &table, const RowPage &page) = 0;

    /// \brief Rows of \a table that were added, changed or deleted.
    virtual void changeRows(const std::string &table, const RowPage &page) = 0;

    /// \brief The store does not answer about \a table.
    virtual void sourceLost(const std::string &table, const Core::Error &error) = 0;

    /// \brief It answers again.
    virtual void sourceRegained(const std::string &table) = 0;

    /// \brief All of \a table is known that the store acknowledged before \a currentAt.
    virtual void tableCurrent(const std::string &table, StoreTime currentAt) = 0;

    /// \brief \a answer was not taken.
    virtual void answerRefused(const std::string &table, const RefusedAnswer &answer) = 0;
};

/// \brief Follows one table for as long as it lives, whatever the store does meanwhile.
///
/// What the store says is taken only if its revision has not gone back: one that answers from the past is asked again. Rows that are new are dated as well
/// as can be proved.
class TableFollower
{
public:
    /// \brief Begins to follow \a table; asks at most once in \a pause, so that changes in quick succession come together.
    TableFollower(EventLoop::Loop &loop, RowSource &source, std::string table, std::chrono::milliseconds pause, RowConsumer &consumer);
    ~TableFollower();

    TableFollower(const TableFollower &) = delete;
    TableFollower &operator=(const TableFollower &) = delete;

    /// \brief Asks at most once in \a pause from now on.
    void setPause(std::chrono::milliseconds pause);

    /// \brief The revision up to which the table is known; 0 before it was read once.
    std::uint64_t revision() const;

    /// \brief How long ago the store may have acknowledged something that is not known here, at most; nothing before the first answer.
    std::optional<std::chrono::milliseconds> age() const;

private:
    void ask();
    void takeTable(Core::Result<RowPage> page, Core::BootTime askedAt);
    void takeChanges(Core::Result<RowPage> page, Core::BootTime askedAt);
    void noteSaid(RowPage &page, std::optional<StoreTime> committedAfter, Core::BootTime askedAt);
    std::optional<StoreTime> changedAfter(const RowPage &page, Core::BootTime askedAt) const;
    bool isBelieved(const Core::Result<RowPage> &page);
    void noteCurrent(const RowPage &page);
    void refuse(const RowPage &page);
    void askAgainAt(Core::TimePoint moment);
    void noteFailure(const Core::Error &error);
    void noteAnswer(const RowPage &page);
    std::chrono::milliseconds nextRetry();

    EventLoop::Loop &m_loop;
    RowSource &m_source;
    std::string m_table;
    std::chrono::milliseconds m_pause;
    RowConsumer &m_consumer;
    EventLoop::Timer m_timer;
    std::uint64_t m_revision = 0;
    std::optional<StoreTime> m_saidAt; ///< When the store itself answered last, by its clock.
    std::optional<StoreTime> m_currentAt; ///< All that it acknowledged before is known.
    StoreClockEstimate m_clock;
    bool m_isTableKnown = false;
    bool m_isLost = false; ///< Nobody answers.
    std::uint32_t m_failures = 0; ///< Of the store since it answered last.
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Store
