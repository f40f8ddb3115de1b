#pragma once

#include "followtimes.h"
#include "rowsource.h"
#include "storeclockestimate.h"
#include "tableknowledge.h"

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

    /// \brief All of \a table is known up to \a coveredRevision, and all that the store acknowledged before \a verifiedAt.
    virtual void tableVerified(const std::string &table, StoreTime verifiedAt, std::uint64_t coveredRevision) = 0;

    /// \brief \a answer was not taken.
    virtual void answerRefused(const std::string &table, const RefusedAnswer &answer) = 0;
};

/// \brief Follows one table for as long as it lives, whatever the store does meanwhile.
///
/// What the store says is taken only if its revision has not gone back: one that answers from the past is asked again. Rows that are new are dated as well
/// as can be proved. What other processes know can be offered at any moment, so that a question that hangs holds up nothing.
class TableFollower
{
public:
    /// \brief Begins to follow \a table; asks at most once in \a pause, so that changes in quick succession come together.
    TableFollower(EventLoop::Loop &loop,
        RowSource &source,
        std::string table,
        std::chrono::milliseconds pause,
        RowConsumer &consumer,
        const FollowTimes &times = FollowTimes::within(std::chrono::seconds(3)));
    ~TableFollower();

    TableFollower(const TableFollower &) = delete;
    TableFollower &operator=(const TableFollower &) = delete;

    /// \brief Asks at most once in \a pause from now on.
    void setPause(std::chrono::milliseconds pause);

    const std::string &table() const;

    /// \brief The revision up to which the table is known; 0 before it was read once.
    std::uint64_t revision() const;

    /// \brief How long ago the store may have acknowledged something that is not known here, at most; nothing before the first answer.
    std::optional<std::chrono::milliseconds> age() const;

    /// \brief What is known, in short, for other processes.
    TableDigest digest() const;

    /// \brief What \a theirs means beside what is known here.
    TableKnowledge::Comparison compare(const TableDigest &theirs) const;

    /// \brief Takes a digest that confirms what is known.
    void confirm(const TableDigest &theirs);

    /// \brief Takes what another process knows: \a page holds its changes after \a asked, or the whole table for 0.
    void offer(RowPage page, std::uint64_t asked);

    /// \brief Asks the store once more beside a question that waits there, unless one that should be answered soon is on its way.
    void askBeside();

private:
    // What was asked, and what was known then.
    struct Question
    {
        std::uint64_t number = 0; ///< 0 for one that was asked beside, or by another process.
        std::uint64_t revision = 0;
        Core::BootTime askedAt;
        bool isWhole = false;
        bool isWaiting = false; ///< The store answers as soon as something changes.
    };

    void ask();
    void receive(const Question &question, Core::Result<RowPage> page);
    void receiveFailure(const Question &question, const Core::Result<RowPage> &page);
    bool isPresent(const Question &question) const;
    void take(const Question &question, RowPage page);
    void takeTable(const Question &question, RowPage &page);
    void takeChanges(const Question &question, RowPage &page);
    void date(const Question &question, RowPage &page, std::uint64_t known);
    std::optional<StoreTime> changedAfter(const Question &question, const RowPage &page) const;
    void noteHistoryLost();
    void refuse(const Question &question, const RowPage &page);
    void askAgainAt(Core::TimePoint moment);
    void noteFailure(const Core::Error &error);
    void noteVerified();
    bool isServedToOthers() const;
    void noteAnswer(bool isSecondHand);
    void noteHeard();
    std::chrono::milliseconds nextRetry();

    EventLoop::Loop &m_loop;
    RowSource &m_source;
    std::chrono::milliseconds m_pause;
    RowConsumer &m_consumer;
    FollowTimes m_times;
    EventLoop::Timer m_timer; ///< Of the next question.
    EventLoop::Timer m_patience; ///< Of the present question's answer.
    TableKnowledge m_knowledge;
    std::string m_table;
    std::optional<StoreTime> m_saidAt; ///< When the store itself answered last, by its clock.
    StoreClockEstimate m_clock;
    std::uint64_t m_lastNumber = 0; ///< Of the present question; answers to earlier ones are still worth their rows.
    Core::BootTime m_failedSince; ///< While m_failures is not 0.
    Core::BootTime m_toldAt; ///< When another process last told something that was not known.
    Core::TimePoint m_besideDeadline{}; ///< Until then no other question is asked beside.
    bool m_isHistoryKnown = false; ///< Of what changed since the revision; else the whole table has to be read.
    bool m_isHistoryDoubtful = false; ///< It was lost since changes were told last.
    bool m_isLost = false; ///< Nobody hears the store.
    std::uint32_t m_failures = 0; ///< Of the store since it answered last.
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Store
