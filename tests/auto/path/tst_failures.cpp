#include <standin/answertext.h>
#include <standin/runlist.h>
#include <support/smallsocket.h>
#include <support/testdeployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <future>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Verbena::Test {

namespace {

using nlohmann::json;

constexpr std::uint32_t answerTokens = 60;

// A stand-in that refuses connections accepts new faults only after that time, so this retries.
void setFaults(const TestDeployment::Backend &backend, const json &faults)
{
    while (sendHttp("POST", "http://" + backend.address + "/control", {}, faults.dump()).status != 200) {
        std::this_thread::yield();
    }
}

json runsOf(const TestDeployment::Backend &backend)
{
    for (;;) {
        const TestAnswer answer = sendHttp("GET", "http://" + backend.address + "/runs", {}, "");
        if (answer.status == 200) {
            return json::parse(answer.body)["runs"];
        }
    }
}

std::vector<std::string> statesOf(const TestDeployment::Backend &backend, const std::string &request)
{
    std::vector<std::string> states;
    for (const json &run : runsOf(backend)) {
        if (run["request"] == request) {
            states.push_back(run["state"]);
        }
    }
    return states;
}

json completion(const std::string &prompt, bool isStream = true)
{
    return {{"model", "analyst"}, {"prompt", prompt}, {"max_tokens", answerTokens}, {"stream", isStream}};
}

/// The content of a streamed answer.
struct StreamContent
{
    std::string text;
    std::string run; ///< Run state from an error event; empty if there was none.
    bool isDone = false;
};

StreamContent readStream(const std::string &body)
{
    StreamContent content;
    std::size_t begin = 0;
    while ((begin = body.find("data: ", begin)) != std::string::npos) {
        begin += std::string_view("data: ").size();
        const std::string data = body.substr(begin, body.find("\n\n", begin) - begin);
        const json event = json::parse(data, nullptr, false);
        if (data == "[DONE]") {
            content.isDone = true;
        } else if (event.contains("error")) {
            content.run = event["error"]["verbena_run"];
        } else if (!event["choices"].empty()) {
            content.text += event["choices"][0]["text"].get<std::string>();
        }
    }
    return content;
}

json statusOf(const TestDeployment &deployment)
{
    return json::parse(sendHttp("GET", deployment.routerUrl() + "/status", {}, "").body);
}

std::string tokenIntervalCountOf(const TestDeployment &deployment)
{
    const std::string text = sendHttp("GET", deployment.routerUrl() + "/metrics", {}, "").body;
    const std::size_t begin = text.find("verbena_time_between_tokens_seconds_count");
    return begin == std::string::npos ? std::string() : text.substr(begin, text.find('\n', begin) - begin);
}

std::size_t bufferedBytesOf(const TestDeployment::Backend &backend)
{
    return json::parse(sendHttp("GET", "http://" + backend.statusAddress + "/status", {}, "").body)["buffered_bytes"];
}

/// A caller that sends a completion, reads the answer only on request and disconnects on destruction.
class RawCaller
{
public:
    RawCaller(const std::string &url, const json &completion)
        : m_socket(connectSmall(addressOf(url)))
    {
        const std::string body = completion.dump();
        const std::string request = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer secret\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        sendBytes(request);
    }

    /// Sends \a bytes, which need not be a whole request.
    RawCaller(const std::string &url, const std::string &bytes)
        : m_socket(connectSmall(addressOf(url)))
    {
        sendBytes(bytes);
    }

    ~RawCaller()
    {
        close(m_socket);
    }

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void sendBytes(const std::string &bytes) const
    {
        EXPECT_EQ(send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }

    /// Reads the answer to its end and returns it as it came.
    std::string readBytes() const
    {
        widen(m_socket);
        std::string answer;
        std::array<char, 65536> part{};
        ssize_t count = 0;
        while ((count = recv(m_socket, part.data(), part.size(), 0)) > 0) {
            answer.append(part.data(), static_cast<std::size_t>(count));
        }
        return answer;
    }

    /// Reads the answer to its end and returns its body without the chunked encoding.
    std::string readAll() const
    {
        const std::string answer = readBytes();
        std::string body;
        std::size_t begin = answer.find("\r\n\r\n") + 4;
        while (begin < answer.size()) {
            const std::size_t lineEnd = answer.find("\r\n", begin);
            const std::size_t size = std::stoul(answer.substr(begin, lineEnd - begin), nullptr, 16);
            body.append(answer, lineEnd + 2, size);
            begin = lineEnd + 2 + size + 2;
        }
        return body;
    }

private:
    static sockaddr_in addressOf(const std::string &url)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1))));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int m_socket;
};

/// Runs two engines and two services behind one router.
class FailureTest : public testing::Test
{
protected:
    static DeploymentOptions options()
    {
        DeploymentOptions options;
        options.engines = 2;
        options.services = 2;
        options.engineArguments = {"--decode-interval-us", "2000", "--prefill-rate", "1000000"};
        options.routerSettings = "shutdown: {notice: 300ms}\nlinks: {heartbeat_interval: 100ms, heartbeat_timeout: 1s}\n";
        return options;
    }

    explicit FailureTest(const DeploymentOptions &chosen = options())
        : m_deployment(chosen)
    {
        // After one completed request the router can determine where a prompt is sent.
        EXPECT_EQ(m_deployment.post("/v1/completions", completion("first", false).dump()).status, 200);
    }

    TestDeployment::Backend &homeOf(const std::string &prompt)
    {
        const json explanation = json::parse(m_deployment.post("/explain", completion(prompt).dump()).body);
        return explanation["candidates"][0]["backend_server"] == "engine1" ? m_deployment.engine(0) : m_deployment.engine(1);
    }

    void expectWhole(const std::string &prompt, const TestAnswer &answer)
    {
        EXPECT_EQ(answer.status, 200);
        const StreamContent content = readStream(answer.body);
        EXPECT_EQ(content.text, Standin::AnswerText(prompt).firstTokens(answerTokens));
        EXPECT_TRUE(content.isDone);
        EXPECT_EQ(content.run, "");
    }

    TestDeployment m_deployment;
};

struct EngineFault
{
    const char *name;
    json faults;
};

class EngineFailureTest : public FailureTest, public testing::WithParamInterface<EngineFault>
{
};

TEST_P(EngineFailureTest, idempotentRequestGetsOneWholeStream)
{
    const std::string prompt = "piezometer 12";
    setFaults(homeOf(prompt), GetParam().faults);
    expectWhole(prompt, m_deployment.post("/v1/completions", completion(prompt).dump()));
}

INSTANTIATE_TEST_SUITE_P(Faults,
    EngineFailureTest,
    testing::Values(EngineFault{"diesBeforeAdmission", {{"crash", "before_admission"}}},
        EngineFault{"diesMidStream", {{"crash", "at_token"}, {"crash_token", 20}}},
        EngineFault{"diesAfterTheLastToken", {{"crash", "after_last_token"}}},
        EngineFault{"cutsTheStream", {{"cut_after_tokens", 20}, {"times", 1}}},
        EngineFault{"losesTheEnd", {{"lose_answer", true}, {"times", 1}}}),
    [](const auto &instance) { return std::string(instance.param.name); });

TEST_F(FailureTest, interruptedNonIdempotentStreamFailsAndIsNotRetried)
{
    const std::string prompt = "seepage 3";
    setFaults(homeOf(prompt), {{"cut_after_tokens", 20}, {"times", 1}});
    const TestAnswer answer = m_deployment.post("/v1/completions", completion(prompt).dump(), {"Verbena-Idempotent: false"});
    const StreamContent content = readStream(answer.body);
    EXPECT_FALSE(content.isDone);
    EXPECT_EQ(content.run, "run");
    EXPECT_TRUE(Standin::AnswerText(prompt).firstTokens(answerTokens).starts_with(content.text));
    std::size_t runs = 0;
    for (std::size_t i = 0; i < 2; ++i) {
        for (const json &run : runsOf(m_deployment.engine(i))) {
            runs += run["request"] == answer.fields.at("verbena-request") ? 1 : 0;
        }
    }
    EXPECT_EQ(runs, 1U);
}

TEST_F(FailureTest, streamResumesElsewhereIfItsAgentIsKilled)
{
    const std::string prompt = "settlement 9";
    TestDeployment::Backend &home = homeOf(prompt);
    setFaults(home, {{"slow_factor", 20}});
    std::future<TestAnswer> answer = std::async(std::launch::async, [&] { return m_deployment.post("/v1/completions", completion(prompt).dump()); });
    while (runsOf(home).empty() || runsOf(home).back()["state"] != "started") {
        std::this_thread::yield();
    }
    home.agent->sendSignal(SIGKILL);
    expectWhole(prompt, answer.get());
    m_deployment.restartAgent(home);
    setFaults(home, {{"slow_factor", 1}});
    expectWhole("after", m_deployment.post("/v1/completions", completion("after").dump()));
}

TEST_F(FailureTest, callWithALostAnswerIsUnknownOrRetriedIfIdempotent)
{
    for (std::size_t i = 0; i < 2; ++i) {
        setFaults(m_deployment.service(i), {{"lose_answer", true}, {"times", 1}});
    }
    const TestAnswer once = m_deployment.post("/v1/services/register/append", R"({"entry": 1})");
    EXPECT_EQ(once.status, 502);
    EXPECT_EQ(once.fields.at("verbena-run"), "unknown");
    const TestAnswer repeated = m_deployment.post("/v1/services/register/look", R"({"entry": 2})");
    EXPECT_EQ(repeated.status, 200);
    EXPECT_EQ(repeated.fields.at("verbena-run"), "run");
}

TEST_F(FailureTest, nonIdempotentCallsRunAtMostOnceAndNotRunIsAccurate)
{
    struct CallOutcome
    {
        std::string hash;
        std::string run;
    };
    std::vector<std::future<CallOutcome>> calls;
    const auto call = [this](const std::string &body) {
        const TestAnswer answer = m_deployment.post("/v1/services/register/append", body, {"Verbena-Deadline-Ms: 10000"});
        const auto run = answer.fields.find("verbena-run");
        return CallOutcome{Standin::RunList::bodyHash(body), run == answer.fields.end() ? "none" : run->second};
    };
    constexpr int rounds = 6;
    constexpr int callsPerRound = 10;
    calls.reserve(static_cast<std::size_t>(rounds) * callsPerRound);
    for (int round = 0; round < rounds; ++round) {
        TestDeployment::Backend &backend = m_deployment.service(static_cast<std::size_t>(round) % 2);
        for (int i = 0; i < callsPerRound; ++i) {
            calls.push_back(std::async(std::launch::async, call, json{{"round", round}, {"entry", i}}.dump()));
        }
        if (round % 3 == 0) {
            setFaults(backend, {{"lose_answer", true}, {"times", 3}});
        } else if (round % 3 == 1) {
            setFaults(backend, {{"refuse_connections_ms", 50}});
        } else {
            m_deployment.restartAgent(backend);
        }
    }
    std::map<std::string, int> runs;
    std::vector<CallOutcome> outcomes;
    outcomes.reserve(calls.size());
    for (std::future<CallOutcome> &future : calls) {
        outcomes.push_back(future.get());
    }
    for (std::size_t i = 0; i < 2; ++i) {
        for (const json &run : runsOf(m_deployment.service(i))) {
            ++runs[run["body_hash"]];
        }
    }
    for (const CallOutcome &outcome : outcomes) {
        EXPECT_LE(runs[outcome.hash], 1);
        EXPECT_TRUE(outcome.run != "not-run" || runs[outcome.hash] == 0);
        EXPECT_TRUE(outcome.run != "run" || runs[outcome.hash] == 1);
        EXPECT_NE(outcome.run, "none");
    }
}

TEST_F(FailureTest, disconnectedCallerFreesTheEngine)
{
    const std::string prompt = "leaving early";
    TestDeployment::Backend &home = homeOf(prompt);
    setFaults(home, {{"slow_factor", 1000}});
    {
        const RawCaller caller(m_deployment.routerUrl(), completion(prompt));
        while (runsOf(home).empty() || runsOf(home).back()["state"] != "started") {
            std::this_thread::yield();
        }
    }
    while (runsOf(home).back()["state"] != "cancelled") {
        std::this_thread::yield();
    }
    EXPECT_EQ(statusOf(m_deployment)["in_flight"], 0);
}

TEST_F(FailureTest, expiredDeadlineFreesTheEngine)
{
    const std::string prompt = "too late";
    TestDeployment::Backend &home = homeOf(prompt);
    setFaults(home, {{"slow_factor", 1000}});
    // On a busy machine the deadline can pass before the engine has the request; that run tests nothing, so the next one gets twice the time.
    std::vector<std::string> states;
    for (std::chrono::milliseconds deadline(200); states.empty() && deadline < std::chrono::minutes(1); deadline *= 2) {
        const TestAnswer answer = m_deployment.post("/v1/completions", completion(prompt).dump(), {"Verbena-Deadline-Ms: " + std::to_string(deadline.count())});
        EXPECT_TRUE(answer.status == 504 || readStream(answer.body).run == "run") << answer.status << ' ' << answer.body;
        const std::string request = answer.fields.at("verbena-request");
        states = statesOf(home, request);
        while (std::any_of(states.begin(), states.end(), [](const std::string &state) { return state != "cancelled"; })) {
            std::this_thread::yield();
            states = statesOf(home, request);
        }
    }
    EXPECT_FALSE(states.empty());
}

/// Runs two routers and two instances of a service, with claims in the platform's table.
class ClaimTest : public testing::Test
{
protected:
    static DeploymentOptions options()
    {
        DeploymentOptions options;
        options.routers = 2;
        options.services = 2;
        options.hasPlatform = true;
        options.routerSettings = "links: {heartbeat_interval: 100ms, heartbeat_timeout: 1s}\n";
        return options;
    }

    TestAnswer append(const std::string &entry, std::size_t router) const
    {
        return m_deployment.post("/v1/services/register/append", json{{"entry", entry}}.dump(), {"Idempotency-Key: key-" + entry}, router);
    }

    std::size_t runCount()
    {
        return runsOf(m_deployment.service(0)).size() + runsOf(m_deployment.service(1)).size();
    }

    TestDeployment m_deployment{options()};
};

TEST_F(ClaimTest, repeatedKeyAtAnotherRouterDoesNotRunAgain)
{
    EXPECT_EQ(append("a", 0).status, 200);
    const TestAnswer repeated = append("a", 1);
    EXPECT_EQ(repeated.status, 409);
    EXPECT_NE(repeated.fields.at("verbena-run"), "not-run");
    EXPECT_EQ(runCount(), 1U);
}

TEST_F(ClaimTest, keyOfAKilledRouterDoesNotRunAgain)
{
    for (std::size_t i = 0; i < 2; ++i) {
        setFaults(m_deployment.service(i), {{"slow_factor", 500}});
    }
    std::future<TestAnswer> lost = std::async(std::launch::async, [this] { return append("b", 0); });
    while (runCount() == 0) {
        std::this_thread::yield();
    }
    m_deployment.router(0).sendSignal(SIGKILL);
    EXPECT_EQ(lost.get().status, 0);
    const TestAnswer repeated = append("b", 1);
    EXPECT_EQ(repeated.status, 409);
    EXPECT_EQ(repeated.fields.at("verbena-run"), "unknown");
    EXPECT_EQ(runCount(), 1U);
    m_deployment.restartRouter(0);
    EXPECT_EQ(append("c", 0).status, 200);
}

TEST_F(ClaimTest, withoutTheTableNonIdempotentCallsAreNotRunAndOthersAreServed)
{
    EXPECT_EQ(append("d", 0).status, 200);
    m_deployment.platform().sendSignal(SIGKILL);
    const TestAnswer refused = append("e", 0);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.fields.at("verbena-run"), "not-run");
    EXPECT_TRUE(refused.fields.contains("retry-after"));
    EXPECT_EQ(runCount(), 1U);
    EXPECT_EQ(m_deployment.post("/v1/services/register/look", "{}").status, 200);
}

TEST_F(ClaimTest, routerRestartedWithoutThePlatformServesRequests)
{
    EXPECT_EQ(append("f", 0).status, 200);
    m_deployment.platform().sendSignal(SIGKILL);
    // Returns when the router is ready, which shows that it got its settings from the agents.
    m_deployment.restartRouter(0);
    EXPECT_EQ(m_deployment.post("/v1/services/register/look", "{}").status, 200);
}

TEST_F(ClaimTest, leavingBackendServerGetsNoNewRequests)
{
    const json leaving{{"hosts", json::array({{{"name", "engine1"}, {"address", ""}, {"failure_domain", "a"}, {"incarnation", 1}, {"leaving", true}}})}};
    ASSERT_EQ(sendHttp("POST", m_deployment.platformUrl() + "/control", {}, leaving.dump()).status, 200);
    // The only engine is leaving, so once the router has the list, no engine can answer.
    TestAnswer answer;
    do {
        answer = m_deployment.post("/v1/completions", completion("anything", false).dump());
    } while (answer.status == 200);
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(answer.fields.at("verbena-run"), "not-run");
}

/// Waits until the agent buffers at least \a minimumBytes bytes and the router receives no more frames, or the request is finished.
/// Returns the number of bytes that the agent buffers then.
std::size_t waitForStall(TestDeployment &deployment, std::size_t minimumBytes)
{
    constexpr int requiredSamples = 5;
    std::string previousCount;
    std::size_t buffered = 0;
    for (int unchangedSamples = 0; unchangedSamples < requiredSamples;) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        const std::string count = tokenIntervalCountOf(deployment);
        if (!count.empty() && statusOf(deployment)["in_flight"] != 1) {
            break;
        }
        buffered = bufferedBytesOf(deployment.engine());
        unchangedSamples = count == previousCount && buffered >= minimumBytes ? unchangedSamples + 1 : 0;
        previousCount = count;
    }
    return buffered;
}

TEST(SlowReaderTest, throttlesTheEngineAndGetsTheWholeAnswer)
{
    // Each token has nine bytes. However many tokens the agent joins into a frame, the text alone exceeds what the sockets (150 KB), the
    // router (16 KiB), the frames in flight (4 of 32 KiB) and the agent (32 KiB) buffer together.
    constexpr std::uint32_t tokens = 60000;
    constexpr std::size_t throttleThreshold = 16 * 1024; // From here on the agent stops reading from the engine; one more read of 16 KiB can be added.
    DeploymentOptions options;
    options.engineArguments = {"--decode-interval-us", "5"};
    options.routerSettings = "streams: {maximum_buffered_bytes: 16384, frame_credit: 4}\n";
    TestDeployment deployment(options);
    json body = completion("slow");
    body["max_tokens"] = tokens;
    RawCaller caller(deployment.routerUrl(), body);
    const std::size_t buffered = waitForStall(deployment, throttleThreshold);
    // The answer is not complete, so the request must still be running.
    EXPECT_EQ(statusOf(deployment)["in_flight"], 1);
    EXPECT_GE(buffered, throttleThreshold);
    EXPECT_LE(buffered, 2 * throttleThreshold);
    const StreamContent content = readStream(caller.readAll());
    EXPECT_EQ(content.text, Standin::AnswerText("slow").firstTokens(tokens));
    EXPECT_TRUE(content.isDone);
}

/// Runs engines that are slow until the test speeds them up, with a shutdown notice that is long enough for a busy machine.
class TerminationTest : public FailureTest
{
protected:
    explicit TerminationTest(const DeploymentOptions &chosen = optionsWithLongNotice())
        : FailureTest(chosen)
    {
        setSlowFactor(100);
    }

    static DeploymentOptions optionsWithLongNotice()
    {
        DeploymentOptions patient = options();
        // The late request must arrive within the notice, however slow the test is; 5 s is the default of the routers.
        patient.routerSettings = "shutdown: {notice: 5s}\nlinks: {heartbeat_interval: 100ms, heartbeat_timeout: 1s}\n";
        return patient;
    }

    void setSlowFactor(int factor)
    {
        for (std::size_t i = 0; i < 2; ++i) {
            setFaults(m_deployment.engine(i), {{"slow_factor", factor}});
        }
    }

    std::future<TestAnswer> begin(const std::string &prompt)
    {
        return std::async(std::launch::async, [this, prompt] { return m_deployment.post("/v1/completions", completion(prompt).dump()); });
    }

    std::size_t startedRequests()
    {
        std::set<std::string> requests;
        for (std::size_t i = 0; i < 2; ++i) {
            for (const json &run : runsOf(m_deployment.engine(i))) {
                if (run["state"] == "started") {
                    requests.insert(run["request"]);
                }
            }
        }
        return requests.size();
    }
};

TEST_F(TerminationTest, terminationUnderLoadInterruptsNoRequest)
{
    std::vector<std::future<TestAnswer>> answers;
    constexpr std::size_t callers = 20;
    answers.reserve(callers);
    for (std::size_t i = 0; i < callers; ++i) {
        answers.push_back(begin("wall " + std::to_string(i)));
    }
    while (startedRequests() < callers) {
        std::this_thread::yield();
    }
    m_deployment.router().sendSignal(SIGTERM);
    while (sendHttp("GET", m_deployment.routerUrl() + "/readyz", {}, "").status == 200) {
        std::this_thread::yield();
    }
    // A load balancer that has not noticed the shutdown yet still sends new requests.
    std::future<TestAnswer> late = begin("late");
    while (startedRequests() < callers + 1 && late.wait_for(std::chrono::seconds(0)) != std::future_status::ready) {
        std::this_thread::yield();
    }
    // All requests were running when the router received SIGTERM, and still are.
    EXPECT_EQ(startedRequests(), callers + 1);
    setSlowFactor(1);
    expectWhole("late", late.get());
    for (std::size_t i = 0; i < callers; ++i) {
        expectWhole("wall " + std::to_string(i), answers[i].get());
    }
    EXPECT_EQ(m_deployment.router().waitForExit(), 0);
}

/// The same with a router that has a short grace period.
class ShortGraceTest : public TerminationTest
{
protected:
    ShortGraceTest()
        : TerminationTest(optionsWithShortGrace())
    {
    }

    static DeploymentOptions optionsWithShortGrace()
    {
        DeploymentOptions hasty = options();
        hasty.routerSettings = "shutdown: {notice: 300ms, grace: 1500ms}\n";
        return hasty;
    }
};

// A router that was asked to end went on as long as its longest request, whatever its starter allowed, which cut it without an answer.
TEST_F(ShortGraceTest, answersWhatIsLeftWhenTheGracePeriodIsOver)
{
    std::future<TestAnswer> streamed = begin("streamed");
    std::future<TestAnswer> buffered = std::async(std::launch::async, [this] { return m_deployment.post("/v1/completions", completion("b", false).dump()); });
    while (startedRequests() < 2) {
        std::this_thread::yield();
    }
    m_deployment.router().sendSignal(SIGTERM);
    EXPECT_NE(streamed.get().body.find("router_ending"), std::string::npos);
    const TestAnswer answer = buffered.get();
    EXPECT_EQ(answer.status, 502);
    EXPECT_NE(answer.body.find("router_ending"), std::string::npos);
    EXPECT_EQ(m_deployment.router().waitForExit(), 0);
}

// A request whose last byte came at that time was sent to a backend server and cut at once, so nobody knew whether it had run.
TEST_F(ShortGraceTest, sendsNoRequestThatItWouldGiveUpAtOnce)
{
    const std::string body = completion("late", false).dump();
    const std::string head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer secret\r\nVerbena-Idempotent: false\r\n";
    const RawCaller late(m_deployment.routerUrl(), head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, body.size() - 1));
    std::future<TestAnswer> running = begin("running");
    while (startedRequests() < 1) {
        std::this_thread::yield();
    }
    m_deployment.router().sendSignal(SIGTERM);
    EXPECT_NE(running.get().body.find("router_ending"), std::string::npos);
    late.sendBytes(body.substr(body.size() - 1));
    const std::string answer = late.readBytes();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_NE(answer.find("Verbena-Run: not-run"), std::string::npos) << answer;
    EXPECT_EQ(m_deployment.router().waitForExit(), 0);
}

class MalformedRequestTest : public FailureTest, public testing::WithParamInterface<const char *>
{
};

TEST_P(MalformedRequestTest, isAnsweredWithoutStoppingTheRouter)
{
    EXPECT_TRUE(rc::check("any body and header", [this](const std::string &noise, std::uint32_t position, bool isStream) {
        std::string body = *rc::gen::element<std::string>(completion("x", isStream).dump(),
            R"({"model":"analyst","messages":[{"role":"user","content":"x"}],"max_tokens":2})",
            R"({"model":"analyst","prompt":[1,2,3],"max_tokens":1,"stream_options":7})",
            std::string(100000, '['));
        body.insert(position % (body.size() + 1), noise);
        const std::string field
            = *rc::gen::element<std::string>("Verbena-Class: nobody", "Verbena-Deadline-Ms: -1", "Verbena-Idempotent: perhaps", "Verbena-Deadline-Ms: 500");
        const TestAnswer answer = m_deployment.post(GetParam(), body, {field});
        RC_ASSERT(answer.status >= 200);
        RC_ASSERT(answer.status < 500 || answer.status == 504);
        RC_ASSERT(answer.status < 400 || json::parse(answer.body).contains("error"));
    }));
    EXPECT_EQ(sendHttp("GET", m_deployment.routerUrl() + "/healthz", {}, "").status, 200);
}

INSTANTIATE_TEST_SUITE_P(
    Paths, MalformedRequestTest, testing::Values("/v1/completions", "/v1/chat/completions", "/explain", "/v1/services/register/append", "/v1/services//"));

TEST_F(FailureTest, teamMayUseOnlyItsModelsServicesAndClasses)
{
    const TestAnswer models = sendHttp("GET", m_deployment.routerUrl() + "/v1/models", {"Authorization: Bearer secret"}, "");
    EXPECT_EQ(json::parse(models.body)["data"].size(), 2U);
    EXPECT_EQ(m_deployment.post("/v1/completions", R"({"model": "other", "prompt": "x"})").status, 404);
    EXPECT_EQ(m_deployment.post("/v1/services/other/look", "{}").status, 404);
    EXPECT_EQ(m_deployment.post("/v1/completions", completion("x").dump(), {"Verbena-Class: nobody"}).status, 400);
}

} // namespace

} // namespace Verbena::Test
