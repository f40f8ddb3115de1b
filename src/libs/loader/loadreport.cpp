#include "loadreport.h"

#include <application/exitstatus.h>
#include <application/processevents.h>

#include <array>
#include <cstdio>
#include <ctime>

namespace Verbena::Loader {

namespace {

constexpr long nanosecondsAMillisecond = 1000000;

/// \brief A moment in UTC, as the log writes it.
using TimeText = std::array<char, 64>;

TimeText currentTime()
{
    timespec now{};
    tm utc{};
    std::array<char, 32> seconds{};
    TimeText text{};
    (void)clock_gettime(CLOCK_REALTIME, &now);
    (void)gmtime_r(&now.tv_sec, &utc);
    (void)std::strftime(seconds.data(), seconds.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    (void)std::snprintf(text.data(), text.size(), "%s.%03ldZ", seconds.data(), now.tv_nsec / nanosecondsAMillisecond);
    return text;
}

} // namespace

// The log and the errors of the libraries cannot be used, as they come with the module.
int reportLoadFailure(const char *process, const char *path, const char *failure)
{
    const Observe::Event &event = Application::startFailed;
    (void)std::fprintf(stderr, "%s ERROR %s %d %s \"%s\" ", currentTime().data(), process, event.number, event.name, event.text);
    (void)std::fprintf(stderr, "step=program.load peer=\"%s\" code=internal message=\"%s\"\n", path, failure);
    (void)std::fprintf(stderr, "program.load [%s]: %s (internal)\n", path, failure);
    return Application::startFailedStatus;
}

} // namespace Verbena::Loader
