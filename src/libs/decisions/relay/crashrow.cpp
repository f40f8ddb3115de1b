#include "crashrow.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace Verbena::Decisions {

namespace {

constexpr std::string_view recordPrefix = "crash.";
constexpr std::string_view trialPrefix = "trial.";
constexpr char separator = '.';

} // namespace

std::string crashRowKey(const CrashRecord &record)
{
    return std::string(recordPrefix) + record.subject.text() + separator + record.server;
}

std::string trialRowKey(const CrashSubject &subject)
{
    return std::string(trialPrefix) + subject.text();
}

Core::Result<CrashRow> decodeCrashRow(const std::string &key, const std::string &value)
{
    const Core::Error error{Core::ErrorCode::InvalidArgument, "crash.row", key, "The row contains neither a crash nor a number of trials."};
    const std::string_view text(key);
    const bool isRecord = text.starts_with(recordPrefix);
    if (!isRecord && !text.starts_with(trialPrefix)) {
        return error;
    }
    const std::string_view rest = text.substr(isRecord ? recordPrefix.size() : trialPrefix.size());
    const std::size_t subjectEnd = std::min(rest.find(separator), rest.size());
    const std::optional<CrashSubject> subject = CrashSubject::parse(rest.substr(0, subjectEnd));
    if (!subject.has_value()) {
        return error;
    }
    if (isRecord) {
        const std::string_view server = rest.substr(std::min(subjectEnd + 1, rest.size()));
        return server.empty() ? Core::Result<CrashRow>(error) : CrashRow(CrashRecord{*subject, std::string(server), value});
    }
    TrialCount trials{*subject, 0};
    const auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), trials.count);
    const bool isNumber = value.empty() || (status == std::errc() && end == value.data() + value.size());
    return isNumber && subjectEnd == rest.size() ? Core::Result<CrashRow>(CrashRow(trials)) : error;
}

} // namespace Verbena::Decisions
