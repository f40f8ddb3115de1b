#include <platform/platformdeployment.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t routers = 4;
constexpr int streams = 40;

// Later than the configuration of the deployment.
constexpr std::uint64_t newConfiguration = 100;

// The platform demands that at least this share of the resumed streams goes on.
constexpr double demandedShare = 0.5;

const std::string *attemptOf(const Http::MessageHead &head)
{
    return head.field("Verbenaladder-Attempt-Id");
}

// An engine of one software version. It breaks off each new stream after its first event and completes each resumed one.
class VersionedEngine
{
public:
    VersionedEngine(PlatformDeployment &deployment, const std::string &version, std::size_t host)
        : m_version(version)
        , m_worker(
              deployment.loop(), [](const Http::MessageHead &head, const std::string &) { return answer(head); }, deployment.hostNumber(host) + ":0")
    {
    }

    std::string address() const
    {
        return m_worker.address();
    }

    const std::string &version() const
    {
        return m_version;
    }

    // Returns whether the attempt \a id reached this engine.
    bool hasRun(const std::string &id) const
    {
        const std::vector<Http::MessageHead> &heads = m_worker.heads();
        return std::any_of(heads.begin(), heads.end(), [&id](const Http::MessageHead &head) { return attemptOf(head) != nullptr && *attemptOf(head) == id; });
    }

private:
    static WorkerScript answer(const Http::MessageHead &head)
    {
        const std::string *id = attemptOf(head);
        if (id == nullptr) {
            return {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"};
        }
        const std::string begin
            = "HTTP/1.1 200 OK\r\nVerbenaladder-Attempt-Id: " + *id + "\r\nVerbenaladder-Server-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n";
        const bool isResumed = head.field("Last-Event-Id") != nullptr;
        return isResumed ? WorkerScript{begin + "11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n"}
                         : WorkerScript{begin + "11\r\nid: 1\ndata: one\n\n\r\n", WorkerScript::End::Close};
    }

    std::string m_version;
    WorkerFake m_worker;
};

class ResumedStreamsTest : public testing::Test
{
protected:
    ResumedStreamsTest()
        : m_deployment(routers)
    {
        for (std::size_t router = 0; router < routers; ++router) {
            EXPECT_TRUE(m_deployment.askUntil("200 OK", "secret", "/wall/2f", router));
        }
        nlohmann::json configuration = PlatformDeployment::configuration(newConfiguration);
        configuration["routes"][0]["resumable"] = true;
        m_deployment.store().put("op", "config", configuration);
        for (std::size_t index = 0; index < 4; ++index) {
            const std::string version = index % 2 == 0 ? "v1" : "v1.1";
            m_engines.push_back(std::make_unique<VersionedEngine>(m_deployment, version, 210 + index));
            putServer("e-" + std::to_string(index), m_engines.back()->address(), version, "ready");
        }
        putServer("i-1", m_deployment.engine().address(), "", "draining");
        for (std::size_t router = 0; router < routers; ++router) {
            EXPECT_TRUE(m_deployment.runUntil([this, router] { return isPrepared(router); }));
        }
    }

    void putServer(const std::string &id, const std::string &address, const std::string &version, const std::string &phase)
    {
        m_deployment.store().put("servers",
            id,
            {{"service", "reader"},
                {"address", address},
                {"zone", "hall"},
                {"slots", 96},
                {"phase", phase},
                {"version", version},
                {"models", {{{"name", "m"}, {"version", 1}}}},
                {"sequence", 2}});
    }

    // Returns whether \a router uses the engines of this test instead of that of the deployment, and knows that streams may be resumed.
    bool isPrepared(std::size_t router)
    {
        const std::size_t before = m_deployment.engine().runs().size();
        const std::string answer = send(router, "probe-" + std::to_string(m_probes++));
        return m_deployment.engine().runs().size() == before && answer.find("id: 1") != std::string::npos
            && hasLogged(router, "\"configuration\":\"" + std::to_string(newConfiguration) + '"');
    }

    bool hasLogged(std::size_t router, const std::string &text)
    {
        std::string &output = m_outputs[router];
        output += m_deployment.router(router).takeOutput();
        return output.find(text) != std::string::npos;
    }

    void stopAllRouters()
    {
        for (std::size_t router = 0; router < routers; ++router) {
            m_deployment.stopRouter(router);
        }
    }

    void restartAllRouters()
    {
        stopAllRouters();
        for (std::size_t router = 0; router < routers; ++router) {
            m_outputs[router].clear();
            m_deployment.restartRouter(router);
            EXPECT_TRUE(m_deployment.runUntil([this, router] { return isPrepared(router); }));
        }
    }

    void waitUntilRoutersKnowEachOther()
    {
        for (std::size_t router = 0; router < routers; ++router) {
            EXPECT_TRUE(m_deployment.runUntil([this, router] { return hasLogged(router, "\"routers\":\"" + std::to_string(routers) + '"'); }));
        }
        m_deployment.runFor(1s);
    }

    // Leaves the first version alone in the register and in the record of versions, and restarts all routers.
    void leaveOneVersion()
    {
        for (std::size_t index = 0; index < m_engines.size(); ++index) {
            putServer("e-" + std::to_string(index), m_engines[index]->address(), "v1", "ready");
        }
        putServer("i-1", m_deployment.engine().address(), "v1", "draining");
        const std::string onlyRow = "6.reader.v1";
        const auto keys = [this] {
            return m_deployment.store().keys("verbena_software");
        };
        EXPECT_TRUE(m_deployment.runUntil([&] { return keys().size() == 3; }));
        // What the routers have sent reaches the store before rows are removed as if their time had passed.
        stopAllRouters();
        m_deployment.runFor(500ms);
        for (const std::string &key : keys()) {
            if (key != onlyRow) {
                m_deployment.store().remove("verbena_software", key);
            }
        }
        ASSERT_EQ(keys(), std::vector<std::string>{onlyRow});
        restartAllRouters();
        for (std::size_t router = 0; router < routers; ++router) {
            EXPECT_TRUE(m_deployment.runUntil([this, router] { return hasLogged(router, "\"software_read\""); }));
        }
    }

    // Begins a stream at \a router, calls \a disturb, and resumes the stream at the next router. Returns whether it went on.
    bool beginAndResume(std::size_t router, const std::function<void()> &disturb)
    {
        const std::string number = std::to_string(m_streams++);
        const std::string begun = "a-" + number;
        const std::string next = "b-" + number;
        EXPECT_NE(send(router, begun).find("id: 1"), std::string::npos);
        disturb();
        const std::string answer = resume((router + 1) % routers, next, begun);
        EXPECT_TRUE(versionOf(next).empty() || versionOf(next) == versionOf(begun)) << begun;
        const bool isRefused = answer.find("HTTP/1.1 503") != std::string::npos && answer.find("Retry-After: ") != std::string::npos;
        const bool isContinued = answer.find("id: 2") != std::string::npos;
        EXPECT_TRUE(isContinued || isRefused) << answer;
        return isContinued;
    }

    // Sends the attempt \a id to \a router and returns the whole answer. No two requests are alike, so that none is suspected of crashes where servers leave.
    std::string send(std::size_t router, const std::string &id, const std::string &fields = "")
    {
        CallerFake caller(m_deployment.loop(), m_deployment.callersEndpoint(router));
        caller.send("POST /wall/2f HTTP/1.1\r\nHost: x.example\r\nVerbenaladder-Attempt-Id: " + id
            + "\r\nVerbenaladder-Model: m\r\nVerbenaladder-Token-Count: 100,10\r\nVerbenaladder-Prompt-Prefix: a:60,b:40\r\n"
            + "Verbenaladder-Deadline-Ms: 15000\r\nAuthorization: Token secret\r\nContent-Length: " + std::to_string(id.size()) + "\r\nConnection: close\r\n"
            + fields + "\r\n" + id);
        EXPECT_TRUE(m_deployment.runUntil([&] { return caller.isClosed(); })) << caller.received();
        return caller.received();
    }

    std::string resume(std::size_t router, const std::string &id, const std::string &begun)
    {
        return send(router, id, "Last-Event-Id: 1\r\nResumes: " + begun + "\r\n");
    }

    // Returns the software version of the engine that ran the attempt \a id; empty if none did.
    std::string versionOf(const std::string &id) const
    {
        const auto engine = std::find_if(m_engines.begin(), m_engines.end(), [&id](const auto &one) { return one->hasRun(id); });
        return engine == m_engines.end() ? "" : (*engine)->version();
    }

    PlatformDeployment m_deployment;
    std::map<std::size_t, std::string> m_outputs; ///< What each router has logged.
    int m_probes = 0;
    int m_streams = 0;
    std::vector<std::unique_ptr<VersionedEngine>> m_engines;
};

// Callers whose streams had been broken off took them up at another router, which let them go on at any software version.
TEST_F(ResumedStreamsTest, goOnOnlyAtTheSoftwareVersionThatBeganThem)
{
    int resumed = 0;
    for (int stream = 0; stream < streams; ++stream) {
        resumed += beginAndResume(static_cast<std::size_t>(stream) % routers, [] {}) ? 1 : 0;
    }
    EXPECT_GE(resumed, demandedShare * streams);
}

TEST_F(ResumedStreamsTest, goOnAfterTheirRouterWasKilled)
{
    waitUntilRoutersKnowEachOther();
    constexpr int kills = 8;
    int resumed = 0;
    for (int kill = 0; kill < kills; ++kill) {
        const std::size_t router = static_cast<std::size_t>(kill) % routers;
        resumed += beginAndResume(router, [this, router] { m_deployment.stopRouter(router); }) ? 1 : 0;
        m_deployment.restartRouter(router);
        EXPECT_TRUE(m_deployment.runUntil([this, router] { return isPrepared(router); }));
    }
    EXPECT_GE(resumed, demandedShare * kills);
}

TEST_F(ResumedStreamsTest, goOnWhileOtherRoutersStandStill)
{
    waitUntilRoutersKnowEachOther();
    int resumed = 0;
    for (int stream = 0; stream < streams; ++stream) {
        const std::size_t router = static_cast<std::size_t>(stream) % routers;
        ChildProcess &frozen = m_deployment.router((router + 2) % routers);
        resumed += beginAndResume(router, [&frozen] { frozen.sendSignal(SIGSTOP); }) ? 1 : 0;
        frozen.sendSignal(SIGCONT);
    }
    EXPECT_GE(resumed, demandedShare * streams);
}

TEST_F(ResumedStreamsTest, goOnWhileTheStoreIsAway)
{
    waitUntilRoutersKnowEachOther();
    m_deployment.store().setMode(StoreStandin::Mode::Silent);
    int resumed = 0;
    for (int stream = 0; stream < streams; ++stream) {
        resumed += beginAndResume(static_cast<std::size_t>(stream) % routers, [] {}) ? 1 : 0;
    }
    EXPECT_GE(resumed, demandedShare * streams);
}

// The origin has to outlive all routers: the agent keeps it as well.
TEST_F(ResumedStreamsTest, goOnAfterAllRoutersWereKilled)
{
    waitUntilRoutersKnowEachOther();
    EXPECT_NE(send(0, "a").find("id: 1"), std::string::npos);
    restartAllRouters();
    EXPECT_NE(resume(1, "b", "a").find("id: 2"), std::string::npos);
    EXPECT_EQ(versionOf("b"), versionOf("a"));
}

TEST_F(ResumedStreamsTest, areRefusedWithoutAnEngineOfTheirVersion)
{
    waitUntilRoutersKnowEachOther();
    EXPECT_NE(send(0, "a").find("id: 1"), std::string::npos);
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        const std::string &version = m_engines[index]->version();
        putServer("e-" + std::to_string(index), m_engines[index]->address(), version, version == versionOf("a") ? "draining" : "ready");
    }
    m_deployment.runFor(2s);
    const std::string answer = resume(1, "b", "a");
    EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
    EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
}

TEST_F(ResumedStreamsTest, areRefusedIfNoAttemptOrAnUnknownOneIsNamed)
{
    waitUntilRoutersKnowEachOther();
    EXPECT_NE(resume(1, "b", "never").find("HTTP/1.1 503"), std::string::npos);
    EXPECT_NE(send(1, "c", "Last-Event-Id: 1\r\n").find("HTTP/1.1 503"), std::string::npos);
    EXPECT_TRUE(versionOf("b").empty());
    EXPECT_TRUE(versionOf("c").empty());
}

// All routers were killed after the servers of an old version had left; the new ones had seen one version only, and let its streams go on there.
TEST_F(ResumedStreamsTest, areNotGuessedByRoutersThatHaveNotSeenTheVersionsBefore)
{
    waitUntilRoutersKnowEachOther();
    EXPECT_NE(send(0, "a").find("id: 1"), std::string::npos);
    const std::string left = versionOf("a");
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        if (m_engines[index]->version() == left) {
            m_deployment.store().remove("servers", "e-" + std::to_string(index));
        }
    }
    m_deployment.store().remove("servers", "i-1");
    m_deployment.runFor(1s);
    restartAllRouters();
    for (std::size_t router = 0; router < routers; ++router) {
        const std::string id = "b-" + std::to_string(router);
        const std::string answer = send(router, id, "Last-Event-Id: 1\r\n");
        EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
        EXPECT_TRUE(versionOf(id).empty());
    }
}

// Nobody is left who could say which versions there were, but the store has a record of it.
TEST_F(ResumedStreamsTest, goOnWithoutANameWhereThereWasOneVersionOnly)
{
    leaveOneVersion();
    const std::string answer = send(1, "b", "Last-Event-Id: 1\r\n");
    EXPECT_NE(answer.find("id: 2"), std::string::npos) << answer;
}

// A router that did not hear of the register for a second took the version that it had seen for the only one, after streams had begun on a new one elsewhere.
TEST_F(ResumedStreamsTest, areNotGuessedByARouterThatHasNotSeenANewVersion)
{
    leaveOneVersion();
    waitUntilRoutersKnowEachOther();
    EXPECT_NE(resume(1, "known", "never").find("id: 2"), std::string::npos);
    m_deployment.door(1).close();
    // The requests that the store has received already are answered by this change, and the next ones not at all.
    putServer("e-0", m_engines[0]->address(), "v1", "draining");
    m_deployment.runFor(200ms);
    VersionedEngine newer(m_deployment, "v2", 220);
    putServer("e-new", newer.address(), "v2", "ready");
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        putServer("e-" + std::to_string(index), m_engines[index]->address(), "v1", "draining");
    }
    int begun = 0;
    EXPECT_TRUE(m_deployment.runUntil(
        [&] { return send(0, "a-" + std::to_string(++begun)).find("id: 1") != std::string::npos && newer.hasRun("a-" + std::to_string(begun)); }));
    const std::string named = resume(1, "named", "a-" + std::to_string(begun));
    const std::string unnamed = send(1, "unnamed", "Last-Event-Id: 1\r\n");
    EXPECT_EQ(versionOf("named"), "") << named;
    EXPECT_EQ(versionOf("unnamed"), "") << unnamed;
    for (const std::string &answer : {named, unnamed}) {
        EXPECT_NE(answer.find("HTTP/1.1 503"), std::string::npos) << answer;
        EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
    }
}

} // namespace

} // namespace Verbena::Test
