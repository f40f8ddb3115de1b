#include <eventloop/loop.h>
#include <settingstree/settingstask.h>
#include <store/httpplatform.h>
#include <support/childprocess.h>
#include <support/testhttp.h>

#include <gtest/gtest.h>

#include <map>

namespace Verbena::SettingsTree {

namespace {

using namespace std::chrono_literals;

// Carries messages between the tasks of one test, without sockets but as late as those would.
class Switchboard
{
public:
    class Port : public PeerChannel
    {
    public:
        Port(Switchboard &board, std::string name, std::vector<std::string> peers)
            : m_board(board)
            , m_name(std::move(name))
            , m_peers(std::move(peers))
        {
        }

        const std::vector<std::string> &peers() const override
        {
            return m_peers;
        }

        Core::Result<void> sendToPeer(const std::string &peer, const verbena::wire::Envelope &message) override
        {
            m_board.m_messages.emplace_back(m_name, peer, message);
            return Core::success();
        }

    private:
        Switchboard &m_board;
        std::string m_name;
        std::vector<std::string> m_peers;
    };

    void deliver(const std::map<std::string, SettingsTask *> &tasks)
    {
        for (const auto &[from, to, message] : std::exchange(m_messages, {})) {
            if (tasks.contains(to)) {
                tasks.at(to)->receiveFromPeer(from, message);
            }
        }
    }

private:
    std::vector<std::tuple<std::string, std::string, verbena::wire::Envelope>> m_messages;
};

// A table that is out of service.
class Unavailable : public Store::TableService
{
public:
    void get(const std::vector<std::string> &, Core::TimePoint, RowsCallback done) override
    {
        done(Core::Error{Core::ErrorCode::Unavailable, "table.get", "", "The table is out of service."});
    }

    void scan(const std::string &, std::uint64_t, std::size_t, Core::TimePoint, RowsCallback done) override
    {
        done(Core::Error{Core::ErrorCode::Unavailable, "table.scan", "", "The table is out of service."});
    }

    void commit(const std::vector<Store::RowWrite> &, Core::TimePoint, CommitCallback done) override
    {
        done({Store::CommitOutcome::NotSent, 0, {}, "The table is out of service."});
    }
};

class SettingsTaskTest : public testing::Test
{
protected:
    SettingsTaskTest()
        : m_process("verbena-standin", {"platform"})
        , m_url("http://" + m_process.waitForLine("listening http "))
        , m_loop(EventLoop::Loop::create().value())
        , m_platform(Store::HttpPlatform::create(*m_loop, m_url).value())
    {
    }

    void start(const std::string &name, std::vector<std::string> peers, Store::ObjectStore *objects = nullptr, Store::TableService *table = nullptr)
    {
        m_ports[name] = std::make_unique<Switchboard::Port>(m_board, name, std::move(peers));
        SettingsTaskOptions options;
        options.seed = std::hash<std::string>()(name);
        options.replica.recovery.snapshotSpread = 20ms;
        options.replica.recovery.newTableSpread = 20ms;
        options.snapshots.interval = 100ms;
        m_tasks[name] = SettingsTask::create(*m_loop, options, table == nullptr ? *m_platform : *table, objects, *m_ports[name]).value();
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        while (!condition()) {
            m_loop->runOnce();
            std::map<std::string, SettingsTask *> tasks;
            for (const auto &[name, task] : m_tasks) {
                tasks[name] = task.get();
            }
            m_board.deliver(tasks);
        }
    }

    std::uint64_t commit(const std::string &path, std::optional<std::string> content)
    {
        std::optional<Store::CommitAnswer> answer;
        m_platform->commit({{path, std::move(content), std::nullopt}}, m_loop->now() + 20s, [&answer](const Store::CommitAnswer &given) { answer = given; });
        runUntil([&answer] { return answer.has_value(); });
        return answer->revision;
    }

    bool isEverywhere(std::uint64_t revision) const
    {
        return std::ranges::all_of(m_tasks, [revision](const auto &entry) { return entry.second->current()->revision >= revision; });
    }

    void control(const std::string &json) const
    {
        ASSERT_EQ(Verbena::Test::sendHttp("POST", m_url + "/control", {}, json).status, 200);
    }

    Verbena::Test::ChildProcess m_process;
    std::string m_url;
    std::unique_ptr<EventLoop::Loop> m_loop;
    std::unique_ptr<Store::HttpPlatform> m_platform;
    Switchboard m_board;
    std::map<std::string, std::unique_ptr<Switchboard::Port>> m_ports;
    std::map<std::string, std::unique_ptr<SettingsTask>> m_tasks;
};

const std::string team = "settings/organisations/o/teams/t";

TEST_F(SettingsTaskTest, putsAcceptedSettingsInForceEverywhere)
{
    start("a", {"b", "c"});
    start("b", {"a", "c"});
    start("c", {"a", "b"});
    int changes = 0;
    m_tasks["c"]->setChangedCallback([&changes] { ++changes; });
    commit("settings/organisations/o", R"({"share":2})");
    const std::uint64_t revision = commit(team, R"({"share":3})");
    runUntil([&] { return isEverywhere(revision); });
    EXPECT_EQ(m_tasks["c"]->current()->findTeam("o", "t")->share, 3);
    EXPECT_GE(changes, 1);
    const std::uint64_t deletion = commit(team, std::nullopt);
    runUntil([&] { return isEverywhere(deletion); });
    EXPECT_EQ(m_tasks["c"]->current()->findTeam("o", "t"), nullptr);
    EXPECT_TRUE(m_tasks["a"]->isReady());
    EXPECT_NE(m_tasks["a"]->status().toJson().find("\"revision\":" + std::to_string(deletion)), std::string::npos);
}

TEST_F(SettingsTaskTest, restartedProcessServesFromPeersWhileThePlatformIsOut)
{
    start("a", {"b"});
    start("b", {"a"});
    commit("settings/organisations/o", R"({"share":2})");
    const std::uint64_t revision = commit(team, R"({"share":3})");
    runUntil([&] { return isEverywhere(revision); });
    control(R"({"outage":"refusing"})");
    m_tasks.erase("b");
    start("b", {"a"});
    EXPECT_FALSE(m_tasks["b"]->isReady());
    runUntil([&] { return m_tasks["b"]->isReady(); });
    EXPECT_EQ(m_tasks["b"]->current()->revision, revision);
}

TEST_F(SettingsTaskTest, processWithoutPeersAndTableStartsFromTheSnapshotThatAnotherWrote)
{
    start("a", {}, m_platform.get());
    const std::uint64_t revision = commit("settings/organisations/o", R"({"share":2})");
    runUntil([&] { return isEverywhere(revision) && Verbena::Test::sendHttp("GET", m_url + "/objects/settings/snapshot", {}, "").status == 200; });
    m_tasks.clear();
    Unavailable table;
    start("b", {}, m_platform.get(), &table);
    runUntil([&] { return m_tasks["b"]->isReady(); });
    EXPECT_EQ(m_tasks["b"]->current()->organisations.at("o")->share, 2);
    EXPECT_EQ(m_tasks["b"]->current()->revision, revision);
    m_tasks.clear();
}

TEST_F(SettingsTaskTest, malformedRowIsCountedAndChangesNothing)
{
    start("a", {});
    commit("settings/organisations/o", R"({"share":2})");
    const std::uint64_t revision = commit("settings/organisations/o", "oops");
    runUntil([&] { return isEverywhere(revision); });
    EXPECT_EQ(m_tasks["a"]->status().malformedRows, 1U);
    if (m_tasks["a"]->current()->organisations.contains("o")) {
        EXPECT_EQ(m_tasks["a"]->current()->organisations.at("o")->share, 2);
    }
}

} // namespace

} // namespace Verbena::SettingsTree
