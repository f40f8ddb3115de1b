#include "soakfaults.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>

namespace Verbena::Soak {

using std::chrono::milliseconds;

namespace {

// Between two faults on average; each lasts up to longestFault, so that several overlap.
constexpr milliseconds faultPause{250};
constexpr milliseconds longestFault{1500};

// Links that lose packets show it over some retransmissions.
constexpr milliseconds longestLinkFault{5000};

// Planned work leaves some calm, in which the routers learn how long requests take.
constexpr milliseconds plannedPause{1500};

constexpr milliseconds shortestFreeze{200};
constexpr milliseconds longestFreeze{2000};
constexpr double mostFaultShare = 0.3;
constexpr double plannedShare = 0.4;

// Calls of agents are read until their deadline, so that some have to run into it.
constexpr milliseconds shortestEndless{1000};
constexpr milliseconds longestEndless{6000};

// Time that slow requests take at the servers.
constexpr milliseconds leastWork{50};
constexpr milliseconds mostWork{6000};
constexpr double mostGrowth = 4;

// Further signals come within it after a SIGTERM.
constexpr milliseconds longestStop{8000};
constexpr double secondSignalShare = 0.4;

constexpr milliseconds longestSeriesPause{600};

// A flood of signals, and the longest drawn pause within one beyond the shortest.
constexpr milliseconds shortestFlood{300};
constexpr milliseconds longestFlood{3000};
constexpr milliseconds longestFloodPause{60};
constexpr milliseconds tickTime{20};

milliseconds clampWork(double time)
{
    return milliseconds(static_cast<int>(std::clamp(time, static_cast<double>(leastWork.count()), static_cast<double>(mostWork.count()))));
}

} // namespace

SoakFaults::SoakFaults(SoakWorld &world, FaultMix mix)
    : m_world(world)
    , m_isPlanned(mix == FaultMix::Planned || (mix == FaultMix::Drawn && world.random().uniform() < plannedShare))
    , m_strikeTimer(world.loop(), [this] { strike(); })
    , m_tick(world.loop(), [this] { tick(); })
{
    using F = SoakFaults;
    m_strikes = {&F::endRouter,
        &F::endRouter,
        &F::endRouters,
        &F::replaceRouter,
        &F::hangUpRouter,
        &F::hangUpAgent,
        &F::floodRouter,
        &F::floodAgent,
        &F::floodRouterStop,
        &F::changeConfiguration,
        &F::growWork,
        &F::nameWeights,
        &F::endAgent,
        &F::nameModelsTwice};
    m_pause = plannedPause;
    if (!m_isPlanned) {
        m_strikes.insert(m_strikes.end(),
            {&F::killRouter,
                &F::freezeRouter,
                &F::freezeEngine,
                &F::freezeHost,
                &F::freezeInSeries,
                &F::freezeDuringWork,
                &F::writeOddEntry,
                &F::killAgent,
                &F::freezeAgent,
                &F::harmWorkerPath,
                &F::harmStorePath,
                &F::harmCallerLink,
                &F::harmRouterNews,
                &F::harmAgentNews,
                &F::sendOddMessages,
                &F::reportOddly,
                &F::harmStore,
                &F::closeLog,
                &F::closeLog,
                &F::crashWorker,
                &F::answerCallsWithoutEnd,
                &F::answerCallsWithoutEnd});
        m_pause = faultPause;
    }
    m_workTime = clampWork(static_cast<double>(mostWork.count()) * std::pow(world.random().uniform(), 2));
    m_world.setWorkTime(m_workTime);
}

bool SoakFaults::isPlanned() const
{
    return m_isPlanned;
}

void SoakFaults::startAt(Core::TimePoint time)
{
    m_strikeTimer.startAt(time);
    m_tick.startAt(time);
}

void SoakFaults::stop()
{
    m_strikeTimer.stop();
    m_tick.stop();
    m_later.clear();
}

void SoakFaults::tick()
{
    const Core::TimePoint now = m_world.loop().now();
    std::vector<Later> due;
    std::erase_if(m_later, [&](Later &later) {
        const bool isDue = later.at <= now;
        if (isDue) {
            due.push_back(std::move(later));
        }
        return isDue;
    });
    for (const Later &later : due) {
        later.act();
    }
    m_tick.startAt(now + tickTime);
}

void SoakFaults::strike()
{
    (this->*m_strikes[m_world.random().next() % m_strikes.size()])();
    const double pause = m_world.random().exponential() * static_cast<double>(m_pause.count());
    m_strikeTimer.startAt(m_world.loop().now() + milliseconds(static_cast<int>(pause)));
}

void SoakFaults::actLater(milliseconds span, std::function<void()> act)
{
    m_later.push_back({m_world.loop().now() + span, std::move(act)});
}

milliseconds SoakFaults::drawSpan(milliseconds longest)
{
    return milliseconds(static_cast<int>(m_world.random().uniform() * static_cast<double>(longest.count())));
}

std::size_t SoakFaults::drawRouter()
{
    return m_world.random().next() % m_world.routerCount();
}

std::size_t SoakFaults::drawWorker()
{
    return m_world.random().next() % m_world.workerCount();
}

FaultyProxy::Mode SoakFaults::drawMode()
{
    constexpr int harmfulModes = 5;
    return static_cast<FaultyProxy::Mode>(1 + m_world.random().next() % harmfulModes);
}

DatagramFault SoakFaults::drawNewsFault()
{
    constexpr int harmfulFaults = 4;
    return static_cast<DatagramFault>(m_world.random().next() % harmfulFaults);
}

void SoakFaults::disturbFor(milliseconds span)
{
    m_world.disturbances().note(m_world.loop().now() + span);
}

void SoakFaults::killRouter()
{
    disturbFor({});
    m_world.signalRouter(drawRouter(), SIGKILL);
}

void SoakFaults::endRouter()
{
    const std::size_t router = drawRouter();
    m_world.signalRouter(router, SIGTERM);
    signalDuringStop(router);
}

// One after the other, faster than they end.
void SoakFaults::endRouters()
{
    milliseconds at{0};
    for (std::size_t router = 0; router < m_world.routerCount(); ++router) {
        actLater(at, [this, router] { m_world.signalRouter(router, SIGTERM); });
        at += drawSpan(longestSeriesPause);
        signalDuringStop(router);
    }
}

void SoakFaults::replaceRouter()
{
    const std::size_t router = drawRouter();
    m_world.replaceRouter(router);
    signalDuringStop(router);
}

void SoakFaults::signalDuringStop(std::size_t router)
{
    for (const int number : {SIGHUP, SIGTERM}) {
        if (m_world.random().uniform() < secondSignalShare) {
            actLater(drawSpan(longestStop), [this, router, number] { m_world.signalRouter(router, number); });
        }
    }
}

void SoakFaults::hangUpRouter()
{
    m_world.signalRouter(drawRouter(), SIGHUP);
}

// Calls \a send again and again, with drawn pauses.
void SoakFaults::flood(const std::function<void()> &send)
{
    const milliseconds end = shortestFlood + drawSpan(longestFlood - shortestFlood);
    const milliseconds longestPause = tickTime + drawSpan(longestFloodPause);
    for (milliseconds at{0}; at < end; at += drawSpan(longestPause)) {
        actLater(at, send);
    }
}

// Floods meet one process; its successor is left alone.
void SoakFaults::floodRouter()
{
    const std::size_t router = drawRouter();
    const Core::TimePoint start = m_world.routerStart(router);
    flood([this, router, start] {
        if (m_world.routerStart(router) == start) {
            m_world.signalRouter(router, SIGHUP);
        }
    });
}

void SoakFaults::floodAgent()
{
    const std::size_t agent = drawWorker();
    const Core::TimePoint start = m_world.agentStart(agent);
    flood([this, agent, start] {
        if (m_world.agentStart(agent) == start) {
            m_world.signalAgent(agent, SIGHUP);
        }
    });
}

void SoakFaults::floodRouterStop()
{
    const std::size_t router = drawRouter();
    const Core::TimePoint start = m_world.routerStart(router);
    const bool isMixed = m_world.random().uniform() < secondSignalShare;
    flood([this, router, start, isMixed] {
        if (m_world.routerStart(router) == start) {
            m_world.signalRouter(router, SIGTERM);
            m_world.signalRouter(router, isMixed ? SIGHUP : SIGTERM);
        }
    });
}

milliseconds SoakFaults::drawFreeze()
{
    return shortestFreeze + drawSpan(longestFreeze - shortestFreeze);
}

void SoakFaults::freezeRouter()
{
    freezeRouterFor(drawRouter(), drawFreeze());
}

void SoakFaults::freezeRouterFor(std::size_t router, milliseconds span)
{
    disturbFor(span);
    m_world.signalRouter(router, SIGSTOP);
    actLater(span, [this, router] { m_world.signalRouter(router, SIGCONT); });
}

void SoakFaults::freezeAgentFor(std::size_t agent, milliseconds span)
{
    disturbFor(span);
    m_world.signalAgent(agent, SIGSTOP);
    actLater(span, [this, agent] { m_world.signalAgent(agent, SIGCONT); });
}

// An engine that stands still takes connections, as its system does that for it, and nothing more.
void SoakFaults::freezeEngineFor(std::size_t engine, milliseconds span)
{
    disturbFor(span);
    m_world.workerProxy(engine).setMode(FaultyProxy::Mode::Silence);
    actLater(span, [this, engine] { m_world.workerProxy(engine).setMode(FaultyProxy::Mode::Pass); });
}

void SoakFaults::freezeEngine()
{
    freezeEngineFor(m_world.random().next() % m_world.size().engines, drawFreeze());
}

void SoakFaults::freezeHost()
{
    const std::size_t engine = m_world.random().next() % m_world.size().engines;
    const milliseconds span = drawFreeze();
    freezeEngineFor(engine, span);
    freezeAgentFor(engine, span);
}

// One after the other; most overlap.
void SoakFaults::freezeInSeries()
{
    constexpr int longestSeries = 5;
    const std::array<Strike, 4> freezes{&SoakFaults::freezeRouter, &SoakFaults::freezeAgent, &SoakFaults::freezeEngine, &SoakFaults::freezeHost};
    const auto count = static_cast<int>(2 + m_world.random().next() % (longestSeries - 1));
    milliseconds at{0};
    for (int freeze = 0; freeze < count; ++freeze) {
        const Strike freezeOne = freezes[m_world.random().next() % freezes.size()];
        disturbFor(at);
        actLater(at, [this, freezeOne] { (this->*freezeOne)(); });
        at += drawSpan(longestSeriesPause);
    }
}

// Planned work begins shortly before something stands still, or meanwhile.
void SoakFaults::freezeDuringWork()
{
    const std::array<Strike, 4> works{&SoakFaults::endRouter, &SoakFaults::endRouters, &SoakFaults::replaceRouter, &SoakFaults::endAgent};
    const Strike work = works[m_world.random().next() % works.size()];
    disturbFor(longestSeriesPause);
    actLater(drawSpan(longestSeriesPause), [this, work] { (this->*work)(); });
    actLater(drawSpan(longestSeriesPause), [this] { freezeInSeries(); });
}

void SoakFaults::endAgent()
{
    m_world.signalAgent(drawWorker(), SIGTERM);
}

void SoakFaults::killAgent()
{
    disturbFor({});
    m_world.signalAgent(drawWorker(), SIGKILL);
}

void SoakFaults::hangUpAgent()
{
    m_world.signalAgent(drawWorker(), SIGHUP);
}

void SoakFaults::freezeAgent()
{
    freezeAgentFor(drawWorker(), drawFreeze());
}

void SoakFaults::harmWorkerPath()
{
    const std::size_t worker = drawWorker();
    const milliseconds span = drawSpan(longestFault);
    disturbFor(span);
    m_world.workerProxy(worker).setMode(drawMode());
    actLater(span, [this, worker] { m_world.workerProxy(worker).setMode(FaultyProxy::Mode::Pass); });
}

void SoakFaults::harmStorePath()
{
    const std::size_t router = drawRouter();
    const milliseconds span = drawSpan(longestFault);
    disturbFor(span);
    m_world.storeProxy(router).setMode(drawMode());
    actLater(span, [this, router] { m_world.storeProxy(router).setMode(FaultyProxy::Mode::Pass); });
}

// Only callers that use the link are concerned.
void SoakFaults::harmCallerLink()
{
    const std::size_t router = drawRouter();
    const milliseconds span = drawSpan(longestLinkFault);
    const Core::TimePoint end = m_world.loop().now() + span;
    m_world.setLinkMode(router, drawMode(), end);
    actLater(span, [this, router] { m_world.setLinkMode(router, FaultyProxy::Mode::Pass, m_world.loop().now()); });
}

void SoakFaults::harmRouterNews()
{
    const std::size_t router = drawRouter();
    const milliseconds span = drawSpan(longestLinkFault);
    disturbFor(span);
    m_world.setRouterNews(router, drawNewsFault());
    m_world.setPeerMode(router, drawMode());
    actLater(span, [this, router] {
        m_world.setRouterNews(router, std::nullopt);
        m_world.setPeerMode(router, FaultyProxy::Mode::Pass);
    });
}

void SoakFaults::harmAgentNews()
{
    const std::size_t agent = drawWorker();
    const milliseconds span = drawSpan(longestLinkFault);
    disturbFor(span);
    m_world.setAgentNews(agent, drawNewsFault());
    actLater(span, [this, agent] { m_world.setAgentNews(agent, std::nullopt); });
}

// Odd messages and reports excuse nothing.
void SoakFaults::sendOddMessages()
{
    const milliseconds span = drawSpan(longestLinkFault);
    if (m_world.random().uniform() < 0.5) {
        const std::size_t router = drawRouter();
        m_world.setRouterNews(router, DatagramFault::Odd);
        actLater(span, [this, router] { m_world.setRouterNews(router, std::nullopt); });
    } else {
        const std::size_t agent = drawWorker();
        m_world.setAgentNews(agent, DatagramFault::Odd);
        actLater(span, [this, agent] { m_world.setAgentNews(agent, std::nullopt); });
    }
}

void SoakFaults::reportOddly()
{
    const std::size_t worker = m_world.random().next() % m_world.size().engines;
    const milliseconds span = drawSpan(longestLinkFault);
    m_world.worker(worker).setOddCalls(true);
    actLater(span, [this, worker] { m_world.worker(worker).setOddCalls(false); });
}

void SoakFaults::harmStore()
{
    constexpr int harmfulModes = 3;
    const milliseconds span = drawSpan(longestFault);
    m_world.disturbances().noteStore(m_world.loop().now() + span);
    m_world.store().setMode(static_cast<Test::StoreStandin::Mode>(1 + m_world.random().next() % harmfulModes));
    actLater(span, [this] { m_world.store().setMode(Test::StoreStandin::Mode::Well); });
}

// Alone, or several in a series.
void SoakFaults::changeConfiguration()
{
    constexpr int longestSeries = 4;
    constexpr double compactShare = 0.3;
    const auto count = static_cast<int>(1 + m_world.random().next() % longestSeries);
    milliseconds at{0};
    for (int change = 0; change < count; ++change) {
        actLater(at, [this] { m_world.changeConfiguration(); });
        at += drawSpan(longestSeriesPause);
    }
    if (m_world.random().uniform() < compactShare) {
        m_world.store().compact();
    }
}

void SoakFaults::nameWeights()
{
    m_world.nameWeights();
}

void SoakFaults::closeLog()
{
    if (m_world.random().uniform() < 0.5) {
        m_world.closeRouterLog(drawRouter());
    } else {
        m_world.closeAgentLog(drawWorker());
    }
}

void SoakFaults::crashWorker()
{
    disturbFor({});
    m_world.crashWorker(drawWorker());
    m_world.worker(drawWorker()).setFaultShare(m_world.random().uniform() * mostFaultShare);
}

void SoakFaults::answerCallsWithoutEnd()
{
    const std::size_t worker = m_world.random().next() % m_world.size().engines;
    const milliseconds span = shortestEndless + drawSpan(longestEndless - shortestEndless);
    disturbFor(span);
    m_world.worker(worker).setEndlessCalls(true);
    actLater(span, [this, worker] { m_world.worker(worker).setEndlessCalls(false); });
}

// Such an entry says nothing new, and disturbs nobody.
void SoakFaults::nameModelsTwice()
{
    const std::size_t engine = m_world.random().next() % m_world.size().engines;
    m_world.nameModelsTwice(engine);
    actLater(drawSpan(longestFault), [this, engine] { m_world.registerWorker(engine); });
}

void SoakFaults::writeOddEntry()
{
    disturbFor({});
    m_world.writeOddEntry(drawWorker());
}

// Work becomes longer and longer, and then short again.
void SoakFaults::growWork()
{
    const bool isLongest = m_workTime == mostWork;
    m_workTime = isLongest ? leastWork : clampWork(static_cast<double>(m_workTime.count()) * (1 + m_world.random().uniform() * (mostGrowth - 1)));
    m_world.setWorkTime(m_workTime);
}

} // namespace Verbena::Soak
