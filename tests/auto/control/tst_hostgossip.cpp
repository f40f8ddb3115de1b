#include <decisions/control/hostgossip.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace Verbena::Test {

namespace {

using namespace Decisions;
using namespace std::chrono_literals;
using Store::HostEntry;

constexpr Core::TimePoint start{1h};
constexpr auto latency = 5ms;

std::vector<HostEntry> makeList(std::size_t count)
{
    std::vector<HostEntry> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        hosts.push_back({"host" + std::to_string(1000 + i), "10.0.0.1:7000", "a", 100 + i, false});
    }
    return hosts;
}

/// Processes that exchange changes over links with the same latency; a partition separates the first half from the second.
class GossipNetwork
{
public:
    GossipNetwork(std::size_t count, const std::vector<HostEntry> &list)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_names.push_back(std::to_string(i));
            m_nodes.emplace_back(HostGossipOptions(), i + 1, start);
            m_nodes.back().applyList(list, start, start);
        }
    }

    HostGossip &node(std::size_t index)
    {
        return m_nodes[index];
    }

    void setPartitioned(bool isPartitioned)
    {
        m_isPartitioned = isPartitioned;
    }

    void runUntil(Core::TimePoint end)
    {
        while (now < end) {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                sendFrom(i);
            }
            now += latency;
            std::vector<Message> due;
            due.swap(m_messages);
            for (const Message &message : due) {
                m_nodes[message.to].applyChanges(message.changes, now);
            }
        }
    }

    std::size_t countOf(const std::string &name, bool isListed) const
    {
        return std::count_if(m_nodes.begin(), m_nodes.end(), [&](const HostGossip &node) {
            const auto hosts = node.hosts();
            return std::any_of(hosts.begin(), hosts.end(), [&](const HostEntry &host) { return host.name == name; }) == isListed;
        });
    }

    Core::TimePoint now = start;
    std::size_t messagesSent = 0;
    std::size_t changesSent = 0;

private:
    struct Message
    {
        std::size_t to = 0;
        std::vector<HostChange> changes;
    };

    void sendFrom(std::size_t from)
    {
        for (const SendHostChanges &message : m_nodes[from].advance(m_names, now)) {
            const std::size_t to = std::stoul(message.peer);
            ++messagesSent;
            changesSent += message.changes.size();
            const std::size_t half = m_nodes.size() / 2;
            if (!m_isPartitioned || (from < half) == (to < half)) {
                m_messages.push_back({to, message.changes});
            }
        }
    }

    std::vector<std::string> m_names;
    std::vector<HostGossip> m_nodes;
    std::vector<Message> m_messages;
    bool m_isPartitioned = false;
};

TEST(HostGossip, reachesThreeThousandProcessesWithinASecondByEightMessagesEach)
{
    const std::vector<HostEntry> list = makeList(4);
    GossipNetwork network(3000, list);
    std::vector<HostEntry> shorter = list;
    shorter.pop_back();
    network.runUntil(start + 100ms);
    network.node(0).applyList(shorter, network.now, network.now);
    network.runUntil(network.now + 1s);
    // Each message misses a given process with probability 1 - 1/3000; 24,000 of them all miss it with exp(-8).
    EXPECT_LE(network.countOf("host1003", true), 5U);
    EXPECT_LE(network.messagesSent, 3000U * 8U);
    RecordProperty("missed", static_cast<int>(network.countOf("host1003", true)));
    RecordProperty("messages", static_cast<int>(network.messagesSent));
}

TEST(HostGossip, spreadsTheLossOfAFailureDomainWithinItsBytes)
{
    const std::vector<HostEntry> list = makeList(400);
    GossipNetwork network(60, list);
    network.runUntil(start + 100ms);
    network.node(0).applyList({list.begin(), list.begin() + 270}, network.now, network.now);
    // Limit of the first second: the burst, the bytes of one second and one more round of messages, at about 45 bytes a change.
    network.runUntil(network.now + 1s);
    EXPECT_LT(network.changesSent * 45 / 60, 32'000U + 2'000U + 4U * 32U * 45U);
    network.runUntil(network.now + 60s);
    for (std::size_t i = 270; i < 400; ++i) {
        EXPECT_EQ(network.countOf(list[i].name, true), 0U) << list[i].name;
    }
}

TEST(HostGossip, doesNotSendAFirstListAndIgnoresAnEmptyOne)
{
    HostGossip news({}, 1, start);
    const std::vector<std::string> peers{"a"};
    EXPECT_TRUE(news.applyList(makeList(3), start, start));
    EXPECT_TRUE(news.advance(peers, start).empty());
    EXPECT_FALSE(news.applyList({}, start + 1s, start + 1s));
    EXPECT_EQ(news.hosts().size(), 3U);
}

TEST(HostGossip, keepsAHostThatAPeerReportedAfterTheListWasRequested)
{
    HostGossip news({}, 1, start);
    news.applyList(makeList(3), start, start);
    news.applyChanges({{{"new", "10.0.0.9", "b", 5, false}, false}}, start + 2s);
    news.applyList(makeList(3), start + 1s, start + 3s);
    EXPECT_EQ(news.hosts().size(), 4U);
    news.applyList(makeList(3), start + 4s, start + 5s);
    EXPECT_EQ(news.hosts().size(), 3U);
}

TEST(HostGossipProperty, convergesAfterReplacementsAndAPartition)
{
    EXPECT_TRUE(rc::check("all processes converge to the list of the platform, whichever process polled and whichever links were cut", [] {
        std::vector<HostEntry> list = makeList(5);
        GossipNetwork network(12, list);
        std::uint64_t incarnation = 1000;
        const int steps = *rc::gen::inRange(1, 15);
        for (int i = 0; i < steps; ++i) {
            HostEntry &host = list[*rc::gen::inRange<std::size_t>(0, list.size())];
            if (host.isLeaving || *rc::gen::arbitrary<bool>()) {
                host.incarnation = ++incarnation;
                host.isLeaving = false;
            } else {
                host.isLeaving = true;
            }
            network.setPartitioned(*rc::gen::arbitrary<bool>());
            network.node(*rc::gen::inRange<std::size_t>(0, 12)).applyList(list, network.now, network.now);
            network.runUntil(network.now + std::chrono::milliseconds(*rc::gen::element(0, 10, 1000)));
        }
        // After the partition ends, every process polls once, so that those that no message reached get the list as well.
        network.setPartitioned(false);
        for (std::size_t i = 0; i < 12; ++i) {
            network.node(i).applyList(list, network.now, network.now);
            network.runUntil(network.now + 1s);
        }
        for (std::size_t i = 0; i < 12; ++i) {
            const std::vector<HostEntry> hosts = network.node(i).hosts();
            RC_ASSERT(hosts.size() == list.size());
            for (std::size_t n = 0; n < list.size(); ++n) {
                RC_ASSERT(hosts[n].incarnation == list[n].incarnation);
                RC_ASSERT(hosts[n].isLeaving == list[n].isLeaving);
            }
        }
    }));
}

} // namespace

} // namespace Verbena::Test
