#include "soakrun.h"

#include "soakroutes.h"

#include <algorithm>
#include <iostream>

namespace Verbena::Soak {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds tickTime{50};
constexpr std::size_t endlessCallers = 2;

// Share of runs in which many large bodies come at once, and how many callers send them to all routers together.
constexpr double largeBodiesShare = 0.4;
constexpr std::size_t largeCallers = 200;

// Of a run that breaks a promise, for each of so many requests so many lines of the logs are shown.
constexpr std::size_t mostRequestsWithLogs = 5;
constexpr std::size_t mostLogLines = 20;

} // namespace

SoakRun::SoakRun(RunSettings settings)
    : m_settings(std::move(settings))
    , m_world(m_settings.seed, m_settings.size)
    , m_hasLargeBodies(m_world.random().uniform() < largeBodiesShare)
    , m_judge(m_world.ledger())
    , m_faults(m_world, m_settings.mix)
    , m_end(m_world.loop().now() + m_settings.length)
    , m_tick(m_world.loop(), [this] { tick(); })
{
}

bool SoakRun::play()
{
    startCallers();
    startLinkedCallers();
    startLargeCallers();
    startResumers();
    startProbers();
    m_faults.startAt(m_world.loop().now() + 1s);
    tick();
    wait([this] { return m_world.loop().now() >= m_end; }, m_settings.length + 60s);
    m_faults.stop();
    m_endless.clear();
    m_isCalm = true;
    m_world.heal();
    m_resumedUnderFaults = resumed();
    for (const auto &caller : m_resumers) {
        caller->startAnew();
    }
    checkRecovery();
    return report();
}

void SoakRun::startCallers()
{
    const std::size_t count = m_settings.size.callersPerRouter * m_world.routerCount();
    for (std::size_t number = 0; number < count; ++number) {
        startCaller("c" + std::to_string(number), &SoakRun::noteOutcome);
        startCaller("s" + std::to_string(number), &SoakRun::judge).askFor({"/slow/", "/slow-once/", "/long/", "/resume-long/"});
    }
    for (std::size_t number = 0; number < m_world.routerCount(); ++number) {
        m_holders.push_back(std::make_unique<HoldingCaller>(m_world.loop(), m_world.routerEndpoints()[number], "h" + std::to_string(number), true));
        m_holders.push_back(std::make_unique<HoldingCaller>(m_world.loop(), m_world.routerEndpoints()[number], "k" + std::to_string(number), false));
    }
    if (m_faults.isPlanned()) {
        return;
    }
    startCaller("crashing", &SoakRun::judge).sendCrashing(CrashCause::Request);
    startCaller("crashing-part", &SoakRun::judge).sendCrashing(CrashCause::PromptPart);
    startCaller("endless", &SoakRun::judge).sendEndless();
    for (std::size_t number = 0; number < endlessCallers; ++number) {
        m_endless.push_back(std::make_unique<EndlessCaller>(m_world.loop(), m_world.routerEndpoints(), m_world.random()));
    }
}

std::size_t SoakRun::halfOfCallers() const
{
    return std::max<std::size_t>(1, m_settings.size.callersPerRouter / 2) * m_world.routerCount();
}

void SoakRun::startLinkedCallers()
{
    for (std::size_t number = 0; number < halfOfCallers(); ++number) {
        SoakCaller &caller = startCaller("l" + std::to_string(number), &SoakRun::judgeLinked, true);
        caller.askFor({"/safe/", "/once/", "/slow/", "/resume/", "/resume-long/"});
        caller.keepSendingSide();
    }
}

void SoakRun::startLargeCallers()
{
    for (std::size_t number = 0; m_hasLargeBodies && number < largeCallers; ++number) {
        SoakCaller &caller = startCaller("m" + std::to_string(number), &SoakRun::judge);
        caller.askFor({"/slow/", "/slow-once/"});
        caller.sendLarge();
    }
}

SoakCaller &SoakRun::startCaller(const std::string &name, void (SoakRun::*note)(const Outcome &outcome), bool isLinked)
{
    const std::vector<Http::Endpoint> routers = isLinked ? m_world.linkEndpoints() : m_world.routerEndpoints();
    m_callers.push_back(std::make_unique<SoakCaller>(
        m_world.loop(), routers, name, m_world.ledger(), m_world.random(), [this, note](const Outcome &outcome) { (this->*note)(outcome); }));
    return *m_callers.back();
}

void SoakRun::startResumers()
{
    for (std::size_t number = 0; number < halfOfCallers(); ++number) {
        m_resumers.push_back(std::make_unique<ResumingCaller>(
            m_world.loop(), m_world.routerEndpoints(), "r" + std::to_string(number), m_world.ledger(), m_world.random(), [this](const Outcome &outcome) {
                judge(outcome);
            }));
    }
}

// One more for each router asks for the route that only the newest configuration has.
void SoakRun::startProbers()
{
    m_highest.resize(m_world.routerCount());
    for (std::size_t router = 0; router < m_world.routerCount(); ++router) {
        SoakCaller &prober = startCaller("p" + std::to_string(router), &SoakRun::noteProbe);
        prober.pinTo(router, m_world.newestPath());
        m_probers.push_back(&prober);
    }
}

void SoakRun::judge(const Outcome &outcome)
{
    m_judge.judge(outcome, m_world.pastSince(outcome.router, outcome.path, outcome.sentAt));
}

// What a harmed link did to an answer says nothing of its router. Callers themselves check that what came is theirs.
void SoakRun::judgeLinked(const Outcome &outcome)
{
    const bool isRefused = outcome.isUnanswered && m_world.hasLinkRefused(outcome.router, outcome.id);
    if (!isRefused && !m_world.isLinkHarmedSince(outcome.router, outcome.sentAt)) {
        judge(outcome);
    }
}

void SoakRun::noteOutcome(const Outcome &outcome)
{
    judge(outcome);
    if (m_isCalm && outcome.status == 200) {
        m_servedInCalm.insert({outcome.router, outcome.path});
    }
}

// A router that has shown a configuration may not answer by an older one until it is started again.
void SoakRun::noteProbe(const Outcome &outcome)
{
    judge(outcome);
    const std::size_t router = outcome.router;
    if (m_world.takeRestart(router)) {
        m_highest[router] = 0;
    }
    const int version = std::stoi(outcome.path.substr(2));
    if (outcome.status == 200) {
        if (version < m_highest[router]) {
            m_world.ledger().noteBroken("front-" + std::to_string(router), "went back to configuration " + std::to_string(version));
        }
        m_highest[router] = std::max(m_highest[router], version);
    }
    m_probers[router]->pinTo(router, m_world.newestPath());
}

void SoakRun::tick()
{
    if (!m_settings.areLogsUnread) {
        m_world.collectLogs();
    }
    m_world.restartEnded();
    m_world.endCrashing();
    m_tick.startAt(m_world.loop().now() + tickTime);
}

bool SoakRun::wait(const std::function<bool()> &isDone, std::chrono::seconds patience)
{
    const Core::TimePoint deadline = m_world.loop().now() + patience;
    while (!isDone()) {
        if (m_world.loop().now() > deadline) {
            return false;
        }
        m_world.loop().runOnce();
    }
    return true;
}

// Generous, so that a busy machine changes nothing: what comes back at all comes back within seconds.
void SoakRun::checkRecovery()
{
    constexpr std::chrono::seconds patience{60};
    constexpr std::size_t kinds = 3;
    Ledger &ledger = m_world.ledger();
    if (!wait([this] { return m_servedInCalm.size() == kinds * m_world.routerCount(); }, patience)) {
        ledger.noteBroken("recovery", "not every router served every kind of request again");
    }
    const int newest = std::stoi(m_world.newestPath().substr(2));
    const auto isInForce = [this, newest] {
        return std::all_of(m_highest.begin(), m_highest.end(), [newest](int version) { return version == newest; });
    };
    if (!wait(isInForce, patience)) {
        ledger.noteBroken("recovery", "the newest configuration is not in force everywhere");
    }
    const auto hasResumed = [this] {
        return std::all_of(m_resumers.begin(), m_resumers.end(), [](const auto &caller) { return caller->resumed() > 0; });
    };
    if (!wait(hasResumed, patience)) {
        ledger.noteBroken("recovery", "not every caller could resume a stream again");
    }
    if (!wait([this] { return m_world.hasNewestWeightsEverywhere(); }, patience)) {
        ledger.noteBroken("recovery", "not every engine got the newest weights");
    }
}

int SoakRun::resumed() const
{
    int resumed = m_resumedUnderFaults;
    for (const auto &caller : m_resumers) {
        resumed += caller->resumed();
    }
    return resumed;
}

bool SoakRun::report()
{
    const Ledger &ledger = m_world.ledger();
    std::cout << (m_faults.isPlanned() ? "planned" : "all") << " faults, " << (m_hasLargeBodies ? "large bodies, " : "") << "routers of "
              << m_world.routerMegabytes() << " MB, resumed " << resumed() << ", datagrams " << m_world.datagrams().received() << ", harmed "
              << m_world.datagrams().harmed() << ", served " << ledger.served() << ", runs " << ledger.runs() << ", crashes "
              << ledger.crashes(CrashCause::Request) << " and " << ledger.crashes(CrashCause::PromptPart) << ", configuration " << m_world.newestPath()
              << ", weights " << m_world.newestWeights() << ", given up in stops, not to be foreseen: " << m_judge.unforeseen() << ", broken "
              << ledger.broken().size() << std::endl;
    for (const auto &[program, megabytes] : ledger.peaks()) {
        std::cout << "  peak of " << program << ": " << megabytes << " MB" << std::endl;
    }
    if (ledger.broken().empty()) {
        return true;
    }
    m_world.collectLogs();
    reportBroken();
    if (!m_settings.logFolder.empty()) {
        m_world.writeLogs(m_settings.logFolder);
    }
    return false;
}

// What was logged of the first broken requests stands beside them, as the logs of a run without a folder are gone with it.
void SoakRun::reportBroken()
{
    std::size_t shown = 0;
    for (const Verdict &verdict : m_world.ledger().broken()) {
        std::cout << "BROKEN: seed " << m_settings.seed << " at " << verdict.at.count() << " ms: " << verdict.where << ' ' << verdict.what << std::endl;
        if (verdict.request.empty() || shown++ >= mostRequestsWithLogs) {
            continue;
        }
        for (const std::string &line : m_world.logLinesOf(verdict.request, mostLogLines)) {
            std::cout << "  " << line << std::endl;
        }
    }
}

} // namespace Verbena::Soak
