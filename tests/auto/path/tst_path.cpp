#include <standin/answertext.h>
#include <support/testdeployment.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>

namespace Verbena::Test {

namespace {

/// Runs one engine, its agent and one router as separate processes.
class PathTest : public testing::Test
{
protected:
    TestAnswer complete(const nlohmann::json &body) const
    {
        return m_deployment.post("/v1/completions", body.dump());
    }

    TestDeployment m_deployment;
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
    EXPECT_EQ(textOfStream(answer.body), Standin::AnswerText("piezometer 7").firstTokens(20));
    EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
}

TEST_F(PathTest, returnsTheWholeAnswerInOneResponse)
{
    const TestAnswer answer = complete({{"model", "analyst"}, {"prompt", "seepage"}, {"max_tokens", 5}});
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(nlohmann::json::parse(answer.body)["choices"][0]["text"], Standin::AnswerText("seepage").firstTokens(5));
}

TEST_F(PathTest, refusesAnUnknownKeyAndAnUnknownModel)
{
    const std::string body = R"({"model": "analyst", "prompt": "x"})";
    EXPECT_EQ(sendHttp("POST", m_deployment.routerUrl() + "/v1/completions", {"Authorization: Bearer wrong"}, body).status, 401);
    const TestAnswer answer = complete({{"model", "nobody"}, {"prompt", "x"}});
    EXPECT_EQ(answer.status, 404);
    EXPECT_EQ(answer.fields.at("verbena-run"), "not-run");
}

// Tools that rotate logs or renew certificates send SIGHUP to every process; it must not end the router.
TEST_F(PathTest, continuesAfterSighup)
{
    m_deployment.router().sendSignal(SIGHUP);
    for (int number = 0; number < 3; ++number) {
        EXPECT_EQ(complete({{"model", "analyst"}, {"prompt", "seepage"}, {"max_tokens", 5}}).status, 200);
    }
}

// The text of a completion was kept however long an engine made it.
TEST(LongCompletionsTest, areKeptWithoutABound)
{
    DeploymentOptions options;
    options.routerSettings = "streams: {maximum_answer_bytes: 1024}\n";
    const TestDeployment deployment(options);
    nlohmann::json request{{"model", "analyst"}, {"prompt", "piezometer 7"}, {"max_tokens", 1000}};
    const TestAnswer whole = deployment.post("/v1/completions", request.dump());
    EXPECT_EQ(whole.status, 502);
    EXPECT_NE(whole.body.find("answer_too_large"), std::string::npos);
    request["stream"] = true;
    const TestAnswer streamed = deployment.post("/v1/completions", request.dump());
    EXPECT_NE(streamed.body.find("answer_too_large"), std::string::npos);
    EXPECT_EQ(streamed.body.find("[DONE]"), std::string::npos);
    request["max_tokens"] = 5;
    EXPECT_EQ(textOfStream(deployment.post("/v1/completions", request.dump()).body), Standin::AnswerText("piezometer 7").firstTokens(5));
}

} // namespace

} // namespace Verbena::Test
