#include "crashrow.h"

#include <charconv>
#include <string_view>

namespace Verbena::Decisions {

namespace {

constexpr std::string_view recordPrefix = "crash.";
constexpr std::string_view trialPrefix = "trial.";
constexpr std::size_t identityDigits = 32;

} // namespace

std::string crashRowKey(const CrashRecord &record)
{
    return std::string(recordPrefix) + record.request.text() + '.' + record.server;
}

std::string trialRowKey(const RequestIdentity &request)
{
    return std::string(trialPrefix) + request.text();
}

Core::Result<CrashRow> decodeCrashRow(const std::string &key, const std::string &value)
{
    const Core::Error error{Core::ErrorCode::InvalidArgument, "crash.row", key, "The row contains neither a crash nor a number of trials."};
    const std::string_view text(key);
    const auto request = text.size() < recordPrefix.size() ? std::nullopt : RequestIdentity::parse(text.substr(recordPrefix.size(), identityDigits));
    if (!request.has_value()) {
        return error;
    }
    const std::string_view rest = text.substr(recordPrefix.size() + identityDigits);
    if (text.starts_with(recordPrefix) && rest.size() > 1 && rest.front() == '.') {
        return CrashRow(CrashRecord{*request, std::string(rest.substr(1)), value});
    }
    TrialCount trials{*request, 0};
    const auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), trials.count);
    const bool isNumber = value.empty() || (status == std::errc() && end == value.data() + value.size());
    if (text.starts_with(trialPrefix) && rest.empty() && isNumber) {
        return CrashRow(trials);
    }
    return error;
}

} // namespace Verbena::Decisions
