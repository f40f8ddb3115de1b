#pragma once

#include "backoff.h"
#include "clockreading.h"

#include <store/tableservice.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Verbena::Decisions {

/// \brief The content of the row of a lease.
struct LeaseRecord
{
    std::uint64_t fencingNumber = 0; ///< Fencing number of the latest holder; never decreases, also across the rows of one pool.
    Core::WallTime expiry; ///< The epoch if the lease is free.
    std::string token; ///< Token of the holder's tenure; empty if the lease is free.

    /// \brief Returns the value of the row.
    std::string encode() const;

    /// \brief Parses the value of a row. Errors: InvalidArgument.
    static Core::Result<LeaseRecord> decode(const std::string &text);
};

/// \brief Durations of a lease.
struct LeaseOptions
{
    std::chrono::milliseconds duration{10'000}; ///< Time from sending an acquisition or renewal to the end of the lease.
    std::chrono::milliseconds renewalInterval{3'000};
    std::chrono::milliseconds clockSkew{2'000}; ///< Maximum difference between the wall clocks of any two hosts.
    std::chrono::milliseconds retryInterval{1'000}; ///< Mean time between the first two reads of a lease that others hold; doubles with each further read.
    std::chrono::milliseconds maximumRetryInterval{30'000}; ///< Limit of the doubling.
    std::chrono::milliseconds operationTimeout{1'000};
};

/// \brief Requests a read of rows; pass the answer to Lease::handleRows().
struct LeaseRead
{
    std::vector<std::string> keys;
    Core::TimePoint deadline;
};

/// \brief Requests a commit; pass the answer to Lease::handleCommit().
struct LeaseWrite
{
    Store::RowWrite write;
    Core::TimePoint deadline;
};

using LeaseAction = std::variant<LeaseRead, LeaseWrite>;

/// \brief Acquires, renews and releases a lease on one of several alternative rows, each with its fencing number.
///
/// The holder measures its deadline with its own clock from before the request was sent. Other processes wait until the expiry in the
/// row plus the clock skew has passed.
class Lease
{
public:
    /// \brief \a rows are alternatives; \a owner is the name of the process. \a seed must differ between any two starts.
    Lease(const LeaseOptions &options, std::vector<std::string> rows, std::string owner, std::uint64_t seed);

    /// \brief Sets whether the lease is wanted. A lease that is held but not wanted is released.
    void setWanted(bool isWanted);

    /// \brief Returns the next operation if one is due. At most one operation is pending at a time.
    std::optional<LeaseAction> advance(const ClockReading &reading);
    void handleRows(const Core::Result<std::vector<Store::TableRow>> &rows, const ClockReading &reading);
    void handleCommit(const Store::CommitAnswer &answer, const ClockReading &reading);

    /// \brief Returns true while the lease is held. Call it right before each action that needs the lease.
    bool isHeld(Core::TimePoint now) const;

    /// \brief Returns the time from which isHeld() is false unless a renewal succeeds.
    Core::TimePoint heldUntil() const;

    /// \brief Returns the fencing number of this tenure; meaningful only while the lease is held.
    std::uint64_t fencingNumber() const;

    /// \brief Returns the key of the row that is held.
    const std::string &row() const;

    /// \brief Returns when advance() is due; empty while an operation is pending.
    std::optional<Core::TimePoint> nextDeadline() const;

private:
    enum class Operation { Acquire, Renew, Release };

    struct SentWrite
    {
        std::size_t row = 0;
        Operation operation = Operation::Acquire;
        LeaseRecord record;
        Core::TimePoint heldUntil;
    };

    struct RowState
    {
        std::uint64_t revision = 0;
        LeaseRecord record;
    };

    bool isLapsed(const LeaseRecord &record, Core::WallTime wall) const;
    LeaseAction read(Core::TimePoint now);
    LeaseAction send(SentWrite sent, Core::TimePoint now);
    LeaseAction acquire(std::size_t row, const ClockReading &reading);
    LeaseAction renew(const ClockReading &reading);
    LeaseAction release(Core::TimePoint now);
    void applyRow(const Store::TableRow &row);
    void confirm(const SentWrite &sent, std::uint64_t revision);
    void markLost();
    std::uint64_t nextFencingNumber() const;
    std::optional<std::size_t> randomLapsedRow(Core::WallTime wall);
    void retryLater(Core::TimePoint now);

    LeaseOptions m_options;
    std::vector<std::string> m_rows;
    std::string m_owner;
    RandomSource m_random;
    Backoff m_backoff;
    bool m_isWanted = false;
    bool m_isOperationPending = false;
    bool m_areRowsFresh = false; ///< True if m_rowStates was just read and has not been used yet.
    std::vector<RowState> m_rowStates;
    std::optional<SentWrite> m_pendingWrite; ///< Write whose outcome is not known yet.
    std::optional<SentWrite> m_held; ///< Last confirmed write of the current tenure.
    std::uint32_t m_unsuccessfulReads = 0; ///< Number of reads that found all rows held by others, since the last acquisition or renewal.
    Core::TimePoint m_nextAction;
};

} // namespace Verbena::Decisions
