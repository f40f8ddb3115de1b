#pragma once

#include "followtimes.h"
#include "rowsource.h"
#include "storeclockestimate.h"
#include "tableversion.h"

#include <core/lifetime.h>
#include <eventloop/timer.h>

#include <functional>
#include <memory>
#include <string>

namespace Verbena::Store {

/// \brief Answer of the store at an earlier revision than one that was already received.
struct StaleAnswer
{
    std::uint64_t revision = 0;
    std::uint64_t knownRevision = 0;
    std::optional<std::chrono::milliseconds> answerAge; ///< Age by the store's clock; nothing if the answer has no time.
};

/// \brief Interface that receives the rows and events of a TableFollower.
class RowConsumer
{
public:
    virtual ~RowConsumer() = default;

    /// \brief Replaces all rows of \a table by those of \a page.
    virtual void replaceRows(const std::string &table, const RowPage &page) = 0;

    /// \brief Applies the rows of \a table in \a page that were added, changed or deleted.
    virtual void changeRows(const std::string &table, const RowPage &page) = 0;

    /// \brief Handles that the store does not answer requests for \a table because of \a error.
    virtual void sourceLost(const std::string &table, const Core::Error &error) = 0;

    /// \brief Handles that the store answers requests for \a table again.
    virtual void sourceRegained(const std::string &table) = 0;

    /// \brief Handles that all changes of \a table up to \a coveredRevision, and all that the store acknowledged before \a verifiedAt, were received.
    virtual void tableVerified(const std::string &table, StoreTime verifiedAt, std::uint64_t coveredRevision) = 0;

    /// \brief Handles that \a answer was rejected because it is stale.
    virtual void staleAnswerReceived(const std::string &table, const StaleAnswer &answer) = 0;
};

/// \brief Follows one table of the store through outages, stale answers and lost history.
///
/// An answer is applied only if its revision has not decreased; after a stale answer the request is sent again. New rows get the latest commit time that can
/// be proven. A page with which the table would be longer than maximumTableBytes counts as a failure of its source. Data from other processes can be offered at
/// any time, so that a request that hangs blocks nothing.
class TableFollower
{
public:
    /// \brief Starts to follow \a table. Sends at most one request per \a pause, so that changes in quick succession arrive together.
    TableFollower(EventLoop::Loop &loop,
        RowSource &source,
        std::string table,
        std::chrono::milliseconds pause,
        RowConsumer &consumer,
        const FollowTimes &times = FollowTimes::within(std::chrono::seconds(3)));
    ~TableFollower();

    TableFollower(const TableFollower &) = delete;
    TableFollower &operator=(const TableFollower &) = delete;

    /// \brief Sends at most one request per \a pause from now on.
    void setPause(std::chrono::milliseconds pause);

    const std::string &table() const;

    /// \brief Returns the revision up to which all changes were received; 0 before the table was first read.
    std::uint64_t revision() const;

    /// \brief Returns the maximum age of a change that the store acknowledged but that is missing here; nothing before the first answer.
    std::optional<std::chrono::milliseconds> age() const;

    /// \brief Returns the digest to be sent to other processes.
    TableDigest digest() const;

    /// \brief Returns what \a theirs, the digest of another process, means for this table.
    TableVersion::Comparison compare(const TableDigest &theirs) const;

    /// \brief Applies a digest that confirms the present version.
    void confirm(const TableDigest &theirs);

    /// \brief Applies data of another process: \a page holds the changes after \a requestedRevision, or the whole table for 0.
    ///
    /// Errors: ResourceExhausted, if the table would be longer than a process keeps; the rows stay as they are.
    Core::Result<void> offer(RowPage page, std::uint64_t requestedRevision);

    /// \brief Sends a request without waiting time in addition to the pending long poll, unless a request that should be answered soon is pending.
    ///
    /// Returns false if no answer can be expected, as the store fails.
    bool pollNow();

    /// \brief Reads the whole table from the store, as some rows may be missing or wrong; \a done is called if the rows changed by that. Returns false and does
    /// nothing if that was requested shortly before.
    bool reread(std::function<void()> done);

private:
    // Request to the store and the state at the time when it was sent.
    struct Request
    {
        std::uint64_t number = 0; ///< 0 for a request by pollNow() or for data of another process.
        std::uint64_t revision = 0; ///< Revision up to which the table was received then.
        Core::BootTime requestedAt;
        bool isWhole = false;
        bool isLongPoll = false; ///< Whether the store waits for a change before it answers.
    };

    void sendRequest();
    void handlePage(const Request &request, Core::Result<RowPage> page);
    void handleFailedRequest(const Request &request, const Core::Result<RowPage> &page);
    void handleRefusedPage(const Request &request, const Core::Error &error);
    bool isInFuture(const std::optional<StoreTime> &time) const;
    bool isCurrent(const Request &request) const;
    Core::Result<void> apply(const Request &request, RowPage page);
    Core::Result<void> applyTable(const Request &request, RowPage &page);
    Core::Result<void> applyChanges(const Request &request, RowPage &page);
    Core::Error tooLongError() const;
    void setCommitTimes(const Request &request, RowPage &page, std::uint64_t knownRevision);
    std::optional<StoreTime> earliestCommitTime(const Request &request, const RowPage &page) const;
    void handleHistoryLost();
    void rejectStaleAnswer(const Request &request, const RowPage &page);
    void scheduleRequest(Core::TimePoint time);
    void handleFailure(const Core::Error &error);
    void handleVerified();
    void handleReread(const Request &request, Core::Result<RowPage> page, const std::function<void()> &done);
    bool isStoreServingPeers() const;
    void handleAnswer(bool isFromPeer);
    void markRegained();
    std::chrono::milliseconds nextRetryInterval();

    EventLoop::Loop &m_loop;
    RowSource &m_source;
    std::chrono::milliseconds m_pause;
    RowConsumer &m_consumer;
    FollowTimes m_times;
    EventLoop::Timer m_requestTimer; ///< Time of the next request.
    EventLoop::Timer m_answerTimer; ///< Timeout of the current request.
    TableVersion m_version;
    std::string m_table;
    std::optional<StoreTime> m_lastAnsweredAt; ///< Store time of the store's own last answer.
    StoreClockEstimate m_clock;
    std::uint64_t m_lastRequestNumber = 0; ///< Number of the current request; rows in answers to earlier requests are still applied.
    Core::BootTime m_failedSince; ///< Time of the first failure; valid while m_failures is not 0.
    Core::BootTime m_lastPeerUpdateAt; ///< Time of the last new data from another process.
    Core::TimePoint m_pollDeadline{}; ///< Time until which pollNow() sends no further request, unless the last one has been answered.
    Core::TimePoint m_rereadDeadline{}; ///< Time until which reread() sends no further request.
    bool m_isHistoryKnown = false; ///< Whether changes after the revision can be requested; otherwise the whole table has to be read.
    bool m_wasHistoryLost = false; ///< Whether the history was lost since changes were last received.
    bool m_isLost = false; ///< Whether sourceLost() was reported: neither this process nor its peers reach the store.
    std::uint32_t m_failures = 0; ///< Number of failures since the store last answered.
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Store
