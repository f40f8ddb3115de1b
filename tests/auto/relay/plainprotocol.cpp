#include "plainprotocol.h"

namespace Verbena::Test {

using Http::HttpField;

namespace {

std::string value(const Http::MessageHead &head, const char *name)
{
    const std::string *field = head.field(name);
    return field == nullptr ? std::string() : *field;
}

} // namespace

std::string requestId(const Http::MessageHead &head)
{
    return value(head, "Id");
}

Core::Result<Relay::RelayQuery> PlainProtocol::readQuery(const Http::MessageHead &head, Core::TimePoint now) const
{
    if (head.field("Host") == nullptr) {
        return Core::Error{Core::ErrorCode::InvalidArgument, "test.request", "", "There is no host."};
    }
    Relay::RelayQuery query;
    query.attemptId = value(head, "Id");
    query.host = value(head, "Host");
    query.path = head.target;
    query.key = value(head, "Key");
    query.lastEventId = value(head, "Last-Event-Id");
    query.resumedAttemptId = value(head, "Resumes");
    if (head.field("Deadline") != nullptr) {
        query.deadline = now + std::chrono::milliseconds(std::stoi(value(head, "Deadline")));
    }
    if (head.field("Model") != nullptr) {
        query.prompt = {value(head, "Model"), {{"part", 100}, {"own", 100}}, 200, 50};
    }
    return query;
}

std::vector<HttpField> PlainProtocol::callFields(const Http::MessageHead &head, const Relay::CallContext &context) const
{
    return {{"Id", value(head, "Id")},
        {"Server", context.serverId},
        {"Organisation", context.organisation},
        {"Time-Left", std::to_string(context.timeLeft.count())},
        {"Last-Event-Id", context.lastEventId}};
}

Relay::AnswerMarks PlainProtocol::readAnswer(const Http::MessageHead &head) const
{
    Relay::AnswerMarks marks;
    marks.attemptId = value(head, "Id");
    marks.isNotRun = head.field("Not-Run") != nullptr;
    marks.isMisdirected = head.status == 421;
    marks.hasReceipt = head.field("Receipt") != nullptr;
    if (head.field("Rest") != nullptr) {
        marks.rest = std::chrono::milliseconds(std::stoi(value(head, "Rest")));
    }
    marks.isLeaving = head.field("Leaving") != nullptr;
    if (head.field("Limit") != nullptr) {
        marks.limit = std::stod(value(head, "Limit"));
    }
    return marks;
}

std::vector<HttpField> PlainProtocol::answerFields(const Http::MessageHead &head) const
{
    std::vector<HttpField> fields;
    for (const HttpField &field : head.fields) {
        if (!Http::isSameFieldName(field.name, "Content-Length") && !Http::isSameFieldName(field.name, "Transfer-Encoding")) {
            fields.push_back(field);
        }
    }
    return fields;
}

std::vector<HttpField> PlainProtocol::refusalFields(const Relay::Refusal &refusal, const std::string &attemptId) const
{
    std::vector<HttpField> fields;
    if (!attemptId.empty()) {
        fields.push_back({"Id", attemptId});
    }
    if (refusal.retryAfter.has_value()) {
        fields.push_back({"Come-Back-Ms", std::to_string(refusal.retryAfter->count())});
    }
    return fields;
}

} // namespace Verbena::Test
