#include "soakroutes.h"

namespace Verbena::Soak {

namespace {

constexpr std::chrono::milliseconds shortDeadline{3000};
constexpr std::chrono::milliseconds slowDeadline{12'000};

} // namespace

bool mayRepeat(const std::string &path)
{
    return !path.starts_with("/once/") && !path.starts_with("/slow-once/") && !path.starts_with("/long/");
}

bool isStream(const std::string &path)
{
    return isResumable(path) || path.starts_with("/long/");
}

bool isResumable(const std::string &path)
{
    return path.starts_with("/resume");
}

bool isSlow(const std::string &path)
{
    return path.starts_with("/slow") || path.starts_with("/long/") || path.starts_with("/resume-long/");
}

std::chrono::milliseconds deadlineOf(const std::string &path)
{
    return isSlow(path) ? slowDeadline : shortDeadline;
}

} // namespace Verbena::Soak
