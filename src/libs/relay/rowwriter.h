#pragma once

#include <core/lifetime.h>
#include <eventloop/timer.h>
#include <store/rowsource.h>

#include <map>
#include <optional>
#include <string>

namespace Verbena::Relay {

/// \brief Writes rows in any order and retries until the store has committed them.
class RowWriter
{
public:
    RowWriter(EventLoop::Loop &loop, Store::RowStore &store, std::string table);

    RowWriter(const RowWriter &) = delete;
    RowWriter &operator=(const RowWriter &) = delete;

    /// \brief Writes \a value into the row \a key at about \a due; a later call for the same key replaces the value.
    void write(const std::string &key, const std::string &value, Core::TimePoint due);

    /// \brief Deletes the row \a key at about \a due; if a value for it is pending and has not been sent, drops that value instead.
    void remove(const std::string &key, Core::TimePoint due);

    /// \brief Returns whether the store has not yet answered a commit, or the last one failed.
    bool isUnconfirmed() const;

private:
    struct PendingRow
    {
        std::optional<std::string> value; ///< Value to write; without one, the row is deleted.
        Core::TimePoint due;
        bool isSent = false; ///< Whether the row was sent, so that the store may already have it.
    };

    void schedule();
    void send();
    void handleCommitAnswer(const std::map<std::string, std::optional<std::string>> &sent, const Store::CommitAnswer &answer);

    EventLoop::Loop &m_loop;
    Store::RowStore &m_store;
    std::string m_table;
    std::map<std::string, PendingRow> m_pendingRows; ///< Rows to write, by key.
    bool m_isSending = false;
    bool m_isFailing = false;
    Core::TimePoint m_nextAttempt{};
    EventLoop::Timer m_timer;
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Relay
