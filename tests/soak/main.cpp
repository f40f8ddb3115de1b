#include "soakcaller.h"
#include "soakworld.h"

#include <platform/workerfake.h>

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <set>

namespace Verbena::Soak {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t callerCount = 12;

// Between two faults on average; each lasts up to longestFault, so that several overlap.
constexpr std::chrono::milliseconds faultPause{250};
constexpr std::chrono::milliseconds longestFault{1500};
constexpr double mostFaultShare = 0.3;

/// One run: faults for a while, then calm, then the questions whether all came back.
class Run
{
public:
    Run(std::uint64_t seed, std::chrono::seconds length, std::string logFolder, bool areLogsUnread)
        : m_logFolder(std::move(logFolder))
        , m_areLogsUnread(areLogsUnread)
        , m_world(seed, {})
        , m_end(m_world.loop().now() + length)
        , m_faultTimer(m_world.loop(), [this] { strike(); })
        , m_tick(m_world.loop(), [this] { tick(); })
    {
    }

    bool play()
    {
        startCallers();
        m_faultTimer.startAt(m_world.loop().now() + 1s);
        tick();
        wait([this] { return m_world.loop().now() >= m_end; }, 600s);
        m_faultTimer.stop();
        m_isCalm = true;
        m_cures.clear();
        m_world.heal();
        checkRecovery();
        return report();
    }

private:
    struct Cure
    {
        Core::TimePoint at;
        std::function<void()> apply;
    };

    void startCallers()
    {
        for (std::size_t number = 0; number < callerCount; ++number) {
            m_callers.push_back(std::make_unique<SoakCaller>(
                m_world.loop(), m_world.routerEndpoints(), "c" + std::to_string(number), m_world.ledger(), m_world.random(), [this](const Outcome &outcome) {
                    noteOutcome(outcome);
                }));
        }
        startCrashingCaller("crashing", CrashCause::Request);
        startCrashingCaller("crashing-part", CrashCause::PromptPart);
        // One more for each router asks for the route that only the newest configuration has.
        m_highest.resize(m_world.routerCount());
        for (std::size_t router = 0; router < m_world.routerCount(); ++router) {
            m_callers.push_back(std::make_unique<SoakCaller>(
                m_world.loop(), m_world.routerEndpoints(), "p" + std::to_string(router), m_world.ledger(), m_world.random(), [this](const Outcome &outcome) {
                    noteProbe(outcome);
                }));
            m_callers.back()->pinTo(router, m_world.newestPath());
            m_probers.push_back(m_callers.back().get());
        }
    }

    void startCrashingCaller(const std::string &name, CrashCause cause)
    {
        m_callers.push_back(std::make_unique<SoakCaller>(
            m_world.loop(), m_world.routerEndpoints(), name, m_world.ledger(), m_world.random(), [this](const Outcome &outcome) { checkAnswered(outcome); }));
        m_callers.back()->sendCrashing(cause);
    }

    // A router that was not killed answers what it was sent, also when it ends or has stood still.
    void checkAnswered(const Outcome &outcome)
    {
        if (outcome.isUnanswered && !m_world.wasKilledSince(outcome.router, outcome.sentAt)) {
            m_world.ledger().noteUnanswered(outcome.id, std::chrono::duration_cast<std::chrono::milliseconds>(m_world.loop().now() - outcome.sentAt));
        }
    }

    void noteOutcome(const Outcome &outcome)
    {
        checkAnswered(outcome);
        if (m_isCalm && outcome.status == 200) {
            m_servedInCalm.insert({outcome.router, outcome.path});
        }
    }

    // A router that has shown a configuration may not answer by an older one until it is started again.
    void noteProbe(const Outcome &outcome)
    {
        checkAnswered(outcome);
        const std::size_t router = outcome.router;
        if (m_world.takeRestart(router)) {
            m_highest[router] = 0;
        }
        const int version = std::stoi(outcome.path.substr(2));
        if (outcome.status == 200) {
            if (version < m_highest[router]) {
                m_world.ledger().noteBroken("router " + std::to_string(router) + " went back to configuration " + std::to_string(version));
            }
            m_highest[router] = std::max(m_highest[router], version);
        }
        m_probers[router]->pinTo(router, m_world.newestPath());
    }

    void tick()
    {
        if (!m_areLogsUnread) {
            m_world.collectLogs();
        }
        m_world.restartEnded();
        m_world.endCrashing();
        const Core::TimePoint now = m_world.loop().now();
        std::vector<Cure> due;
        std::erase_if(m_cures, [&](Cure &cure) {
            const bool isDue = cure.at <= now;
            if (isDue) {
                due.push_back(std::move(cure));
            }
            return isDue;
        });
        for (const Cure &cure : due) {
            cure.apply();
        }
        m_tick.startAt(now + 50ms);
    }

    void cureLater(std::function<void()> apply)
    {
        const auto span = std::chrono::milliseconds(static_cast<int>(m_world.random().uniform() * static_cast<double>(longestFault.count())));
        m_cures.push_back({m_world.loop().now() + span, std::move(apply)});
    }

    void strike()
    {
        Decisions::RandomSource &random = m_world.random();
        const std::size_t router = random.next() % m_world.routerCount();
        const std::size_t worker = random.next() % m_world.workerCount();
        const auto mode = static_cast<FaultyProxy::Mode>(1 + random.next() % 4);
        switch (random.next() % 15) {
        case 0:
            m_world.signalRouter(router, SIGKILL);
            break;
        case 1:
            m_world.signalRouter(router, SIGTERM);
            break;
        case 2:
            m_world.signalRouter(router, SIGSTOP);
            cureLater([this, router] { m_world.signalRouter(router, SIGCONT); });
            break;
        case 3:
            m_world.signalRouter(router, SIGHUP);
            break;
        case 4:
            m_world.signalAgent(worker, random.uniform() < 0.5 ? SIGKILL : SIGTERM);
            break;
        case 5:
            m_world.signalAgent(worker, SIGSTOP);
            cureLater([this, worker] { m_world.signalAgent(worker, SIGCONT); });
            break;
        case 6:
            m_world.workerProxy(worker).setMode(mode);
            cureLater([this, worker] { m_world.workerProxy(worker).setMode(FaultyProxy::Mode::Pass); });
            break;
        case 7:
            m_world.storeProxy(router).setMode(mode);
            cureLater([this, router] { m_world.storeProxy(router).setMode(FaultyProxy::Mode::Pass); });
            break;
        case 8:
            m_world.store().setMode(static_cast<Test::StoreStandin::Mode>(1 + random.next() % 3));
            cureLater([this] { m_world.store().setMode(Test::StoreStandin::Mode::Well); });
            break;
        case 9:
            m_world.changeConfiguration();
            if (random.uniform() < 0.3) {
                m_world.store().compact();
            }
            break;
        case 10:
            m_world.nameWeights();
            break;
        case 11:
            m_world.replaceRouter(router);
            break;
        case 12:
            m_world.closeRouterLog(router);
            break;
        case 13:
            m_world.closeAgentLog(worker);
            break;
        default:
            m_world.crashWorker(worker);
            m_world.worker(random.next()).setFaultShare(random.uniform() * mostFaultShare);
            break;
        }
        m_faultTimer.startAt(
            m_world.loop().now() + std::chrono::milliseconds(static_cast<int>(random.exponential() * static_cast<double>(faultPause.count()))));
    }

    bool wait(const std::function<bool()> &isDone, std::chrono::seconds patience)
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
    void checkRecovery()
    {
        constexpr std::chrono::seconds patience{60};
        constexpr std::size_t kinds = 3;
        if (!wait([this] { return m_servedInCalm.size() == kinds * m_world.routerCount(); }, patience)) {
            m_world.ledger().noteBroken("not every router served every kind of request again");
        }
        const int newest = std::stoi(m_world.newestPath().substr(2));
        const auto isInForce = [this, newest] {
            return std::all_of(m_highest.begin(), m_highest.end(), [newest](int version) { return version == newest; });
        };
        if (!wait(isInForce, patience)) {
            m_world.ledger().noteBroken("the newest configuration is not in force everywhere");
        }
        if (!wait([this] { return m_world.hasNewestWeightsEverywhere(); }, patience)) {
            m_world.ledger().noteBroken("not every engine got the newest weights");
        }
    }

    bool report()
    {
        const Ledger &ledger = m_world.ledger();
        std::cout << "served " << ledger.served() << ", runs " << ledger.runs() << ", crashes " << ledger.crashes(CrashCause::Request) << " and "
                  << ledger.crashes(CrashCause::PromptPart) << ", configuration " << m_world.newestPath() << ", weights " << m_world.newestWeights()
                  << ", broken " << ledger.broken().size() << std::endl;
        for (const std::string &what : ledger.broken()) {
            std::cout << "BROKEN: " << what << std::endl;
        }
        if (!ledger.broken().empty() && !m_logFolder.empty()) {
            m_world.collectLogs();
            m_world.writeLogs(m_logFolder);
        }
        return ledger.broken().empty();
    }

    std::string m_logFolder;
    bool m_areLogsUnread;
    SoakWorld m_world;
    Core::TimePoint m_end;
    EventLoop::Timer m_faultTimer;
    EventLoop::Timer m_tick;
    std::vector<Cure> m_cures;
    std::vector<std::unique_ptr<SoakCaller>> m_callers;
    std::vector<SoakCaller *> m_probers;
    std::vector<int> m_highest; ///< Configuration that each router has shown since its start.
    std::set<std::pair<std::size_t, std::string>> m_servedInCalm;
    bool m_isCalm = false;
};

} // namespace

} // namespace Verbena::Soak

int main(int argc, char **argv)
{
    TCLAP::CmdLine line(
        "Plays real routers and agents under random faults and holds what callers and backend servers see against the promises.", ' ', VERBENA_VERSION);
    TCLAP::ValueArg<std::uint64_t> first("", "seed", "The first seed.", false, 1, "number", line);
    TCLAP::ValueArg<std::uint64_t> count("", "count", "How many seeds, one after the other.", false, 1, "number", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "How long faults come in each run.", false, 10, "seconds", line);
    TCLAP::ValueArg<std::string> logs("", "logs", "Folder for the logs of a run that breaks a promise.", false, "", "folder", line);
    TCLAP::SwitchArg unread("", "unread-logs", "Leave what the processes log unread, as a reader that has stopped would.", line);
    line.parse(argc, argv);
    bool isGood = true;
    for (std::uint64_t seed = first.getValue(); seed < first.getValue() + count.getValue(); ++seed) {
        std::cout << "seed " << seed << ": " << std::flush;
        isGood = Verbena::Soak::Run(seed, std::chrono::seconds(seconds.getValue()), logs.getValue(), unread.getValue()).play() && isGood;
    }
    return isGood ? 0 : 1;
}
