#include "crashledger.h"

#include <algorithm>
#include <array>

namespace Verbena::Decisions {

using namespace std::chrono_literals;

namespace {

// A request that ran beside one that crashed its server mostly never comes again; one that crashes servers comes again soon.
constexpr auto singleCrashTime = 10min;

// Longer than the longest pause between trials.
constexpr auto suspicionTime = 48h;

// Routers may tell each other of a crash some time after somebody else cleared it.
constexpr auto clearedTime = 1min;
constexpr std::size_t mostCleared = 8192;

// Of one organisation, so that one that sends many different requests pushes out its own records only.
constexpr std::size_t mostRequests = 512;

// After each trial, until the next one: the software of the servers may have been mended.
constexpr std::array<std::chrono::seconds, 4> trialPauses{30s, 5min, 1h, 24h};

} // namespace

std::pair<RequestIdentity, std::string> CrashRecord::key() const
{
    return {request, server};
}

bool CrashLedger::note(const CrashRecord &record, Core::TimePoint now)
{
    const auto cleared = m_cleared.find(record.key());
    if (cleared != m_cleared.end() && now < cleared->second) {
        return false;
    }
    auto entry = m_entries.find(record.request);
    if (entry == m_entries.end()) {
        if (!makeRoom(record.organisation)) {
            return false;
        }
        entry = m_entries.emplace(record.request, Entry{record.organisation, {}, now}).first;
        ++m_byOrganisation[record.organisation];
    }
    if (!entry->second.servers.insert(record.server).second) {
        return false;
    }
    entry->second.latest = now;
    return true;
}

// One that is only known from one crash gives way to a new one; suspected ones stay.
bool CrashLedger::makeRoom(const std::string &organisation)
{
    const auto held = m_byOrganisation.find(organisation);
    if (held == m_byOrganisation.end() || held->second < mostRequests) {
        return true;
    }
    auto oldest = m_entries.end();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        const bool isCandidate = entry->second.organisation == organisation && entry->second.servers.size() < suspectedFrom;
        if (isCandidate && (oldest == m_entries.end() || entry->second.latest < oldest->second.latest)) {
            oldest = entry;
        }
    }
    if (oldest == m_entries.end()) {
        return false;
    }
    drop(oldest);
    return true;
}

void CrashLedger::drop(Entries::iterator entry)
{
    const auto held = m_byOrganisation.find(entry->second.organisation);
    if (--held->second == 0) {
        m_byOrganisation.erase(held);
    }
    m_entries.erase(entry);
}

void CrashLedger::remember(const std::pair<RequestIdentity, std::string> &key, Core::TimePoint now)
{
    if (m_cleared.size() >= mostCleared) {
        m_cleared.erase(m_cleared.begin());
    }
    m_cleared[key] = now + clearedTime;
}

void CrashLedger::takeBack(const std::pair<RequestIdentity, std::string> &key, Core::TimePoint now)
{
    remember(key, now);
    const auto entry = m_entries.find(key.first);
    if (entry != m_entries.end() && entry->second.servers.erase(key.second) > 0 && entry->second.servers.empty()) {
        drop(entry);
    }
}

std::vector<CrashRecord> CrashLedger::records(const RequestIdentity &request) const
{
    std::vector<CrashRecord> records;
    const auto entry = m_entries.find(request);
    if (entry != m_entries.end()) {
        for (const std::string &server : entry->second.servers) {
            records.push_back({request, server, entry->second.organisation});
        }
    }
    return records;
}

std::vector<CrashRecord> CrashLedger::clear(const RequestIdentity &request, Core::TimePoint now)
{
    std::vector<CrashRecord> records = this->records(request);
    if (records.empty()) {
        return records;
    }
    for (const CrashRecord &record : records) {
        remember(record.key(), now);
    }
    drop(m_entries.find(request));
    m_trials.erase(request);
    return records;
}

bool CrashLedger::isEmpty() const
{
    return m_entries.empty();
}

std::size_t CrashLedger::crashes(const RequestIdentity &request) const
{
    const auto entry = m_entries.find(request);
    return entry == m_entries.end() ? 0 : entry->second.servers.size();
}

bool CrashLedger::isSuspected(const RequestIdentity &request) const
{
    return crashes(request) >= suspectedFrom;
}

// The pause runs from the moment at which this process learned of the trial: one that starts waits for all of it, never for less.
void CrashLedger::noteTrials(const RequestIdentity &request, std::uint32_t count, std::uint64_t revision, Core::TimePoint now)
{
    Trials &known = m_trials[request];
    if (known.count == count && known.revision == revision) {
        return;
    }
    known.count = count;
    known.revision = revision;
    known.nextTime = count == 0 ? now : now + trialPauses[std::min<std::size_t>(count, trialPauses.size()) - 1];
}

void CrashLedger::forgetTrials(const RequestIdentity &request)
{
    m_trials.erase(request);
}

CrashLedger::Trials CrashLedger::trials(const RequestIdentity &request) const
{
    const auto known = m_trials.find(request);
    return known == m_trials.end() ? Trials() : known->second;
}

std::vector<CrashRecord> CrashLedger::expire(Core::TimePoint now)
{
    std::erase_if(m_cleared, [now](const auto &cleared) { return now >= cleared.second; });
    std::vector<CrashRecord> expired;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto current = entry++;
        const bool isSuspect = current->second.servers.size() >= suspectedFrom;
        if (now < current->second.latest + (isSuspect ? std::chrono::milliseconds(suspicionTime) : std::chrono::milliseconds(singleCrashTime))) {
            continue;
        }
        for (const std::string &server : current->second.servers) {
            expired.push_back({current->first, server, current->second.organisation});
        }
        m_trials.erase(current->first);
        drop(current);
    }
    return expired;
}

std::vector<CrashRecord> CrashLedger::suspicions(std::size_t most) const
{
    std::vector<CrashRecord> records;
    for (const auto &[request, entry] : m_entries) {
        if (entry.servers.size() < suspectedFrom) {
            continue;
        }
        for (const std::string &server : entry.servers) {
            if (records.size() < most) {
                records.push_back({request, server, entry.organisation});
            }
        }
    }
    return records;
}

std::size_t CrashLedger::suspectedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto &entry) { return entry.second.servers.size() >= suspectedFrom; }));
}

} // namespace Verbena::Decisions
