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

/// \brief Watches how old what this process knows of the store's tables may be: shows it in metrics and, where it is too old, in the log, and has the store
/// asked before it is.
class AgeWatch
{
public:
    /// \brief How old a table may be at most; nothing while it is not known.
    using Age = std::function<std::optional<std::chrono::milliseconds>()>;

    /// \brief Tables older than \a limit are logged.
    AgeWatch(EventLoop::Loop &loop, Observe::Metrics &metrics, std::chrono::milliseconds limit, std::uint64_t seed);

    AgeWatch(const AgeWatch &) = delete;
    AgeWatch &operator=(const AgeWatch &) = delete;

    /// \brief Watches \a table too; \a age is called for as long as the loop runs, and \a renew when the table grows old.
    void watch(const std::string &table, Age age, std::function<void()> renew = {});

private:
    struct Watched
    {
        std::string table;
        Age age;
        std::function<void()> renew; ///< Empty where nothing can be done.
        std::chrono::milliseconds renewAge{0};
        bool isAged = false;
        std::chrono::milliseconds longest{0}; ///< Since it is too old.
    };

    void look();
    void judge(Watched &watched);
    void renewIfOld(Watched &watched, std::chrono::milliseconds age);
    std::chrono::milliseconds drawRenewAge();

    EventLoop::Loop &m_loop;
    Observe::Metrics &m_metrics;
    std::chrono::milliseconds m_limit; ///< A bound of the settings.
    Decisions::RandomSource m_random;
    std::vector<Watched> m_watched;
    EventLoop::Timer m_timer;
};

} // namespace Verbena::Relay
