#include "keptconnections.h"

#include <algorithm>

namespace Verbena::Decisions {

using std::chrono::milliseconds;

namespace {

// A request that is under way when the server closes the connection is lost. Covers the ways of the answer and of the next request, also over busy hosts.
constexpr milliseconds idleTimeoutMargin{250};

// Servers name their timeouts in whole seconds, so one that names none may close a connection within a second.
constexpr milliseconds unnamedIdleTime{400};

// A server that names a longer time may mean something else, and its connections are needed elsewhere.
constexpr std::chrono::seconds longestIdleTimeout{30};

} // namespace

// The failure of a kept connection hides whether the request ran, and the loss of a suspected request must say something about its server. An answer on a
// kept connection proves nothing unless it names the request.
bool mayKeepConnection(const KeptConnectionUse &use)
{
    return use.isRepeatable && !use.isBegun && use.hasId && !use.isHead && !use.isSuspected;
}

KeptConnections::KeptConnections(const KeptConnectionLimits &limits)
    : m_limits(limits)
{
}

Core::TimePoint KeptConnections::usableUntil(std::optional<std::chrono::seconds> idleTimeout, Core::TimePoint answeredAt)
{
    return idleTimeout.has_value() ? answeredAt + std::min(*idleTimeout, longestIdleTimeout) - idleTimeoutMargin : answeredAt + unnamedIdleTime;
}

KeptConnections::Number KeptConnections::keep(const ServerInstance &server, Core::TimePoint deadline)
{
    const Number number = ++m_lastNumber;
    m_connections.emplace(number, Connection{server, deadline});
    m_numbers[server.address].push_back(number);
    return number;
}

std::vector<KeptConnections::Number> KeptConnections::removeExcess(const std::string &address)
{
    std::vector<Number> removed;
    const auto found = m_numbers.find(address);
    if (found != m_numbers.end() && found->second.size() > m_limits.perServer) {
        const auto excess = static_cast<std::ptrdiff_t>(found->second.size() - m_limits.perServer);
        removed.assign(found->second.begin(), found->second.begin() + excess);
    }
    for (const Number number : removed) {
        remove(number);
    }
    while (m_connections.size() > m_limits.total) {
        removed.push_back(m_connections.begin()->first);
        remove(removed.back());
    }
    return removed;
}

// The most recently used connection is the least likely one to be closed at the other end, and the others may expire.
std::optional<KeptConnections::Number> KeptConnections::take(const ServerInstance &server, const KeptConnectionUse &use, Core::TimePoint now)
{
    const auto found = m_numbers.find(server.address);
    if (!mayKeepConnection(use) || found == m_numbers.end()) {
        return std::nullopt;
    }
    const std::vector<Number> &numbers = found->second;
    const auto usable = std::find_if(numbers.rbegin(), numbers.rend(), [&](Number number) {
        const Connection &connection = m_connections.at(number);
        return now < connection.deadline && connection.server == server;
    });
    if (usable == numbers.rend()) {
        return std::nullopt;
    }
    const Number number = *usable;
    remove(number);
    return number;
}

void KeptConnections::remove(Number number)
{
    const auto connection = m_connections.find(number);
    if (connection == m_connections.end()) {
        return;
    }
    const auto numbers = m_numbers.find(connection->second.server.address);
    std::erase(numbers->second, number);
    if (numbers->second.empty()) {
        m_numbers.erase(numbers);
    }
    m_connections.erase(connection);
}

std::vector<KeptConnections::Number> KeptConnections::removeWhere(const std::function<bool(const Connection &)> &isGivenUp)
{
    std::vector<Number> removed;
    for (const auto &[number, connection] : m_connections) {
        if (isGivenUp(connection)) {
            removed.push_back(number);
        }
    }
    for (const Number number : removed) {
        remove(number);
    }
    return removed;
}

std::vector<KeptConnections::Number> KeptConnections::removeExpired(Core::TimePoint now)
{
    return removeWhere([now](const Connection &connection) { return now >= connection.deadline; });
}

std::vector<KeptConnections::Number> KeptConnections::removeAddress(const std::string &address)
{
    if (!m_numbers.contains(address)) {
        return {};
    }
    return removeWhere([&address](const Connection &connection) { return connection.server.address == address; });
}

std::vector<KeptConnections::Number> KeptConnections::removeUnless(const std::function<bool(const ServerInstance &)> &isServing)
{
    return removeWhere([&isServing](const Connection &connection) { return !isServing(connection.server); });
}

std::optional<Core::TimePoint> KeptConnections::nextDeadline() const
{
    std::optional<Core::TimePoint> next;
    for (const auto &[number, connection] : m_connections) {
        next = std::min(next.value_or(connection.deadline), connection.deadline);
    }
    return next;
}

bool KeptConnections::hasIdle(const std::string &address, Core::TimePoint now) const
{
    const auto found = m_numbers.find(address);
    return found != m_numbers.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](Number number) { return now < m_connections.at(number).deadline; });
}

std::size_t KeptConnections::count() const
{
    return m_connections.size();
}

} // namespace Verbena::Decisions
