#include "plainprotocol.h"

#include <platform/workerfake.h>
#include <relay/peerrowsource.h>
#include <relay/relaytask.h>
#include <relay/sharedrowsource.h>
#include <store/tablefollower.h>

#include <gtest/gtest.h>

#include <map>
#include <optional>

#include <unistd.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;

Store::StoreTime storeNow()
{
    return Store::StoreTime(std::chrono::floor<std::chrono::milliseconds>(Core::BootClock::now().time_since_epoch()));
}

// Store that answers pending requests as soon as something changes. Its clock is the host's clock.
class PromptStore : public Store::RowSource
{
public:
    Store::RowPage present{{}, 5, false};
    std::uint64_t requests = 0;

    void readTable(const std::string &, Core::TimePoint, PageCallback done) override
    {
        respond(0, done);
    }

    void awaitChanges(const std::string &, std::uint64_t revision, Core::TimePoint, Core::TimePoint, PageCallback done) override
    {
        ++requests;
        if (revision < present.revision) {
            respond(revision, done);
        } else {
            m_waiting = std::move(done);
        }
    }

    void put(const Store::TableRow &row)
    {
        present.rows = {row};
        present.revision = row.revision;
        if (m_waiting) {
            respond(row.revision - 1, std::exchange(m_waiting, nullptr));
        }
    }

private:
    void respond(std::uint64_t after, const PageCallback &done) const
    {
        Store::RowPage page = present;
        std::erase_if(page.rows, [after](const Store::TableRow &row) { return row.revision <= after; });
        page.answeredAt = storeNow();
        done(std::move(page));
    }

    PageCallback m_waiting;
};

class CommitTimes : public Store::RowConsumer
{
public:
    void replaceRows(const std::string &, const Store::RowPage &) override
    {
        isRead = true;
    }

    void changeRows(const std::string &, const Store::RowPage &page) override
    {
        for (const Store::TableRow &row : page.rows) {
            byKey[row.key] = row.committedAfter;
        }
    }

    void sourceLost(const std::string &, const Core::Error &) override
    {
    }
    void sourceRegained(const std::string &) override
    {
    }
    void tableVerified(const std::string &, Store::StoreTime, std::uint64_t) override
    {
    }
    void staleAnswerReceived(const std::string &, const Store::StaleAnswer &) override
    {
    }

    bool isRead = false;
    std::map<std::string, std::optional<Store::StoreTime>> byKey;
};

// A router that is not elected sends its request to an elected one first, which may be lost. During that time no request is pending at the store.
TEST(SilentPeersTest, doNotShortenTheAgeOfAChangeByTheTimeOfUnansweredRequests)
{
    const auto loop = std::move(EventLoop::Loop::create().value());
    const std::string network = "127.81." + std::to_string(1 + getpid() % 250) + '.';
    constexpr std::uint16_t port = 7340;
    const Verbena::Test::PlainProtocol protocol;
    RelaySettings settings;
    settings.listen = Http::Endpoint::parse("127.0.0.1:0").value();
    settings.address = network + "1";
    const auto relay = std::move(RelayTask::create(*loop, settings, protocol).value());
    ASSERT_TRUE(relay->listen());
    std::vector<std::string> routers;
    for (int number = 10; number < 40; ++number) {
        routers.push_back(network + std::to_string(number));
    }
    relay->recordRouters(routers);
    ASSERT_FALSE(relay->electedRouters().empty());
    std::vector<std::unique_ptr<Verbena::Test::WorkerFake>> silent;
    for (const std::string &elected : relay->electedRouters()) {
        const auto keep = [](const Http::MessageHead &, const std::string &) {
            return Verbena::Test::WorkerScript{};
        };
        silent.push_back(std::make_unique<Verbena::Test::WorkerFake>(*loop, keep, elected + ':' + std::to_string(port)));
    }
    PromptStore store;
    const auto peers = std::move(PeerRowSource::create(*loop, network + "1", port, store, 1).value());
    SharedRowSource rows(*loop, *peers, *relay, 1);
    CommitTimes commitTimes;
    const Store::TableFollower follower(*loop, rows, "op", 0ms, commitTimes);
    ASSERT_TRUE(Verbena::Test::runUntil(*loop, [&] { return commitTimes.isRead; }));
    const Core::TimePoint read = loop->now();
    ASSERT_TRUE(Verbena::Test::runUntil(*loop, [&] { return loop->now() >= read + 200ms; }));
    ASSERT_EQ(store.requests, 0U);
    const Store::StoreTime made = storeNow();
    store.put({"version/m", "2", 6, false});

    ASSERT_TRUE(Verbena::Test::runUntil(*loop, [&] { return commitTimes.byKey.contains("version/m"); }));
    const std::optional<Store::StoreTime> date = commitTimes.byKey.at("version/m");
    ASSERT_TRUE(date.has_value());
    EXPECT_LE(date->time_since_epoch().count(), made.time_since_epoch().count());
}

// Guards against requests to lost routers, each of which took half the time within which a change has to be in force, while other routers were known to be
// alive.
TEST(SharedRowSourceTest, sendsRequestsToAnElectedRouterWithARecentDigest)
{
    const auto loop = std::move(EventLoop::Loop::create().value());
    const std::string network = "127.82." + std::to_string(1 + getpid() % 250) + '.';
    constexpr std::uint16_t port = 7340;
    const Verbena::Test::PlainProtocol protocol;
    RelaySettings settings;
    settings.listen = Http::Endpoint::parse("127.0.0.1:0").value();
    settings.address = network + "1";
    const auto relay = std::move(RelayTask::create(*loop, settings, protocol).value());
    ASSERT_TRUE(relay->listen());
    std::vector<std::string> routers;
    for (int number = 10; number < 40; ++number) {
        routers.push_back(network + std::to_string(number));
    }
    relay->recordRouters(routers);
    const std::vector<std::string> elected = relay->electedRouters();
    ASSERT_GT(elected.size(), 2U);
    std::map<std::string, int> requestsByRouter;
    std::vector<std::unique_ptr<Verbena::Test::WorkerFake>> fakes;
    for (const std::string &address : elected) {
        const auto refuse = [&requestsByRouter, address](const Http::MessageHead &, const std::string &) {
            ++requestsByRouter[address];
            return Verbena::Test::WorkerScript{"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"};
        };
        fakes.push_back(std::make_unique<Verbena::Test::WorkerFake>(*loop, refuse, address + ':' + std::to_string(port)));
    }
    PromptStore store;
    const auto peers = std::move(PeerRowSource::create(*loop, network + "1", port, store, 1).value());
    SharedRowSource rows(*loop, *peers, *relay, 1);
    peers->peerTable().recordDigest(elected[1], Store::StoreTime(std::chrono::seconds(1)), loop->now());
    int answers = 0;
    for (int number = 0; number < 10; ++number) {
        rows.awaitChanges("op", 3, loop->now() + 500ms, loop->now() + 900ms, [&answers](const Core::Result<Store::RowPage> &) { ++answers; });
    }
    ASSERT_TRUE(Verbena::Test::runUntil(*loop, [&answers] { return answers == 10; }));
    EXPECT_EQ(requestsByRouter, (std::map<std::string, int>{{elected[1], 10}}));
}

} // namespace

} // namespace Verbena::Relay
