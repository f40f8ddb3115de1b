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
    std::uint64_t fencingNumber = 0; ///< Of the latest holder; only ever goes up, also over the rows of one pool.
    Core::WallTime expiry; ///< The epoch if nobody holds it.
    std::string token; ///< Of the holder's tenure; empty if nobody holds it.

    std::string encode() const;

    /// \brief Reads a row's value. Errors: InvalidArgument.
    static Core::Result<LeaseRecord> decode(const std::string &text);
};

/// \brief Spans of a lease.
struct LeaseOptions
{
    std::chrono::milliseconds duration{10'000}; ///< From the sending of an acquisition or renewal to its end.
    std::chrono::milliseconds renewalInterval{3'000};
    std::chrono::milliseconds clockSkew{2'000}; ///< Between the wall clocks of any two hosts, at most.
    std::chrono::milliseconds retryInterval{1'000}; ///< Mean between the first two looks at a lease that others hold; doubles.
    std::chrono::milliseconds maximumRetryInterval{30'000};
    std::chrono::milliseconds operationTimeout{1'000};
};

/// \brief Asks for a read of rows; the answer goes to Lease::handleRows().
struct LeaseRead
{
    std::vector<std::string> keys;
    Core::TimePoint deadline;
};

/// \brief Asks for a commit; the answer goes to Lease::handleCommit().
struct LeaseWrite
{
    Store::RowWrite write;
    Core::TimePoint deadline;
};

using LeaseAction = std::variant<LeaseRead, LeaseWrite>;

/// \brief Acquires, renews and gives back one lease out of one or several rows, each with its fencing number.
///
/// The holder counts its deadline by its own clock from before the request was sent. Others wait for the expiry in the row
/// and the clock skew besides.
class Lease
{
public:
    /// \brief \a rows are alternatives; \a owner names the process, \a seed has to differ between any two starts.
    Lease(const LeaseOptions &options, std::vector<std::string> rows, std::string owner, std::uint64_t seed);

    /// \brief Says whether the lease is wanted; one that is held and not wanted is given back.
    void setWanted(bool isWanted);

    /// \brief The next operation, if one is due; there is at most one under way.
    std::optional<LeaseAction> advance(const ClockReading &reading);
    void handleRows(const Core::Result<std::vector<Store::TableRow>> &rows, const ClockReading &reading);
    void handleCommit(const Store::CommitAnswer &answer, const ClockReading &reading);

    /// \brief True while the lease is held. To be asked right before each action under it.
    bool isHeld(Core::TimePoint now) const;

    /// \brief The moment from which isHeld() is false unless a renewal succeeds.
    Core::TimePoint heldUntil() const;

    /// \brief The number of this tenure; meaningful while held.
    std::uint64_t fencingNumber() const;

    /// \brief The row that is held.
    const std::string &row() const;

    /// \brief When advance() has something to do; nothing while an operation is under way.
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
    bool m_areRowsFresh = false; ///< m_seen was read just now.
    std::vector<RowState> m_rowStates;
    std::optional<SentWrite> m_pendingWrite; ///< A write whose outcome is not known yet.
    std::optional<SentWrite> m_held;
    std::uint32_t m_unsuccessfulReads = 0; ///< At rows that others held, since the lease was wanted.
    Core::TimePoint m_nextAction;
};

} // namespace Verbena::Decisions
