#include "settingssimulation.h"

#include <algorithm>

namespace Verbena::Test {

namespace {

constexpr std::size_t digestBytes = 24;
constexpr std::size_t pullBytes = 8;
constexpr std::chrono::milliseconds platformDelay{5};
constexpr std::chrono::seconds platformTimeout{2};

std::size_t sizeOf(const Decisions::SettingsDelta &delta)
{
    std::size_t bytes = digestBytes;
    for (const Decisions::SettingsRow &row : delta.rows) {
        bytes += row.path.size() + row.content.size() + 12;
    }
    return bytes;
}

} // namespace

struct SettingsSimulation::Process
{
    std::unique_ptr<Decisions::SettingsReplica> replica; ///< Null while crashed.
    std::uint64_t incarnation = 0;
    std::size_t group = 0;
    Core::TimePoint advanceAt = Core::TimePoint::max();
    std::vector<std::string> peers;
    RowMap inForce;
    std::uint64_t revision = 0;
    std::vector<std::pair<std::uint64_t, Core::TimePoint>> publications;
};

SettingsSimulation::SettingsSimulation(const SettingsSimulationOptions &options)
    : m_options(options)
    , m_random(options.seed)
{
    std::vector<std::set<std::size_t>> neighbours(options.processes);
    for (std::size_t i = 0; i < options.processes; ++i) {
        const bool isComplete = options.peersEach == 0;
        const std::size_t wanted = isComplete ? options.processes : options.peersEach;
        for (std::size_t j = 0; j < wanted; ++j) {
            const std::size_t other = isComplete ? j : m_random.next() % options.processes;
            if (other != i) {
                neighbours[i].insert(other);
                neighbours[other].insert(i);
            }
        }
    }
    m_history[0] = {};
    for (std::size_t i = 0; i < options.processes; ++i) {
        m_processes.push_back(std::make_unique<Process>());
        for (const std::size_t other : neighbours[i]) {
            m_processes[i]->peers.push_back(std::to_string(other));
        }
        start(i);
    }
}

SettingsSimulation::~SettingsSimulation() = default;

std::uint64_t SettingsSimulation::commit(const std::map<std::string, std::optional<std::string>> &writes)
{
    ++m_revision;
    for (const auto &[path, content] : writes) {
        m_table[path] = {path, content.value_or(""), m_revision, !content.has_value()};
        m_commits[m_revision].push_back(path);
    }
    if (m_options.isHistoryKept) {
        m_history[m_revision] = m_table;
    }
    return m_revision;
}

void SettingsSimulation::run(std::chrono::microseconds duration)
{
    const Core::TimePoint end = m_now + duration;
    while (!m_events.empty() && m_events.top().time <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.run();
    }
    m_now = end;
}

void SettingsSimulation::crash(std::size_t process)
{
    Process &crashed = *m_processes[process];
    crashed.replica.reset();
    ++crashed.incarnation;
    crashed.inForce.clear();
    crashed.revision = 0;
}

void SettingsSimulation::restart(std::size_t process)
{
    crash(process);
    start(process);
    // Connections are established one after the other; a starting process asks the first peers.
    for (const std::string &peer : m_processes[process]->peers) {
        callLater(process, randomDelay(), [this, process, peer](Process &started) { perform(process, started.replica->handlePeerConnected(peer, m_now)); });
    }
}

void SettingsSimulation::setGroup(std::size_t process, std::size_t group)
{
    m_processes[process]->group = group;
}

void SettingsSimulation::setTableDown(bool isDown)
{
    m_isTableDown = isDown;
}

void SettingsSimulation::setSnapshotDown(bool isDown)
{
    m_isSnapshotDown = isDown;
}

void SettingsSimulation::setTableAnswersLost(bool isLost)
{
    m_areTableAnswersLost = isLost;
}

void SettingsSimulation::saveSnapshot(std::size_t process)
{
    if (isRunning(process)) {
        m_snapshot = replica(process).store().everything();
    }
}

bool SettingsSimulation::isRunning(std::size_t process) const
{
    return m_processes[process]->replica != nullptr;
}

const Decisions::SettingsReplica &SettingsSimulation::replica(std::size_t process) const
{
    return *m_processes[process]->replica;
}

std::uint64_t SettingsSimulation::tableRevision() const
{
    return m_revision;
}

Core::TimePoint SettingsSimulation::now() const
{
    return m_now;
}

const std::string &SettingsSimulation::violation() const
{
    return m_violation;
}

bool SettingsSimulation::isConverged() const
{
    return std::all_of(m_processes.begin(), m_processes.end(), [this](const auto &process) {
        return process->replica == nullptr || (process->revision == m_revision && (!m_options.isHistoryKept || process->inForce == m_table));
    });
}

std::optional<Core::TimePoint> SettingsSimulation::inForceAt(std::size_t process, std::uint64_t revision) const
{
    for (const auto &[published, time] : m_processes[process]->publications) {
        if (published >= revision) {
            return time;
        }
    }
    return std::nullopt;
}

void SettingsSimulation::schedule(std::chrono::microseconds delay, std::function<void()> run)
{
    m_events.push({m_now + delay, ++m_order, std::move(run)});
}

void SettingsSimulation::start(std::size_t index)
{
    Process &process = *m_processes[index];
    process.replica = std::make_unique<Decisions::SettingsReplica>(m_options.replica, m_random.next(), m_now);
    process.replica->setProcessCount(m_options.processes);
    process.advanceAt = Core::TimePoint::max();
    scheduleAdvance(index);
}

void SettingsSimulation::scheduleAdvance(std::size_t index)
{
    Process &process = *m_processes[index];
    const Core::TimePoint due = std::max(process.replica->nextDeadline(), m_now);
    if (due >= process.advanceAt) {
        return;
    }
    process.advanceAt = due;
    const auto delay = std::chrono::ceil<std::chrono::microseconds>(due - m_now);
    callLater(index, delay, [this, index, due](Process &advanced) {
        if (advanced.advanceAt != due) {
            return;
        }
        advanced.advanceAt = Core::TimePoint::max();
        perform(index, advanced.replica->advance(advanced.peers, m_now));
    });
}

void SettingsSimulation::callLater(std::size_t index, std::chrono::microseconds delay, std::function<void(Process &)> run)
{
    schedule(delay, [this, index, incarnation = m_processes[index]->incarnation, run = std::move(run)] {
        Process &process = *m_processes[index];
        if (process.replica != nullptr && process.incarnation == incarnation) {
            run(process);
        }
    });
}

void SettingsSimulation::perform(std::size_t index, Decisions::SettingsReplica::Actions actions)
{
    for (Decisions::ReplicaAction &action : actions) {
        std::visit([this, index](auto &typed) { perform(index, typed); }, action);
    }
    scheduleAdvance(index);
}

void SettingsSimulation::perform(std::size_t index, Decisions::SendDigest &action)
{
    deliver(index, action.peer, digestBytes, [this, index, digest = action.digest](std::size_t to) {
        perform(to, m_processes[to]->replica->receiveDigest(std::to_string(index), digest, m_now));
    });
}

void SettingsSimulation::perform(std::size_t index, Decisions::SendPull &action)
{
    deliver(index, action.peer, pullBytes, [this, index, since = action.since](std::size_t to) {
        perform(to, m_processes[to]->replica->receivePull(std::to_string(index), since, m_now));
    });
}

void SettingsSimulation::perform(std::size_t index, Decisions::SendPush &action)
{
    deliver(index, action.peer, sizeOf(action.delta), [this, index, delta = action.delta](std::size_t to) {
        perform(to, m_processes[to]->replica->receivePush(std::to_string(index), delta, m_processes[to]->peers, m_now));
    });
}

void SettingsSimulation::perform(std::size_t index, Decisions::ScanTable &action)
{
    ++tableReads;
    const Core::TimePoint sentAt = m_now;
    if (m_isTableDown || m_areTableAnswersLost || m_processes[index]->group != 0) {
        callLater(index, platformTimeout, [this, index](Process &process) {
            process.replica->receiveTableFailure(m_now);
            scheduleAdvance(index);
        });
        return;
    }
    callLater(index, platformDelay, [this, index, action, sentAt, rows = scan(action)](Process &process) {
        perform(index, process.replica->receiveTablePage(action, rows, sentAt, process.peers, m_now));
    });
}

void SettingsSimulation::perform(std::size_t index, Decisions::ReadSnapshot &)
{
    ++snapshotReads;
    const bool isReachable = !m_isSnapshotDown && m_processes[index]->group == 0;
    if (isReachable && m_snapshot.has_value()) {
        callLater(index, platformDelay, [this, index, snapshot = *m_snapshot](Process &process) {
            perform(index, process.replica->receiveSnapshot(snapshot, process.peers, m_now));
        });
        return;
    }
    callLater(index, isReachable ? platformDelay : platformTimeout, [this, index, isReachable](Process &process) {
        process.replica->receiveSnapshotFailure(isReachable, m_now);
        scheduleAdvance(index);
    });
}

void SettingsSimulation::perform(std::size_t index, Decisions::PublishSettings &action)
{
    Process &process = *m_processes[index];
    if (action.revision <= process.revision) {
        m_violation = "The revision in force changed from " + std::to_string(process.revision) + " to " + std::to_string(action.revision) + ".";
    }
    process.revision = action.revision;
    process.publications.emplace_back(action.revision, m_now);
    if (!m_options.isHistoryKept) {
        return;
    }
    for (const Decisions::SettingsRow &row : action.rows) {
        process.inForce[row.path] = row;
    }
    if (process.inForce != m_history[action.revision]) {
        m_violation = "The settings in force at revision " + std::to_string(action.revision) + " differ from the state of the table at that revision.";
    }
}

void SettingsSimulation::perform(std::size_t, Decisions::ReportDivergence &action)
{
    m_violation = "Two processes hold different settings at revision " + std::to_string(action.revision) + ".";
}

void SettingsSimulation::deliver(std::size_t from, const std::string &to, std::size_t bytes, std::function<void(std::size_t)> receive)
{
    ++messages;
    messageBytes += bytes;
    const auto index = static_cast<std::size_t>(std::stoul(to));
    if (m_random.uniform() < m_options.lossProbability || m_processes[from]->group != m_processes[index]->group) {
        return;
    }
    callLater(index, randomDelay(), [index, receive = std::move(receive)](Process &) { receive(index); });
}

std::chrono::microseconds SettingsSimulation::randomDelay()
{
    const auto range = static_cast<std::uint64_t>((m_options.maximumDelay - m_options.minimumDelay).count()) + 1;
    return m_options.minimumDelay + std::chrono::microseconds(m_random.next() % range);
}

std::vector<Decisions::SettingsRow> SettingsSimulation::scan(const Decisions::ScanTable &action) const
{
    std::vector<Decisions::SettingsRow> rows;
    for (auto commit = m_commits.upper_bound(action.since); commit != m_commits.end(); ++commit) {
        for (const std::string &path : commit->second) {
            const Decisions::SettingsRow &row = m_table.at(path);
            if (row.revision == commit->first && rows.size() < action.limit) {
                rows.push_back(row);
            }
        }
    }
    return rows;
}

} // namespace Verbena::Test
