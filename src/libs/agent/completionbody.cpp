#include "completionbody.h"

#include <nlohmann/json.hpp>

namespace Verbena::Agent {

namespace {

constexpr std::string_view blanks = " \t\r\n";

std::string ownFields(const verbena::wire::Dispatch &dispatch)
{
    nlohmann::json fields{
        {"stream", true}, {"stream_options", {{"include_usage", true}}}, {"priority", dispatch.mark()}, {"cache_salt", dispatch.organisation()}};
    if (dispatch.resume_tokens() > 0) {
        fields["verbena_resume_tokens"] = dispatch.resume_tokens();
        fields["verbena_resume_text"] = dispatch.resume_text();
    }
    return fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).substr(1);
}

} // namespace

Core::Result<std::string> completionBody(const verbena::wire::Dispatch &dispatch)
{
    // Prompts are long, so the fields are put before the closing brace instead of parsing all of it. A later field of the same
    // name takes the place of an earlier one, so that a caller cannot set these.
    const std::string &body = dispatch.body();
    const std::size_t begin = body.find_first_not_of(blanks);
    const std::size_t end = body.find_last_not_of(blanks);
    if (begin == std::string::npos || begin == end || body[begin] != '{' || body[end] != '}') {
        return Core::Error{Core::ErrorCode::InvalidArgument, "agent.body", "", "The body of a completion is not a JSON object."};
    }
    const std::size_t last = body.find_last_not_of(blanks, end - 1);
    std::string result;
    result.reserve(end + 256 + dispatch.resume_text().size());
    result.append(body, begin, end - begin);
    if (last != begin) {
        result += ',';
    }
    result += ownFields(dispatch);
    return result;
}

} // namespace Verbena::Agent
