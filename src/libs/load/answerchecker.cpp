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

// Returns whether \a token has the form of an answer token (without its trailing space).
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
        m_parser.feed(data, [this](std::string_view event) { handleEvent(event); });
    } else {
        m_body.append(data);
    }
    return m_receivedTokens - before;
}

void AnswerChecker::handleEvent(std::string_view data)
{
    if (data == "[DONE]") {
        m_isDone = true;
        return;
    }
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object()) {
        fail(Outcome::Corrupted);
        return;
    }
    if (event.contains("error")) {
        m_hasErrorEvent = true;
        m_errorText = data;
        return;
    }
    if (event.contains("usage") && event["usage"].is_object()) {
        m_usage = usageOf(event["usage"]);
    }
    if (event.contains("choices") && event["choices"].is_array() && !event["choices"].empty()) {
        handleText(textOf(event["choices"][0]));
    }
}

void AnswerChecker::handleText(std::string_view text)
{
    if (m_isDone && !text.empty()) {
        fail(Outcome::Corrupted);
    }
    for (const char letter : text) {
        if (letter != ' ') {
            m_pendingToken += letter;
            continue;
        }
        handleToken(m_pendingToken);
        m_pendingToken.clear();
    }
}

void AnswerChecker::handleToken(std::string_view token)
{
    ++m_receivedTokens;
    const std::string received = std::string(token) + " ";
    if (m_matchedTokens < m_answerTokens && received == m_answer.token(m_matchedTokens)) {
        ++m_matchedTokens;
        return;
    }
    for (std::uint32_t i = 0; i < m_answerTokens; ++i) {
        if (received == m_answer.token(i)) {
            fail(i < m_matchedTokens ? Outcome::Duplicated : Outcome::Corrupted);
            return;
        }
    }
    fail(hasTokenShape(token) ? Outcome::Misdelivered : Outcome::Corrupted);
}

// Only the first fault is kept, as it may be the cause of the following faults.
void AnswerChecker::fail(Outcome outcome)
{
    if (m_textOutcome == Outcome::Complete) {
        m_textOutcome = outcome;
    }
}

void AnswerChecker::handleBody()
{
    const json body = json::parse(m_body, nullptr, false);
    if (!body.is_object()) {
        fail(Outcome::Corrupted);
        return;
    }
    if (body.contains("usage") && body["usage"].is_object()) {
        m_usage = usageOf(body["usage"]);
    }
    if (m_kind == RequestKind::ServiceCall) {
        handleText(body.value("answer", ""));
    } else if (body.contains("choices") && body["choices"].is_array() && !body["choices"].empty()) {
        handleText(textOf(body["choices"][0]));
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
        m_errorText = status.error().toString();
    } else if (status.value() != okStatus) {
        m_errorText = std::to_string(status.value()) + " " + m_body;
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
        handleBody();
    }
    if (m_textOutcome != Outcome::Complete) {
        return m_textOutcome;
    }
    if (m_hasErrorEvent) {
        // The tokens before the error are correct, and the error told the caller that the rest is missing.
        return Outcome::Failed;
    }
    const bool isComplete = status && m_isDone && m_pendingToken.empty() && m_matchedTokens == m_answerTokens;
    return isComplete ? Outcome::Complete : Outcome::Corrupted;
}

const TokenUsage &AnswerChecker::usage() const
{
    return m_usage;
}

std::string AnswerChecker::explanation() const
{
    return m_errorText.substr(0, maximumExplanationBytes);
}

const std::string &AnswerChecker::requestId() const
{
    return m_requestId;
}

} // namespace Verbena::Load
