#pragma once

#include <decisions/spread/randomsource.h>
#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <observe/metrics.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief Monitors the age of this process's copies of the store's tables. Reports it in metrics, logs tables that are too old, and triggers a request to the
/// store before they become too old.
class TableAgeMonitor
{
public:
    /// \brief Returns the maximum age of a table; nothing before the table was read.
    using Age = std::function<std::optional<std::chrono::milliseconds>()>;

    /// \brief Creates a monitor that logs tables older than \a limit.
    TableAgeMonitor(EventLoop::Loop &loop, Observe::Metrics &metrics, std::chrono::milliseconds limit, std::uint64_t seed);

    TableAgeMonitor(const TableAgeMonitor &) = delete;
    TableAgeMonitor &operator=(const TableAgeMonitor &) = delete;

    /// \brief Adds \a table. \a age is called for as long as the loop runs, and \a renew when the table is close to the limit.
    void add(const std::string &table, Age age, std::function<void()> renew = {});

private:
    struct WatchedTable
    {
        std::string table;
        Age age;
        std::function<void()> renew; ///< Requests newer data; empty if there is no way to do so.
        std::chrono::milliseconds renewAge{0};
        bool isTooOld = false;
        std::chrono::milliseconds maximumAge{0}; ///< Maximum age since the table became too old.
    };

    void checkAll();
    void check(WatchedTable &watched);
    void renewIfOld(WatchedTable &watched, std::chrono::milliseconds age);
    std::chrono::milliseconds randomRenewAge();

    EventLoop::Loop &m_loop;
    Observe::Metrics &m_metrics;
    std::chrono::milliseconds m_limit; ///< Age from which a table is too old, from the settings.
    Decisions::RandomSource m_random;
    std::vector<WatchedTable> m_watched;
    EventLoop::Timer m_timer;
};

} // namespace Verbena::Relay
