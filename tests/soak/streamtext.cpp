#include "streamtext.h"

#include <algorithm>

namespace Verbena::Soak {

namespace {

std::string wholeStream(const std::string &token, const std::string &software)
{
    std::string events;
    for (int number = 1; number <= streamEvents; ++number) {
        events += eventText(number, token, software);
    }
    return events;
}

} // namespace

const std::vector<std::string> &softwareVersions()
{
    static const std::vector<std::string> versions{"v1", "v1.1"};
    return versions;
}

std::string eventText(int number, const std::string &token, const std::string &software)
{
    return "id: " + std::to_string(number) + "\ndata: " + token + ' ' + std::to_string(number) + " by " + software + "\n\n";
}

bool isBeginningOfStream(const std::string &text, const std::string &token)
{
    return std::any_of(
        softwareVersions().begin(), softwareVersions().end(), [&](const std::string &software) { return wholeStream(token, software).starts_with(text); });
}

bool isWholeStream(const std::string &text, const std::string &token)
{
    return std::any_of(softwareVersions().begin(), softwareVersions().end(), [&](const std::string &software) { return wholeStream(token, software) == text; });
}

} // namespace Verbena::Soak
