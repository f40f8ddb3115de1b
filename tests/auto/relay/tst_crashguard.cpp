#include "plainprotocol.h"

#include <platform/workerfake.h>
#include <relay/crashguard.h>

#include <gtest/gtest.h>

#include <unistd.h>

namespace Verbena::Relay {

namespace {

using namespace std::chrono_literals;
using Verbena::Test::PlainProtocol;
using Verbena::Test::runUntil;

// Store that answers no commit; its table of crashes is empty.
class HangingStore : public Store::RowSource, public Store::RowStore
{
public:
    void readTable(const std::string &, Core::TimePoint, PageCallback done) override
    {
        Store::RowPage page;
        page.revision = 1;
        page.answeredAt = Store::StoreTime(1s);
        done(page);
    }

    void awaitChanges(const std::string &, std::uint64_t, Core::TimePoint, Core::TimePoint, PageCallback) override
    {
    }

    void readRow(const std::string &, const std::string &, Core::TimePoint, RowCallback) override
    {
    }

    void commit(const std::string &, const std::vector<Store::RowWrite> &, Core::TimePoint, CommitCallback) override
    {
        ++commits;
    }

    int commits = 0;
};

// A router with a CrashGuard and two backend servers that refuse connections.
class GuardedRouter
{
public:
    GuardedRouter(EventLoop::Loop &loop, const std::string &address)
        : m_loop(loop)
    {
        RelaySettings settings;
        settings.listen = Http::Endpoint::parse("127.0.0.1:0").value();
        settings.address = address;
        m_relay = std::move(RelayTask::create(loop, settings, m_protocol).value());
        EXPECT_TRUE(m_relay->listen());
        for (const char *server : {"s1", "s2"}) {
            m_relay->fleet().servers().set({server, "s", refusedAddress, "hall", 6, false, {}, 1});
        }
        const Http::Endpoint endpoint = Http::Endpoint::parse(address + ":7349").value();
        m_guard = std::move(CrashGuard::create(loop, m_store, m_mirror, m_store, endpoint, *m_relay, Store::FollowTimes::within(2000ms)).value());
    }

    ServerEnd loseCall(const Decisions::CrashSubject &request, const std::string &server, std::uint64_t incarnation = 1)
    {
        std::optional<ServerEnd> found;
        m_guard->handleLostCall({{request}, "a1", "dams", server, incarnation, refusedAddress}, [&found](ServerEnd end) { found = end; });
        EXPECT_TRUE(runUntil(m_loop, [&found] { return found.has_value(); }));
        return found.value_or(ServerEnd::Unknown);
    }

    RelayTask &relay()
    {
        return *m_relay;
    }

    const CrashGuard &guard() const
    {
        return *m_guard;
    }

    int commits() const
    {
        return m_store.commits;
    }

private:
    static constexpr const char *refusedAddress = "127.0.0.1:1";

    EventLoop::Loop &m_loop;
    PlainProtocol m_protocol;
    HangingStore m_store;
    Store::RowMirror m_mirror;
    std::unique_ptr<RelayTask> m_relay;
    std::unique_ptr<CrashGuard> m_guard;
};

std::string addressOf(int router)
{
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + pid / 250 % 250) + '.' + std::to_string(1 + pid % 250) + '.' + std::to_string(router);
}

// A run counted as ended with its server, though the server may only have left the register, or be a later start of it.
TEST(CrashGuardTest, serverThatMayStillRunCountsAsEnded)
{
    const auto loop = std::move(EventLoop::Loop::create().value());
    GuardedRouter router(*loop, addressOf(1));
    const auto request = Decisions::CrashSubject::ofRequest({"dams", "POST", "x", "/safe/", "any"});
    EXPECT_EQ(router.loseCall(request, "s1"), ServerEnd::Proved);
    EXPECT_EQ(router.loseCall(request, "s1"), ServerEnd::Proved);
    EXPECT_EQ(router.loseCall(request, "never registered"), ServerEnd::Unknown);
    EXPECT_EQ(router.loseCall(request, "s2", 0), ServerEnd::Proved);
    EXPECT_EQ(router.loseCall(request, "s2", 0), ServerEnd::Unknown);
}

// A router that was killed before a slow store had answered took what it knew of crashes with it, although it had come to know other routers.
TEST(CrashGuardTest, tellsRoutersThatItComesToKnowWhileTheStoreHasNotAnswered)
{
    const auto loop = std::move(EventLoop::Loop::create().value());
    GuardedRouter witness(*loop, addressOf(1));
    GuardedRouter other(*loop, addressOf(2));
    const auto request = Decisions::CrashSubject::ofRequest({"dams", "POST", "x", "/safe/", "crash"});
    witness.loseCall(request, "s1");
    witness.loseCall(request, "s2");
    ASSERT_TRUE(witness.guard().isSuspected(request));
    ASSERT_TRUE(runUntil(*loop, [&] { return witness.commits() > 0; }));
    witness.relay().recordRouters({addressOf(1), addressOf(2)});
    const Core::TimePoint deadline = loop->now() + 1s;
    runUntil(*loop, [&] { return other.guard().isSuspected(request) || loop->now() >= deadline; });
    EXPECT_TRUE(other.guard().isSuspected(request));
}

} // namespace

} // namespace Verbena::Relay
