#include <eventloop/loop.h>
#include <http/httpclient.h>
#include <standin/answertext.h>
#include <support/childprocess.h>
#include <support/testhttp.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <optional>

namespace Verbena::Test {

namespace {

using nlohmann::json;

/// Stand-in that runs as a child process.
class Standin
{
public:
    explicit Standin(const std::vector<std::string> &arguments)
        : process("verbena-standin", arguments)
        , url("http://" + process.waitForLine("listening http "))
    {
    }

    TestAnswer post(const std::string &path, const json &body) const
    {
        return sendHttp("POST", url + path, {"Verbena-Request: r1"}, body.dump());
    }

    json complete(const json &body) const
    {
        return json::parse(post("/v1/completions", body).body);
    }

    json get(const std::string &path) const
    {
        return json::parse(sendHttp("GET", url + path, {}, "").body);
    }

    ChildProcess process;
    std::string url;
};

/// Waits for the end of one call.
class Waiter : public Http::HttpReceiver
{
public:
    explicit Waiter(EventLoop::Loop &loop)
        : m_loop(loop)
    {
    }

    void receiveData(int, std::string_view) override
    {
    }

    void finish(Core::Result<int> status) override
    {
        if (!status) {
            failure = status.error().code;
        }
        m_loop.stop();
    }

    std::optional<Core::ErrorCode> failure;

private:
    EventLoop::Loop &m_loop;
};

std::optional<Core::ErrorCode> failureOf(EventLoop::Loop &loop, Http::HttpClient &client, const std::string &url, bool isRepeatable)
{
    Http::HttpCall call;
    call.method = "POST";
    call.url = url;
    call.body = "{}";
    call.deadline = loop.now() + std::chrono::seconds(20);
    call.isRepeatable = isRepeatable;
    const auto waiter = std::make_shared<Waiter>(loop);
    client.start(call, waiter);
    loop.run();
    return waiter->failure;
}

TEST(EngineStandinTest, countsCachedPiecesOfTheSameScopeOnly)
{
    const Standin engine({"engine", "--piece-tokens", "16", "--decode-interval-us", "0", "--event-delay-ms", "0"});
    const json request{{"model", "analyst"}, {"prompt", std::string(200, 'x')}, {"max_tokens", 1}};
    json salted = request;
    salted["cache_salt"] = "other";
    const auto cachedTokens = [&engine](const json &body) {
        return engine.complete(body)["usage"]["prompt_tokens_details"]["cached_tokens"].get<int>();
    };
    EXPECT_EQ(cachedTokens(request), 0);
    EXPECT_EQ(cachedTokens(request), 48);
    EXPECT_EQ(cachedTokens(salted), 0);
    const json events = engine.get("/cache_events?since=1");
    EXPECT_EQ(events["events"].size(), 6U);
    EXPECT_EQ(events["next"], 7);
}

TEST(EngineStandinTest, resumesWhereTheAnswerStopped)
{
    const Standin engine({"engine", "--decode-interval-us", "0"});
    const ::Verbena::Standin::AnswerText answer("seepage");
    const json resumed
        = engine.complete({{"prompt", "seepage"}, {"max_tokens", 9}, {"verbena_resume_tokens", 4}, {"verbena_resume_text", answer.firstTokens(4)}});
    EXPECT_EQ(answer.firstTokens(4) + resumed["choices"][0]["text"].get<std::string>(), answer.firstTokens(9));
    EXPECT_EQ(resumed["usage"]["completion_tokens"], 5);
}

TEST(EngineStandinTest, checksFencingNumbersUnlessDisabled)
{
    const json newer{{"order", "load"}, {"model", "analyst"}, {"version", "8"}, {"fencing", 5}};
    const json older{{"order", "unload"}, {"model", "analyst"}, {"fencing", 4}};
    const Standin checking({"engine"});
    EXPECT_EQ(checking.post("/orders", newer).status, 202);
    EXPECT_EQ(checking.post("/orders", older).status, 409);
    const Standin ignoring({"engine", "--ignore-fencing"});
    EXPECT_EQ(ignoring.post("/orders", newer).status, 202);
    EXPECT_EQ(ignoring.post("/orders", older).status, 200);
}

TEST(EngineStandinTest, crashesAfterTheConfiguredToken)
{
    Standin engine({"engine", "--decode-interval-us", "0", "--faults", R"({"crash": "at_token", "crash_token": 2})"});
    EXPECT_EQ(engine.post("/v1/completions", {{"prompt", "x"}, {"max_tokens", 5}, {"stream", true}}).status, 0);
    EXPECT_EQ(engine.process.waitForExit(), 1);
}

TEST(ServiceStandinTest, runsACallOnceIfItsAnswerIsLostOnAReusedConnection)
{
    const Standin service({"service"});
    const auto loop = EventLoop::Loop::create();
    ASSERT_TRUE(loop);
    const auto client = Http::HttpClient::create(*loop.value());
    ASSERT_TRUE(client);
    EXPECT_EQ(failureOf(*loop.value(), *client.value(), service.url + "/append", false), std::nullopt);
    EXPECT_EQ(service.post("/control", {{"lose_answer", true}}).status, 200);
    EXPECT_NE(failureOf(*loop.value(), *client.value(), service.url + "/append", false), std::nullopt);
    EXPECT_EQ(service.get("/runs")["runs"].size(), 2U);
}

TEST(ServiceStandinTest, reportsASentRepeatableCallAsUnknownIfItsRepetitionCannotConnect)
{
    const Standin service({"service"});
    const auto loop = EventLoop::Loop::create();
    ASSERT_TRUE(loop);
    const auto client = Http::HttpClient::create(*loop.value());
    ASSERT_TRUE(client);
    EXPECT_EQ(failureOf(*loop.value(), *client.value(), service.url + "/append", true), std::nullopt);
    EXPECT_EQ(service.post("/control", {{"crash", "after_last_token"}}).status, 200);
    EXPECT_EQ(failureOf(*loop.value(), *client.value(), service.url + "/append", true), Core::ErrorCode::Unknown);
    EXPECT_EQ(failureOf(*loop.value(), *client.value(), service.url + "/append", true), Core::ErrorCode::Unavailable);
}

} // namespace

} // namespace Verbena::Test
