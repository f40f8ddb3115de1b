#include "answerchecker.h"

#include <nlohmann/json.hpp>

#include <algorithm>

#include <strings.h>

namespace Verbena::Load {

namespace {

using nlohmann::json;

constexpr int okStatus = 200;
constexpr std::size_t tokenLetters = 8;
constexpr std::size_t maximumExplanationBytes = 300;

bool isField(std::string_view name, const std::string &expected)
{
    return name.size() == expected.size() && strncasecmp(name.data(), expected.data(), name.size()) == 0;
}

// Every token of every answer looks like this, with a space behind.
bool hasTokenShape(std::string_view token)
{
    return token.size() == tokenLetters && std::ranges::all_of(token, [](char letter) { return letter >= 'a' && letter <= 'z'; });
}

std::string textOf(const json &choice)
{
    if (choice.contains("text")) {
        return choice.value("text", "");
    }
    for (const char *part : {"delta", "message"}) {
        if (choice.contains(part) && choice[part].is_object()) {
            return choice[part].value("content", "");
        }
    }
    return "";
}

TokenUsage usageOf(const json &usage)
{
    TokenUsage result{usage.value("prompt_tokens", std::uint64_t{0}), 0};
    if (usage.contains("prompt_tokens_details") && usage["prompt_tokens_details"].is_object()) {
        result.cachedTokens = usage["prompt_tokens_details"].value("cached_tokens", std::uint64_t{0});
    }
    return result;
}

} // namespace

AnswerChecker::AnswerChecker(const LoadRequest &request)
    : m_kind(request.kind)
    , m_isStream(request.isStream)
    , m_answer(request.answer)
    , m_answerTokens(request.answerTokens)
{
}

void AnswerChecker::receiveField(std::string_view name, std::string_view value)
{
    if (isField(name, "Verbena-Run")) {
        m_run = value;
    } else if (isField(name, "Verbena-Request")) {
        m_requestId = value;
    }
}

std::uint32_t AnswerChecker::receiveData(int status, std::string_view data)
{
    const std::uint32_t before = m_receivedTokens;
    if (m_isStream && status == okStatus) {
        m_parser.feed(data, [this](std::string_view event) { takeEvent(event); });
    } else {
        m_body.append(data);
    }
    return m_receivedTokens - before;
}

void AnswerChecker::takeEvent(std::string_view data)
{
    if (data == "[DONE]") {
        m_isDone = true;
        return;
    }
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object()) {
        fail(Outcome::Broken);
        return;
    }
    if (event.contains("error")) {
        m_hasErrorEvent = true;
        m_problem = data;
        return;
    }
    if (event.contains("usage") && event["usage"].is_object()) {
        m_usage = usageOf(event["usage"]);
    }
    if (event.contains("choices") && event["choices"].is_array() && !event["choices"].empty()) {
        takeText(textOf(event["choices"][0]));
    }
}

void AnswerChecker::takeText(std::string_view text)
{
    if (m_isDone && !text.empty()) {
        fail(Outcome::Broken);
    }
    for (const char letter : text) {
        if (letter != ' ') {
            m_pendingToken += letter;
            continue;
        }
        takeToken(m_pendingToken);
        m_pendingToken.clear();
    }
}

void AnswerChecker::takeToken(std::string_view token)
{
    ++m_receivedTokens;
    const std::string received = std::string(token) + " ";
    if (m_goodTokens < m_answerTokens && received == m_answer.token(m_goodTokens)) {
        ++m_goodTokens;
        return;
    }
    for (std::uint32_t i = 0; i < m_answerTokens; ++i) {
        if (received == m_answer.token(i)) {
            fail(i < m_goodTokens ? Outcome::Doubled : Outcome::Broken);
            return;
        }
    }
    fail(hasTokenShape(token) ? Outcome::Crossed : Outcome::Broken);
}

// The first thing that is wrong decides, as it may be the cause of the rest.
void AnswerChecker::fail(Outcome outcome)
{
    if (m_textOutcome == Outcome::Whole) {
        m_textOutcome = outcome;
    }
}

void AnswerChecker::takeWholeBody()
{
    const json body = json::parse(m_body, nullptr, false);
    if (!body.is_object()) {
        fail(Outcome::Broken);
        return;
    }
    if (body.contains("usage") && body["usage"].is_object()) {
        m_usage = usageOf(body["usage"]);
    }
    if (m_kind == RequestKind::ServiceCall) {
        takeText(body.value("answer", ""));
    } else if (body.contains("choices") && body["choices"].is_array() && !body["choices"].empty()) {
        takeText(textOf(body["choices"][0]));
    }
    m_isDone = true;
}

Outcome AnswerChecker::outcomeOfError() const
{
    if (m_run == "not-run") {
        return Outcome::NotRun;
    }
    return m_run == "unknown" ? Outcome::Unknown : Outcome::Failed;
}

Outcome AnswerChecker::finish(const Core::Result<int> &status)
{
    if (!status) {
        m_problem = status.error().toString();
    } else if (status.value() != okStatus) {
        m_problem = std::to_string(status.value()) + " " + m_body;
    }
    if (!status && status.error().code == Core::ErrorCode::Unavailable) {
        return Outcome::Unreachable;
    }
    if (!status && m_receivedTokens == 0 && !m_hasErrorEvent) {
        return Outcome::Lost;
    }
    if (status && status.value() != okStatus) {
        return outcomeOfError();
    }
    if (status && !m_isStream) {
        takeWholeBody();
    }
    if (m_textOutcome != Outcome::Whole) {
        return m_textOutcome;
    }
    if (m_hasErrorEvent) {
        // What came before the error is right, and the caller was told that the rest will not come.
        return Outcome::Failed;
    }
    const bool isWhole = status && m_isDone && m_pendingToken.empty() && m_goodTokens == m_answerTokens;
    return isWhole ? Outcome::Whole : Outcome::Broken;
}

const TokenUsage &AnswerChecker::usage() const
{
    return m_usage;
}

std::string AnswerChecker::explanation() const
{
    return m_problem.substr(0, maximumExplanationBytes);
}

const std::string &AnswerChecker::requestId() const
{
    return m_requestId;
}

} // namespace Verbena::Load
