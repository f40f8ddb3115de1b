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

    /// \brief Writes \a value into the row \a key, or deletes it if there is none; the last word on a row holds.
    void write(const std::string &key, std::optional<std::string> value);

private:
    void send();
    void takeCommit(const std::map<std::string, std::optional<std::string>> &sent, const Store::CommitAnswer &answer);

    EventLoop::Loop &m_loop;
    Store::RowStore &m_store;
    std::string m_table;
    std::map<std::string, std::optional<std::string>> m_waiting; ///< By key.
    bool m_isSending = false;
    EventLoop::Timer m_timer;
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Relay
