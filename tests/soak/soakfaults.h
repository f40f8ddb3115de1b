#pragma once

#include "soakworld.h"

#include <eventloop/timer.h>

#include <functional>
#include <vector>

namespace Verbena::Soak {

/// \brief What a run plays.
enum class FaultMix {
    Drawn, ///< One of the others, by the seed.
    Planned, ///< Only what a careful operator does: restarts, changes of the configuration and signals; servers' work grows.
    All,
};

/// \brief Random faults, several at a time, and what ends them.
class SoakFaults
{
public:
    SoakFaults(SoakWorld &world, FaultMix mix);

    bool isPlanned() const;

    /// \brief Lets faults come from \a time on.
    void startAt(Core::TimePoint time);

    /// \brief Lets no more faults come, and drops what would have ended those that last.
    void stop();

private:
    using Strike = void (SoakFaults::*)();

    struct Later
    {
        Core::TimePoint at;
        std::function<void()> act;
    };

    void tick();
    void strike();
    void actLater(std::chrono::milliseconds span, std::function<void()> act);
    std::chrono::milliseconds drawSpan(std::chrono::milliseconds longest);
    std::size_t drawRouter();
    std::size_t drawWorker();
    FaultyProxy::Mode drawMode();
    DatagramFault drawNewsFault();
    void disturbFor(std::chrono::milliseconds span);

    void killRouter();
    void endRouter();
    void endRouters();
    void replaceRouter();
    void hangUpRouter();
    void freezeRouter();
    void floodRouter();
    void floodAgent();
    void floodRouterStop();
    void freezeEngine();
    void freezeHost();
    void freezeInSeries();
    void freezeDuringWork();
    void endAgent();
    void killAgent();
    void hangUpAgent();
    void freezeAgent();
    void harmWorkerPath();
    void harmStorePath();
    void harmCallerLink();
    void harmRouterNews();
    void harmAgentNews();
    void sendOddMessages();
    void reportOddly();
    void harmStore();
    void changeConfiguration();
    void nameWeights();
    void closeLog();
    void crashWorker();
    void answerCallsWithoutEnd();
    void growWork();
    void nameModelsTwice();
    void writeOddEntry();

    void signalDuringStop(std::size_t router);
    void flood(const std::function<void()> &send);
    std::chrono::milliseconds drawFreeze();
    void freezeRouterFor(std::size_t router, std::chrono::milliseconds span);
    void freezeAgentFor(std::size_t agent, std::chrono::milliseconds span);
    void freezeEngineFor(std::size_t engine, std::chrono::milliseconds span);

    SoakWorld &m_world;
    std::vector<Strike> m_strikes;
    std::chrono::milliseconds m_pause;
    std::chrono::milliseconds m_workTime;
    bool m_isPlanned;
    std::vector<Later> m_later;
    EventLoop::Timer m_strikeTimer;
    EventLoop::Timer m_tick;
};

} // namespace Verbena::Soak
