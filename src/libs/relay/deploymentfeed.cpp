#include "deploymentfeed.h"

#include "relayevents.h"

#include <decisions/relay/registerpollinterval.h>
#include <eventloop/loop.h>
#include <observe/eventlog.h>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// Configuration changes are applied without a pause.
constexpr milliseconds declarationsPause{0};

// Entries that expired in an outage are registered again about two seconds after it.
constexpr milliseconds lapseTime{2000};

} // namespace

DeploymentFeed::DeploymentFeed(EventLoop::Loop &loop,
    Store::RowSource &source,
    Store::RowMirror &mirror,
    const DeploymentDecoder &decoder,
    RelayTask &relay,
    WeightsAnnouncements &announcements,
    const Store::FollowTimes &times)
    : m_loop(loop)
    , m_mirror(mirror)
    , m_reporter(mirror)
    , m_decoder(decoder)
    , m_relay(relay)
    , m_announcements(announcements)
    , m_declarationsTable(decoder.tables().declarations)
    , m_serversTable(decoder.tables().servers)
    , m_lapseTimer(loop,
          [this] {
              if (m_relay.fleet().servers().expire(m_loop.now())) {
                  Observe::log(serverChanged, {{"server", ""}, {"change", "lapsed entries gone"}});
              }
          })
    , m_declarations(loop, source, m_declarationsTable, declarationsPause, *this, times)
    , m_servers(loop, source, m_serversTable, Decisions::registerPollInterval(1), *this, times)
{
}

DeploymentFeed::~DeploymentFeed() = default;

void DeploymentFeed::setGossip(TableGossip &gossip)
{
    m_gossip = &gossip;
    gossip.follow(m_declarations, TableGossip::Urgency::Immediate);
    gossip.follow(m_servers, TableGossip::Urgency::WhenOutdated);
}

void DeploymentFeed::monitorAges(TableAgeMonitor &monitor)
{
    monitor.add(
        m_declarationsTable, [this] { return m_declarations.age(); }, [this] { (void)m_declarations.pollNow(); });
    monitor.add(m_serversTable, [this] { return m_servers.age(); });
}

std::optional<milliseconds> DeploymentFeed::declarationsAge() const
{
    return m_declarations.age();
}

std::optional<milliseconds> DeploymentFeed::registerAge() const
{
    return m_servers.age();
}

bool DeploymentFeed::renewRegister()
{
    return m_servers.pollNow();
}

void DeploymentFeed::replaceRows(const std::string &table, const Store::RowPage &page)
{
    m_mirror.replace(table, page);
    if (table == m_serversTable) {
        replaceServers(page);
        return;
    }
    applyRows(table, page, "table");
    announceChange(table);
}

void DeploymentFeed::changeRows(const std::string &table, const Store::RowPage &page)
{
    m_mirror.applyChanges(table, page);
    if (table == m_serversTable) {
        m_servers.setPause(m_relay.registerPause());
    }
    applyRows(table, page, "change");
    announceChange(table);
}

// Other routers may receive the change later from the store, or not at all.
void DeploymentFeed::announceChange(const std::string &table)
{
    if (m_gossip != nullptr && table == m_declarationsTable) {
        m_gossip->announceChange();
    }
}

void DeploymentFeed::applyRows(const std::string &table, const Store::RowPage &page, const std::string &source)
{
    addClockReading(page);
    for (const Store::TableRow &row : page.rows) {
        applyRow(table, row, source);
    }
}

void DeploymentFeed::addClockReading(const Store::RowPage &page)
{
    if (page.clock.has_value()) {
        m_announcements.addClockReading(*page.clock);
    }
}

void DeploymentFeed::replaceServers(const Store::RowPage &page)
{
    addClockReading(page);
    std::vector<Decisions::RegisteredServer> servers;
    for (const Store::TableRow &row : page.rows) {
        const auto decoded = m_decoder.decode(m_serversTable, row);
        if (!decoded) {
            rejectEntry(row.key, decoded.error());
        } else if (const auto *server = std::get_if<Decisions::RegisteredServer>(&decoded.value())) {
            servers.push_back(*server);
        }
    }
    m_relay.fleet().servers().replace(servers, m_loop.now());
    Observe::log(
        serverChanged, {{"server", ""}, {"change", "register read"}, {"count", std::to_string(servers.size())}, {"revision", std::to_string(page.revision)}});
}

void DeploymentFeed::applyRow(const std::string &table, const Store::TableRow &row, const std::string &source)
{
    auto decoded = m_decoder.decode(table, row);
    if (!decoded) {
        if (table == m_serversTable) {
            rejectEntry(row.key, decoded.error());
            m_relay.fleet().servers().remove(row.key, m_loop.now());
        } else {
            Observe::log(configurationRefused, decoded.error(), {{"row", row.key}});
        }
        return;
    }
    DeploymentRow &meaning = decoded.value();
    if (auto *configuration = std::get_if<Decisions::RelayConfiguration>(&meaning)) {
        applyConfiguration(std::move(*configuration), row.revision);
    } else if (const auto *weights = std::get_if<AnnouncedWeights>(&meaning)) {
        m_announcements.handleAnnouncement(*weights, row, source);
    } else if (const auto *server = std::get_if<Decisions::RegisteredServer>(&meaning)) {
        applyServer(*server);
    } else if (const auto *removed = std::get_if<RemovedServer>(&meaning)) {
        m_rejected.remove(removed->id);
        m_relay.fleet().servers().remove(removed->id, m_loop.now());
        Observe::log(serverChanged, {{"server", removed->id}, {"change", "entry removed"}, {"revision", std::to_string(row.revision)}});
    }
}

void DeploymentFeed::applyConfiguration(Decisions::RelayConfiguration configuration, std::uint64_t revision)
{
    const std::uint64_t version = configuration.version;
    if (!m_relay.setConfiguration(std::move(configuration)) && version < m_relay.configurationVersion()) {
        Observe::log(configurationOlder,
            {{"version", std::to_string(version)}, {"in_force", std::to_string(m_relay.configurationVersion())}, {"revision", std::to_string(revision)}});
    }
}

void DeploymentFeed::rejectEntry(const std::string &id, const Core::Error &error)
{
    if (m_rejected.record(id, error.message)) {
        Observe::log(entryRefused, error, {{"row", id}});
    }
}

void DeploymentFeed::applyServer(const Decisions::RegisteredServer &server)
{
    m_rejected.remove(server.id);
    Decisions::ServerRegister &servers = m_relay.fleet().servers();
    const std::uint64_t before = servers.revision();
    servers.set(server);
    if (servers.revision() != before) {
        Observe::log(serverChanged,
            {{"server", server.id},
                {"change", server.isLeaving ? "leaving" : "registered"},
                {"service", server.service},
                {"address", server.address},
                {"incarnation", std::to_string(server.incarnation)},
                {"weights", server.weights.empty() ? "" : std::to_string(server.weights.front().version)}});
    }
}

void DeploymentFeed::sourceLost(const std::string &table, const Core::Error &error)
{
    m_reporter.handleLost(table, error);
    if (table == m_serversTable) {
        m_relay.fleet().servers().markStoreLost();
    }
}

void DeploymentFeed::sourceRegained(const std::string &table)
{
    m_reporter.handleRegained(table);
    if (table == m_serversTable) {
        const Core::TimePoint lapseDeadline = m_loop.now() + lapseTime;
        m_relay.fleet().servers().markStoreRegained(lapseDeadline);
        m_lapseTimer.startAt(lapseDeadline);
    }
}

void DeploymentFeed::tableVerified(const std::string &table, Store::StoreTime verifiedAt, std::uint64_t coveredRevision)
{
    m_reporter.handleVerified(table, verifiedAt, coveredRevision);
}

void DeploymentFeed::staleAnswerReceived(const std::string &table, const Store::StaleAnswer &answer)
{
    m_reporter.handleStaleAnswer(table, answer);
}

} // namespace Verbena::Relay
