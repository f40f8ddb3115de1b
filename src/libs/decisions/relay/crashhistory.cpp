#include "crashhistory.h"

#include <algorithm>
#include <array>

namespace Verbena::Decisions {

using namespace std::chrono_literals;

namespace {

// Retention of a request with a single crash. Most requests that only ran beside a crashing one are never sent again; a crashing one is sent again soon.
constexpr auto singleCrashRetention = 10min;

// Retention of a suspected request; longer than the longest delay between trials.
constexpr auto suspicionRetention = 48h;

// Time for which cleared crashes are ignored. Other routers may report a crash some time after it was cleared.
constexpr auto clearedRetention = 1min;
constexpr std::size_t maximumCleared = 8192;

// Maximum number of requests recorded for one organisation, so that an organisation with many different requests evicts only its own records.
constexpr std::size_t maximumRequestsPerOrganisation = 512;

// Delays from one trial to the next. A request is tried again because the software of the servers may have been fixed.
constexpr std::array<std::chrono::seconds, 4> trialDelays{30s, 5min, 1h, 24h};

} // namespace

std::pair<RequestIdentity, std::string> CrashRecord::key() const
{
    return {request, server};
}

bool CrashHistory::record(const CrashRecord &record, Core::TimePoint now)
{
    const auto cleared = m_cleared.find(record.key());
    if (cleared != m_cleared.end() && now < cleared->second) {
        return false;
    }
    auto entry = m_entries.find(record.request);
    if (entry == m_entries.end()) {
        if (!evictForNewRequest(record.organisation)) {
            return false;
        }
        entry = m_entries.emplace(record.request, Entry{record.organisation, {}, now}).first;
        ++m_entryCounts[record.organisation];
    }
    if (!entry->second.servers.insert(record.server).second) {
        return false;
    }
    entry->second.lastCrashAt = now;
    return true;
}

// Evicts the oldest request with a single crash; suspected requests stay.
bool CrashHistory::evictForNewRequest(const std::string &organisation)
{
    const auto entryCount = m_entryCounts.find(organisation);
    if (entryCount == m_entryCounts.end() || entryCount->second < maximumRequestsPerOrganisation) {
        return true;
    }
    auto oldest = m_entries.end();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        const bool isCandidate = entry->second.organisation == organisation && entry->second.servers.size() < suspicionThreshold;
        if (isCandidate && (oldest == m_entries.end() || entry->second.lastCrashAt < oldest->second.lastCrashAt)) {
            oldest = entry;
        }
    }
    if (oldest == m_entries.end()) {
        return false;
    }
    removeEntry(oldest);
    return true;
}

void CrashHistory::removeEntry(Entries::iterator entry)
{
    const auto entryCount = m_entryCounts.find(entry->second.organisation);
    if (--entryCount->second == 0) {
        m_entryCounts.erase(entryCount);
    }
    m_entries.erase(entry);
}

void CrashHistory::markCleared(const std::pair<RequestIdentity, std::string> &key, Core::TimePoint now)
{
    if (m_cleared.size() >= maximumCleared) {
        m_cleared.erase(m_cleared.begin());
    }
    m_cleared[key] = now + clearedRetention;
}

void CrashHistory::retract(const std::pair<RequestIdentity, std::string> &key, Core::TimePoint now)
{
    markCleared(key, now);
    const auto entry = m_entries.find(key.first);
    if (entry != m_entries.end() && entry->second.servers.erase(key.second) > 0 && entry->second.servers.empty()) {
        removeEntry(entry);
    }
}

std::vector<CrashRecord> CrashHistory::records(const RequestIdentity &request) const
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

std::vector<CrashRecord> CrashHistory::clear(const RequestIdentity &request, Core::TimePoint now)
{
    std::vector<CrashRecord> records = this->records(request);
    if (records.empty()) {
        return records;
    }
    for (const CrashRecord &record : records) {
        markCleared(record.key(), now);
    }
    removeEntry(m_entries.find(request));
    m_trials.erase(request);
    return records;
}

bool CrashHistory::isEmpty() const
{
    return m_entries.empty();
}

std::size_t CrashHistory::crashCount(const RequestIdentity &request) const
{
    const auto entry = m_entries.find(request);
    return entry == m_entries.end() ? 0 : entry->second.servers.size();
}

bool CrashHistory::isSuspected(const RequestIdentity &request) const
{
    return crashCount(request) >= suspicionThreshold;
}

// The delay starts when this process reads of the trial, so that a process that has just started waits for the whole delay and never for less.
void CrashHistory::setTrials(const RequestIdentity &request, std::uint32_t count, std::uint64_t revision, Core::TimePoint now)
{
    Trials &known = m_trials[request];
    if (known.count == count && known.revision == revision) {
        return;
    }
    known.count = count;
    known.revision = revision;
    known.nextTrialAt = count == 0 ? now : now + trialDelays[std::min<std::size_t>(count, trialDelays.size()) - 1];
}

void CrashHistory::removeTrials(const RequestIdentity &request)
{
    m_trials.erase(request);
}

CrashHistory::Trials CrashHistory::trials(const RequestIdentity &request) const
{
    const auto known = m_trials.find(request);
    return known == m_trials.end() ? Trials() : known->second;
}

std::vector<CrashRecord> CrashHistory::expire(Core::TimePoint now)
{
    std::erase_if(m_cleared, [now](const auto &cleared) { return now >= cleared.second; });
    std::vector<CrashRecord> expired;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto current = entry++;
        const bool isSuspect = current->second.servers.size() >= suspicionThreshold;
        if (now < current->second.lastCrashAt + (isSuspect ? std::chrono::milliseconds(suspicionRetention) : std::chrono::milliseconds(singleCrashRetention))) {
            continue;
        }
        for (const std::string &server : current->second.servers) {
            expired.push_back({current->first, server, current->second.organisation});
        }
        m_trials.erase(current->first);
        removeEntry(current);
    }
    return expired;
}

std::vector<CrashRecord> CrashHistory::suspectedRecords(std::size_t limit) const
{
    std::vector<CrashRecord> records;
    for (const auto &[request, entry] : m_entries) {
        if (entry.servers.size() < suspicionThreshold) {
            continue;
        }
        for (const std::string &server : entry.servers) {
            if (records.size() < limit) {
                records.push_back({request, server, entry.organisation});
            }
        }
    }
    return records;
}

std::size_t CrashHistory::suspectedRequestCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto &entry) { return entry.second.servers.size() >= suspicionThreshold; }));
}

} // namespace Verbena::Decisions
