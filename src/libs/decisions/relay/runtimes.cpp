#include "runtimes.h"

#include <algorithm>
#include <iterator>

namespace Verbena::Decisions {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// Some seconds of one router's calls on a busy route; an eighth of them is eight calls.
constexpr std::size_t sampleWindow = 64;

// The latest calls tell of a change of the work before an eighth of the window above does: the work has changed if so large a fraction of them took longer.
// Fewer than the smallest number say nothing.
constexpr std::size_t latestWindow = 8;
constexpr std::size_t fewestOfLatest = 4;
constexpr double changedFraction = 0.5;

// On a quiet route older answers say little of what its servers do now.
constexpr std::chrono::minutes sampleLifetime{5};

// Where nothing else is known, a call that has run for some time lasts longer than twice that time in half of all cases, and so on.
double fractionLastingTo(milliseconds longest, milliseconds elapsed)
{
    if (elapsed >= longest) {
        return 1;
    }
    return static_cast<double>(elapsed.count()) / static_cast<double>(longest.count());
}

} // namespace

void RunTimes::record(const std::string &route, milliseconds took, Core::TimePoint now)
{
    if (!m_routes.contains(route)) {
        forgetSilentRoutes(now);
    }
    Route &known = m_routes[route];
    if (known.latest.size() < sampleWindow) {
        known.latest.push_back({took, now});
        return;
    }
    known.latest[known.next] = {took, now};
    known.next = (known.next + 1) % sampleWindow;
}

// Routes that a configuration no longer has would stay for ever otherwise.
void RunTimes::forgetSilentRoutes(Core::TimePoint now)
{
    std::erase_if(m_routes, [now](const auto &route) {
        const std::vector<Sample> &latest = route.second.latest;
        return std::all_of(latest.begin(), latest.end(), [now](const Sample &sample) { return sample.endedAt + sampleLifetime <= now; });
    });
}

void RunTimes::setRunning(const std::vector<RunningCall> &calls)
{
    m_running.clear();
    for (const RunningCall &call : calls) {
        m_running[call.route].push_back(call.sentAt);
    }
}

std::vector<RunTimes::Sample> RunTimes::recentSamples(const std::string &route, Core::TimePoint now) const
{
    const auto known = m_routes.find(route);
    if (known == m_routes.end()) {
        return {};
    }
    const std::vector<Sample> &kept = known->second.latest;
    std::vector<Sample> samples;
    std::rotate_copy(kept.begin(), kept.begin() + static_cast<std::ptrdiff_t>(known->second.next), kept.end(), std::back_inserter(samples));
    std::erase_if(samples, [now](const Sample &sample) { return now >= sample.endedAt + sampleLifetime; });
    return samples;
}

double RunTimes::fractionAbove(const std::string &route, milliseconds elapsed, milliseconds longest, Core::TimePoint now) const
{
    const std::vector<Sample> samples = recentSamples(route, now);
    const double overdue = overdueFraction(route, samples, longest, now);
    const auto countAbove = [&samples](milliseconds bound) {
        return std::count_if(samples.begin(), samples.end(), [bound](const Sample &sample) { return sample.took > bound; });
    };
    const auto comparable = countAbove(elapsed);
    if (comparable == 0) {
        return std::max(overdue, fractionLastingTo(longest, elapsed));
    }
    const double fraction = static_cast<double>(countAbove(longest)) / static_cast<double>(comparable);
    // What has begun is judged by all: short calls end first, so that the latest to end are long while nothing new is sent.
    return std::max({overdue, fraction, elapsed == milliseconds(0) ? latestFraction(samples, longest) : 0});
}

// The fraction of the latest answers, if it is so large that the work must have changed; else 0, as so few say little of a rare kind of call.
double RunTimes::latestFraction(const std::vector<Sample> &samples, milliseconds longest)
{
    const std::size_t count = std::min(samples.size(), latestWindow);
    if (count < fewestOfLatest) {
        return 0;
    }
    const auto latest = samples.end() - static_cast<std::ptrdiff_t>(count);
    const auto above = std::count_if(latest, samples.end(), [longest](const Sample &sample) { return sample.took > longest; });
    const double fraction = static_cast<double>(above) / static_cast<double>(count);
    return fraction >= changedFraction ? fraction : 0;
}

// Calls that run for longer than any answer took are of a kind that the answers say nothing of. How many calls are of that kind follows from how many answers
// ended while the oldest of them ran.
double RunTimes::overdueFraction(const std::string &route, const std::vector<Sample> &samples, milliseconds longest, Core::TimePoint now) const
{
    const auto running = m_running.find(route);
    if (running == m_running.end()) {
        return 0;
    }
    milliseconds longestTaken{0};
    for (const Sample &sample : samples) {
        longestTaken = std::max(longestTaken, sample.took);
    }
    const auto overdue
        = std::count_if(running->second.begin(), running->second.end(), [longestTaken, now](Core::TimePoint sentAt) { return sentAt + longestTaken < now; });
    if (overdue == 0) {
        return 0;
    }
    const Core::TimePoint oldest = *std::min_element(running->second.begin(), running->second.end());
    const auto ended = std::count_if(samples.begin(), samples.end(), [oldest](const Sample &sample) { return sample.endedAt >= oldest; });
    const double part = static_cast<double>(overdue) / static_cast<double>(overdue + ended);
    return part * fractionLastingTo(longest, duration_cast<milliseconds>(now - oldest));
}

} // namespace Verbena::Decisions
