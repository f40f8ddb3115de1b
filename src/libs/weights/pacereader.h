#pragma once

#include "enginecontrol.h"

#include <core/lifetime.h>
#include <eventloop/timer.h>

#include <optional>
#include <string>

namespace Verbena::Weights {

/// \brief Reads the pace that the engine on this host names, as long as routers ask for it.
class PaceReader
{
public:
    PaceReader(EventLoop::Loop &loop, EngineControl &engine);

    PaceReader(const PaceReader &) = delete;
    PaceReader &operator=(const PaceReader &) = delete;

    /// \brief Handles that a router wants the pace, which the engine names in answers for \a path. Does nothing unless \a path begins with a slash.
    void request(const std::string &path);

    /// \brief Returns the pace that was read since the last call; nothing if there is none. Each reading is returned once, so that none counts twice.
    std::optional<double> takePace();

    /// \brief Discards the last reading, as the engine has restarted.
    void restart();

private:
    void read();
    void handlePace(const Core::Result<std::optional<double>> &pace);

    EventLoop::Loop &m_loop;
    EngineControl &m_engine;
    std::string m_path;
    Core::TimePoint m_requestedUntil{};
    bool m_isReading = false;
    std::optional<double> m_pace; ///< Empty once it has been returned.
    EventLoop::Timer m_timer;
    Core::Lifetime m_lifetime;
};

} // namespace Verbena::Weights
