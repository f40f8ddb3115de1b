#include "ledger.h"

#include <algorithm>

namespace Verbena::Soak {

namespace {

// Within it all routers know of the cause of the last of so many crashes; so many more may follow.
constexpr std::chrono::seconds contactTime{3};
constexpr int mostRetries = 3;

// Time within which a request may have been sent while its router was closing the idle connection.
constexpr std::chrono::milliseconds crossingTime{200};

int knownCrashes(CrashCause cause)
{
    return cause == CrashCause::Request ? 3 : 5;
}

// The platform allows no shorter interval between orders of two holders.
constexpr std::chrono::seconds handoverInterval{3};

std::string describe(const Order &order)
{
    return order.holder + " with fence " + std::to_string(order.fence);
}

} // namespace

Ledger::Ledger(std::function<Core::TimePoint()> now)
    : m_now(std::move(now))
    , m_begin(m_now())
{
}

void Ledger::noteRun(const std::string &id, bool mayRepeat)
{
    ++m_allRuns;
    m_passedOn.insert(id);
    if (mayRepeat) {
        return;
    }
    if (++m_runs[id] > 1) {
        noteBrokenRequest(id, "ran twice");
    }
    if (m_promised.contains(id)) {
        noteBrokenRequest(id, "ran after its caller was told that it never would");
    }
}

void Ledger::noteRunEnd(const std::string &id)
{
    m_finished.try_emplace(id, m_now());
}

bool Ledger::wasAtWork(const std::string &id, Core::TimePoint time) const
{
    const auto finished = m_finished.find(id);
    return m_passedOn.contains(id) && (finished == m_finished.end() || finished->second >= time);
}

bool Ledger::hasReachedServer(const std::string &id) const
{
    return m_passedOn.contains(id);
}

void Ledger::noteBrokenOff(const std::string &id)
{
    m_brokenOff.insert(id);
}

bool Ledger::isBrokenOff(const std::string &id) const
{
    return m_brokenOff.contains(id);
}

void Ledger::noteUnanswered(const std::string &router, const std::string &id, std::chrono::milliseconds waited)
{
    if (m_passedOn.contains(id) || waited > crossingTime) {
        const std::string passed = m_passedOn.contains(id) ? ", after it had reached a backend server" : "";
        noteBroken(router, "ended the request " + id + " without an answer " + std::to_string(waited.count()) + " ms after it was sent" + passed, id);
    }
}

void Ledger::notePromise(const std::string &id, bool mayRepeat)
{
    if (mayRepeat) {
        return;
    }
    m_promised.insert(id);
    if (m_runs.contains(id)) {
        noteBrokenRequest(id, "was said not to have run, and had");
    }
}

void Ledger::noteCrash(CrashCause cause, Core::TimePoint now)
{
    Crashes &crashes = m_crashes[cause];
    if (++crashes.count == knownCrashes(cause)) {
        crashes.knownSince = now;
    }
    if (crashes.count > knownCrashes(cause) && now > crashes.knownSince + contactTime && ++crashes.retries > mostRetries) {
        const std::string what = cause == CrashCause::Request ? "the request that crashes servers" : "a request with the part that crashes servers";
        noteBroken(what, "reached one again, crash " + std::to_string(crashes.count));
    }
}

int Ledger::crashes(CrashCause cause) const
{
    const auto crashes = m_crashes.find(cause);
    return crashes == m_crashes.end() ? 0 : crashes->second.count;
}

// Another process may take over an engine's orders, but only after the interval and with a higher fence.
void Ledger::noteOrder(const std::string &engine, const Order &order)
{
    const auto found = m_lastOrders.find(engine);
    if (found != m_lastOrders.end()) {
        const Order &last = found->second;
        const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(order.receivedAt - last.receivedAt);
        const bool isOther = last.holder != order.holder;
        const std::string orders = describe(order) + ", " + std::to_string(interval.count()) + " ms after " + describe(last);
        if (isOther && (interval < handoverInterval || last.fence == order.fence)) {
            noteBroken("engine " + engine, "got orders of two holders: " + orders);
        }
        if (last.fence > order.fence) {
            noteBroken("engine " + engine, "got a fence below an earlier one: " + orders);
        }
    }
    m_lastOrders[engine] = order;
}

void Ledger::noteBroken(const std::string &where, const std::string &what, const std::string &request)
{
    m_broken.push_back({std::chrono::duration_cast<std::chrono::milliseconds>(m_now() - m_begin), where, what, request});
}

void Ledger::noteBrokenRequest(const std::string &id, const std::string &what)
{
    noteBroken("request " + id, what, id);
}

void Ledger::notePeak(const std::string &program, std::uint64_t megabytes)
{
    m_peaks[program] = std::max(m_peaks[program], megabytes);
}

const std::map<std::string, std::uint64_t> &Ledger::peaks() const
{
    return m_peaks;
}

void Ledger::noteServed()
{
    ++m_served;
}

const std::vector<Verdict> &Ledger::broken() const
{
    return m_broken;
}

int Ledger::served() const
{
    return m_served;
}

int Ledger::runs() const
{
    return m_allRuns;
}

} // namespace Verbena::Soak
