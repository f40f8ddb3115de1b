#include "datagramlinks.h"

#include "oddmessage.h"

#include <eventloop/loop.h>

#include <algorithm>

namespace Verbena::Soak {

using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t lowestPort = 7340;
constexpr std::uint16_t portsOfGroup = 16;

// Routers and agents use so many of their ports.
constexpr std::uint16_t usedPorts = 6;

constexpr double faultShare = 0.4;
constexpr double oldShare = 0.3;
constexpr milliseconds longestDelay{1500};
constexpr milliseconds tickTime{10};

// So many old messages are kept; each new one may take the place of one of them.
constexpr std::size_t keptMessages = 64;
constexpr double keepShare = 0.05;

std::string endpointText(const std::string &ip, std::uint16_t port)
{
    return ip + ':' + std::to_string(port);
}

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    return Http::Endpoint::parse(endpointText(ip, port)).value().address;
}

} // namespace

DatagramLinks::DatagramLinks(EventLoop::Loop &loop, Decisions::RandomSource &random)
    : m_loop(loop)
    , m_random(random)
    , m_timer(loop, [this] { passOnDue(); })
{
}

DatagramLinks::~DatagramLinks() = default;

std::uint16_t DatagramLinks::firstPort(std::size_t group)
{
    return static_cast<std::uint16_t>(lowestPort + portsOfGroup * group);
}

void DatagramLinks::add(const std::string &ip, std::size_t group)
{
    for (std::size_t other = 0; other < groups; ++other) {
        for (std::uint16_t offset = 0; other != group && offset < usedPorts; ++offset) {
            Link &link = openLink(ip, static_cast<std::uint16_t>(firstPort(other) + offset));
            link.group = group;
            link.senderGroup = other;
            link.offset = offset;
        }
    }
}

DatagramLinks::Link &DatagramLinks::openLink(const std::string &ip, std::uint16_t port)
{
    auto link = std::make_unique<Link>();
    link->ip = ip;
    link->socket = std::move(
        Wire::DatagramSocket::bind(m_loop, addressOf(ip, port), [this, raw = link.get()](const sockaddr_in &from, const verbena::wire::Envelope &message) {
            receive(*raw, Http::Endpoint{from}.ipAddress(), message);
        }).value());
    return *m_links.emplace(endpointText(ip, port), std::move(link)).first->second;
}

void DatagramLinks::setFault(const std::string &ip, DatagramFault fault)
{
    m_faults[ip] = fault;
}

void DatagramLinks::endFault(const std::string &ip)
{
    m_faults.erase(ip);
}

void DatagramLinks::heal()
{
    m_faults.clear();
    m_later.clear();
}

int DatagramLinks::received() const
{
    return m_received;
}

int DatagramLinks::harmed() const
{
    return m_harmed;
}

std::optional<DatagramFault> DatagramLinks::faultBetween(const std::string &one, const std::string &other) const
{
    for (const std::string &ip : {one, other}) {
        const auto found = m_faults.find(ip);
        if (found != m_faults.end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

void DatagramLinks::receive(const Link &link, const std::string &from, const verbena::wire::Envelope &message)
{
    if (m_old.size() < keptMessages) {
        m_old.push_back(message);
    } else if (m_random.uniform() < keepShare) {
        m_old[m_random.next() % m_old.size()] = message;
    }
    ++m_received;
    const std::optional<DatagramFault> fault = faultBetween(link.ip, from);
    const bool isHit = fault == DatagramFault::Hide || (fault.has_value() && m_random.uniform() < faultShare);
    if (!isHit) {
        passOn(link, from, message);
        return;
    }
    ++m_harmed;
    switch (*fault) {
    case DatagramFault::Lose:
    case DatagramFault::Hide:
        return;
    case DatagramFault::Delay:
        passOnLater(link, from, message);
        return;
    case DatagramFault::Double:
        passOn(link, from, message);
        passOn(link, from, message);
        return;
    case DatagramFault::Odd:
        passOnOdd(link, from, message);
        return;
    }
}

// The process answers to the port that it was sent from, which is a link to the sender.
void DatagramLinks::passOn(const Link &link, const std::string &from, const verbena::wire::Envelope &message)
{
    const auto port = static_cast<std::uint16_t>(firstPort(link.group) + link.offset);
    const auto back = m_links.find(endpointText(from, port));
    if (back != m_links.end()) {
        back->second->socket->send(addressOf(link.ip, port), message);
    }
}

void DatagramLinks::passOnLater(const Link &link, const std::string &from, const verbena::wire::Envelope &message)
{
    const milliseconds delay(static_cast<int>(m_random.uniform() * static_cast<double>(longestDelay.count())));
    m_later.push_back({m_loop.now() + delay, from, &link, message});
    m_timer.startAt(m_loop.now() + tickTime);
}

// The message itself is lost, as if the sender had said the other thing.
void DatagramLinks::passOnOdd(const Link &link, const std::string &from, const verbena::wire::Envelope &message)
{
    const bool isOld = m_random.uniform() < oldShare;
    passOn(link, from, isOld ? m_old[m_random.next() % m_old.size()] : oddMessage(message, m_random));
}

void DatagramLinks::passOnDue()
{
    const Core::TimePoint now = m_loop.now();
    std::erase_if(m_later, [&](const Later &later) {
        if (later.at <= now) {
            passOn(*later.link, later.from, later.message);
        }
        return later.at <= now;
    });
    if (!m_later.empty()) {
        m_timer.startAt(now + tickTime);
    }
}

} // namespace Verbena::Soak
