#include "requestform.h"

#include <array>

namespace Verbena::Soak {

namespace {

constexpr double plainShare = 0.6;
constexpr std::array<RequestForm, 5> otherForms{
    RequestForm::Absolute, RequestForm::AfterEmptyLine, RequestForm::Expecting, RequestForm::FarDeadline, RequestForm::HalfClosed};

constexpr const char *host = "x.example";
constexpr const char *farDeadline = "9223372036854775807";

} // namespace

RequestForm drawForm(Decisions::RandomSource &random)
{
    return random.uniform() < plainShare ? RequestForm::Plain : otherForms[random.next() % otherForms.size()];
}

std::string promptFields(const std::string &parts)
{
    return "Verbenaladder-Model: m\r\nVerbenaladder-Token-Count: 10,10\r\nVerbenaladder-Prompt-Prefix: " + parts + "\r\n";
}

std::string headText(const RequestParts &parts, RequestForm form)
{
    const std::string begin = form == RequestForm::AfterEmptyLine ? "\r\n" : "";
    const std::string target = (form == RequestForm::Absolute ? "http://" + std::string(host) : "") + parts.path;
    const std::string deadline = form == RequestForm::FarDeadline ? farDeadline : std::to_string(parts.deadline.count());
    const std::string expectation = form == RequestForm::Expecting ? "Expect: 100-continue\r\n" : "";
    return begin + "POST " + target + " HTTP/1.1\r\nHost: " + host + "\r\nVerbenaladder-Attempt-Id: " + parts.id + "\r\n" + parts.promptFields
        + "Verbenaladder-Deadline-Ms: " + deadline + "\r\nAuthorization: Token secret\r\n" + expectation
        + "Content-Length: " + std::to_string(parts.body.size()) + "\r\n\r\n";
}

} // namespace Verbena::Soak
