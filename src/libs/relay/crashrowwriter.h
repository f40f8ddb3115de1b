#pragma once

#include <core/lifetime.h>
#include <eventloop/timer.h>
#include <store/rowsource.h>

#include <map>
#include <optional>
#include <string>

namespace Verbena::Relay {

/// \brief Writes rows whose order among each other does not matter, again and again until the store has them.
class CrashRowWriter
{
public:
    CrashRowWriter(EventLoop::Loop &loop, Store::RowStore &store, std::string table);

    CrashRowWriter(const CrashRowWriter &) = delete;
    CrashRowWriter &operator=(const CrashRowWriter &) = delete;

    /// \brief Writes \a value into the row \a key by about \a due; the last word on a row holds.
    void write(const std::string &key, const std::string &value, Core::TimePoint due);

    /// \brief Deletes the row \a key by about \a due; what was to be written into it and has not been sent never is.
    void remove(const std::string &key, Core::TimePoint due);

    /// \brief Whether the store did not take what was sent last.
    bool isFailing() const;

private:
    struct PendingRow
    {
        std::optional<std::string> value; ///< Nothing deletes the row.
        Core::TimePoint due;
        bool isSent = false; ///< The store may have it already.
    };

    void schedule();
    void send();
    void handleCommitAnswer(const std::map<std::string, std::optional<std::string>> &sent, const Store::CommitAnswer &answer);

    EventLoop::Loop &m_loop;
    Store::RowStore &m_store;
    std::string m_table;
    std::map<std::string, PendingRow> m_pendingRows; ///< By key.
    bool m_isSending = false;
    bool m_isFailing = false;
    Core::TimePoint m_nextAttempt{};
    EventLoop::Timer m_timer;
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Relay
