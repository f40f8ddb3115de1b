#include <standin/answertext.h>
#include <support/childprocess.h>
#include <support/temporaryfolder.h>
#include <support/testhttp.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Verbena::Test {

namespace {

// SHA-256 of the caller's key "secret".
constexpr const char *secretHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

/// One engine, its agent and one router as separate processes.
class PathTest : public testing::Test
{
protected:
    PathTest()
        : m_engine("verbena-standin", {"engine"})
        , m_agent("verbena-agent", {"--settings", agentSettings(m_engine.waitForLine("listening http "))})
        , m_router("verbena-router", {"--settings", routerSettings(m_agent.waitForLine("listening zmq "))})
        , m_url("http://" + m_router.waitForLine("listening http "))
    {
    }

    TestAnswer complete(const nlohmann::json &body, const std::string &key = "secret") const
    {
        return sendHttp("POST", m_url + "/v1/completions", {"Authorization: Bearer " + key}, body.dump());
    }

private:
    std::string agentSettings(const std::string &engine) const
    {
        return m_folder.write("agent.yaml", "name: engine1\nendpoint: tcp://127.0.0.1:*\nbackend_url: http://" + engine + "\n");
    }

    std::string routerSettings(const std::string &agent) const
    {
        return m_folder.write("router.yaml",
            std::string("name: router1\ncaller_keys:\n  - {sha256: ") + secretHash
                + ", organisation: kessick, team: dams}\nbackend_servers:\n  - {name: engine1, endpoint: \"" + agent + "\", models: [{model: analyst}]}\n");
    }

    TemporaryFolder m_folder;
    ChildProcess m_engine;
    ChildProcess m_agent;
    ChildProcess m_router;
    std::string m_url;
};

std::string textOfStream(const std::string &body)
{
    std::string text;
    std::size_t begin = 0;
    while ((begin = body.find("data: {", begin)) != std::string::npos) {
        begin += std::string_view("data: ").size();
        const nlohmann::json event = nlohmann::json::parse(body.substr(begin, body.find("\n\n", begin) - begin));
        text += event["choices"][0]["text"].get<std::string>();
    }
    return text;
}

TEST_F(PathTest, streamsTheWholeAnswer)
{
    const TestAnswer answer = complete({{"model", "analyst"}, {"prompt", "piezometer 7"}, {"max_tokens", 20}, {"stream", true}});
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.fields.at("verbena-run"), "run");
    EXPECT_EQ(textOfStream(answer.body), Standin::AnswerText("piezometer 7").whole(20));
    EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
}

TEST_F(PathTest, givesTheWholeAnswerAtOnce)
{
    const TestAnswer answer = complete({{"model", "analyst"}, {"prompt", "seepage"}, {"max_tokens", 5}});
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(nlohmann::json::parse(answer.body)["choices"][0]["text"], Standin::AnswerText("seepage").whole(5));
}

TEST_F(PathTest, refusesAnUnknownKeyAndAnUnknownModel)
{
    EXPECT_EQ(complete({{"model", "analyst"}, {"prompt", "x"}}, "wrong").status, 401);
    const TestAnswer answer = complete({{"model", "nobody"}, {"prompt", "x"}});
    EXPECT_EQ(answer.status, 404);
    EXPECT_EQ(answer.fields.at("verbena-run"), "not-run");
}

} // namespace

} // namespace Verbena::Test
