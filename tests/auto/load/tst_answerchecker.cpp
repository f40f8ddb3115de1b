#include <load/answerchecker.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace Verbena::Load {

namespace {

using nlohmann::json;

constexpr std::uint32_t tokenCount = 6;

LoadRequest someRequest(bool isStream = true)
{
    LoadRequest request;
    request.isStream = isStream;
    request.answer = Standin::AnswerText("own prompt");
    request.answerTokens = tokenCount;
    return request;
}

std::vector<std::string> expectedTokens()
{
    std::vector<std::string> tokens;
    for (std::uint32_t i = 0; i < tokenCount; ++i) {
        tokens.push_back(someRequest().answer.token(i));
    }
    return tokens;
}

std::string eventOf(const std::string &text)
{
    return "data: " + json{{"choices", json::array({{{"text", text}}})}}.dump() + "\n\n";
}

std::string streamOf(const std::vector<std::string> &tokens)
{
    std::string stream;
    for (const std::string &token : tokens) {
        stream += eventOf(token);
    }
    return stream;
}

constexpr const char *done = "data: [DONE]\n\n";

Outcome outcomeOf(const std::string &stream, const Core::Result<int> &status = 200)
{
    AnswerChecker checker(someRequest());
    checker.receiveData(200, stream);
    return checker.finish(status);
}

Core::Result<int> connectionLoss()
{
    return Core::Error{Core::ErrorCode::Unknown, "", "", ""};
}

TEST(AnswerCheckerTest, acceptsTheExpectedAnswerInAnyChunks)
{
    EXPECT_TRUE(rc::check("parts", [] {
        const std::string stream = streamOf(expectedTokens()) + done;
        AnswerChecker checker(someRequest());
        std::uint32_t tokens = 0;
        std::size_t begin = 0;
        while (begin < stream.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 120);
            tokens += checker.receiveData(200, std::string_view(stream).substr(begin, size));
            begin += size;
        }
        RC_ASSERT(tokens == tokenCount);
        RC_ASSERT(checker.finish(200) == Outcome::Complete);
    }));
}

TEST(AnswerCheckerTest, detectsDeviationsFromTheExpectedAnswer)
{
    const std::vector<std::string> own = expectedTokens();
    EXPECT_TRUE(rc::check("changed streams", [&own] {
        std::vector<std::string> tokens = own;
        const auto place = static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, tokenCount - 1));
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            tokens.erase(tokens.begin() + place);
            RC_ASSERT(outcomeOf(streamOf(tokens) + done) == Outcome::Corrupted);
            break;
        case 1:
            std::swap(tokens[place], tokens[place + 1]);
            RC_ASSERT(outcomeOf(streamOf(tokens) + done) == Outcome::Corrupted);
            break;
        case 2:
            tokens.insert(tokens.begin() + place + 1, tokens[place]);
            RC_ASSERT(outcomeOf(streamOf(tokens) + done) == Outcome::Duplicated);
            break;
        case 3:
            tokens[place] = Standin::AnswerText("foreign prompt").token(static_cast<std::uint32_t>(place));
            RC_ASSERT(outcomeOf(streamOf(tokens) + done) == Outcome::Misdelivered);
            break;
        default:
            tokens[place] = "x\"y ";
            RC_ASSERT(outcomeOf(streamOf(tokens) + done) == Outcome::Corrupted);
        }
    }));
    EXPECT_EQ(outcomeOf(streamOf(own) + streamOf(own) + done), Outcome::Duplicated);
}

TEST(AnswerCheckerTest, distinguishesEndsOfAnswers)
{
    const std::string whole = streamOf(expectedTokens());
    EXPECT_EQ(outcomeOf(whole), Outcome::Corrupted);
    EXPECT_EQ(outcomeOf(whole, connectionLoss()), Outcome::Corrupted);
    EXPECT_EQ(outcomeOf("", connectionLoss()), Outcome::Lost);
    EXPECT_EQ(outcomeOf(done), Outcome::Corrupted);
    EXPECT_EQ(outcomeOf(done + whole), Outcome::Corrupted);
    EXPECT_EQ(outcomeOf(eventOf(expectedTokens()[0]) + "data: {\"error\":{}}\n\n" + done), Outcome::Failed);
    EXPECT_EQ(outcomeOf("", Core::Error{Core::ErrorCode::Unavailable, "", "", ""}), Outcome::Unreachable);
}

TEST(AnswerCheckerTest, usesTheRunStateReportedWithAnError)
{
    const auto outcomeOfRefusal = [](const char *run) {
        AnswerChecker checker(someRequest());
        checker.receiveField("verbena-run", run);
        checker.receiveData(503, "{}");
        return checker.finish(503);
    };
    EXPECT_EQ(outcomeOfRefusal("not-run"), Outcome::NotRun);
    EXPECT_EQ(outcomeOfRefusal("unknown"), Outcome::Unknown);
    EXPECT_EQ(outcomeOfRefusal("run"), Outcome::Failed);
}

TEST(AnswerCheckerTest, checksAnswersThatAreNotStreamed)
{
    const auto outcomeOfBody = [](const json &body, RequestKind kind) {
        LoadRequest request = someRequest(false);
        request.kind = kind;
        AnswerChecker checker(request);
        checker.receiveData(200, body.dump());
        return checker.finish(200);
    };
    const std::string own = someRequest().answer.firstTokens(tokenCount);
    const std::string foreign = Standin::AnswerText("foreign prompt").firstTokens(tokenCount);
    const auto chat = [](const std::string &text) {
        return json{{"choices", json::array({{{"message", {{"content", text}}}}})}};
    };
    EXPECT_EQ(outcomeOfBody(chat(own), RequestKind::ChatCompletion), Outcome::Complete);
    EXPECT_EQ(outcomeOfBody(chat(foreign), RequestKind::ChatCompletion), Outcome::Misdelivered);
    EXPECT_EQ(outcomeOfBody({{"answer", own}}, RequestKind::ServiceCall), Outcome::Complete);
    EXPECT_EQ(outcomeOfBody({{"answer", foreign}}, RequestKind::ServiceCall), Outcome::Misdelivered);
    EXPECT_EQ(outcomeOfBody({{"result", own}}, RequestKind::ServiceCall), Outcome::Corrupted);
}

} // namespace

} // namespace Verbena::Load
