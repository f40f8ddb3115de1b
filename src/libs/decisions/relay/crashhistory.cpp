#include "crashhistory.h"

#include <algorithm>
#include <array>

namespace Verbena::Decisions {

using namespace std::chrono_literals;

namespace {

// Retention of a subject with a single crash. Most requests that only ran beside a crashing one are never sent again; a crashing one is sent again soon.
constexpr auto singleCrashRetention = 10min;

// Retention of a suspected subject; longer than the longest delay between trials.
constexpr auto suspicionRetention = 48h;

// Time for which cleared crashes are ignored. Other routers may report a crash some time after it was cleared.
constexpr auto clearedRetention = 1min;
constexpr std::size_t maximumCleared = 8192;

// Maximum number of subjects of one kind recorded for one organisation, so that an organisation with many different ones evicts only its own records.
constexpr std::size_t maximumEntriesPerGroup = 512;

// Delays from one trial to the next. A subject is tried again because the software of the servers may have been fixed.
constexpr std::array<std::chrono::seconds, 4> trialDelays{30s, 5min, 1h, 24h};

// Delay to the next trial of a subject whose crashes all have another cause; most trials end sooner.
constexpr auto otherCauseTrialDelay = 1s;

} // namespace

std::pair<CrashSubject, std::string> CrashRecord::key() const
{
    return {subject, server};
}

bool CrashHistory::record(const CrashRecord &record, Core::TimePoint now)
{
    const auto cleared = m_cleared.find(record.key());
    if (cleared != m_cleared.end() && now < cleared->second) {
        return false;
    }
    auto entry = m_entries.find(record.subject);
    if (entry == m_entries.end()) {
        const EntryGroup group{record.organisation, record.subject.kind()};
        if (!evictForNewEntry(group)) {
            return false;
        }
        entry = m_entries.emplace(record.subject, Entry{record.organisation, {}, now}).first;
        ++m_entryCounts[group];
    }
    if (!entry->second.servers.insert(record.server).second) {
        return false;
    }
    entry->second.lastCrashAt = now;
    return true;
}

CrashHistory::EntryGroup CrashHistory::groupOf(const Entries::value_type &entry)
{
    return {entry.second.organisation, entry.first.kind()};
}

// Evicts the oldest subject with a single crash; suspected subjects stay.
bool CrashHistory::evictForNewEntry(const EntryGroup &group)
{
    const auto entryCount = m_entryCounts.find(group);
    if (entryCount == m_entryCounts.end() || entryCount->second < maximumEntriesPerGroup) {
        return true;
    }
    auto oldest = m_entries.end();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        const bool isCandidate = groupOf(*entry) == group && entry->second.servers.size() < suspicionThreshold;
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
    const auto entryCount = m_entryCounts.find(groupOf(*entry));
    if (--entryCount->second == 0) {
        m_entryCounts.erase(entryCount);
    }
    m_entries.erase(entry);
}

void CrashHistory::markCleared(const std::pair<CrashSubject, std::string> &key, Core::TimePoint now)
{
    if (m_cleared.size() >= maximumCleared) {
        m_cleared.erase(m_cleared.begin());
    }
    m_cleared[key] = now + clearedRetention;
}

void CrashHistory::retract(const std::pair<CrashSubject, std::string> &key, Core::TimePoint now)
{
    markCleared(key, now);
    const auto entry = m_entries.find(key.first);
    if (entry != m_entries.end() && entry->second.servers.erase(key.second) > 0 && entry->second.servers.empty()) {
        removeEntry(entry);
    }
}

std::vector<CrashRecord> CrashHistory::records(const CrashSubject &subject) const
{
    std::vector<CrashRecord> records;
    const auto entry = m_entries.find(subject);
    if (entry != m_entries.end()) {
        for (const std::string &server : entry->second.servers) {
            records.push_back({subject, server, entry->second.organisation});
        }
    }
    return records;
}

std::vector<CrashRecord> CrashHistory::clear(const CrashSubject &subject, Core::TimePoint now)
{
    std::vector<CrashRecord> records = this->records(subject);
    if (records.empty()) {
        return records;
    }
    for (const CrashRecord &record : records) {
        markCleared(record.key(), now);
    }
    removeEntry(m_entries.find(subject));
    m_trials.erase(subject);
    return records;
}

bool CrashHistory::isEmpty() const
{
    return m_entries.empty();
}

std::size_t CrashHistory::crashCount(const CrashSubject &subject) const
{
    const auto entry = m_entries.find(subject);
    return entry == m_entries.end() ? 0 : entry->second.servers.size();
}

bool CrashHistory::isSuspected(const CrashSubject &subject) const
{
    return crashCount(subject) >= suspicionThreshold;
}

// The delay starts when this process reads of the trial, so that a process that has just started waits for the whole delay and never for less.
void CrashHistory::setTrials(const CrashSubject &subject, std::uint32_t count, std::uint64_t revision, Core::TimePoint now)
{
    Trials &known = m_trials[subject];
    if (known.count == count && known.revision == revision) {
        return;
    }
    known.count = count;
    known.revision = revision;
    known.learnedAt = now;
    known.nextTrialAt = count == 0 ? now : now + trialDelays[std::min<std::size_t>(count, trialDelays.size()) - 1];
}

void CrashHistory::removeTrials(const CrashSubject &subject)
{
    m_trials.erase(subject);
}

CrashHistory::Trials CrashHistory::trials(const CrashSubject &subject) const
{
    const auto known = m_trials.find(subject);
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
    for (const auto &[subject, entry] : m_entries) {
        if (entry.servers.size() < suspicionThreshold) {
            continue;
        }
        for (const std::string &server : entry.servers) {
            if (records.size() < limit) {
                records.push_back({subject, server, entry.organisation});
            }
        }
    }
    return records;
}

std::size_t CrashHistory::suspectedCount(CrashSubject::Kind kind) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [kind](const auto &entry) {
        return entry.first.kind() == kind && entry.second.servers.size() >= suspicionThreshold;
    }));
}

// A failed trial says nothing about the other suspects, which stay free to run as trials of their own. With equal counts, a whole request is tried before its
// parts and a later part before an earlier one, which more requests share and which a failed trial would hold back with all of them.
CrashSubject CrashHistory::trialSubject(const std::vector<CrashSubject> &suspects) const
{
    CrashSubject chosen = suspects.front();
    for (const CrashSubject &suspect : suspects) {
        const std::size_t count = crashCount(suspect);
        const std::size_t chosenCount = crashCount(chosen);
        const bool isLaterPart = count == chosenCount && chosen.kind() == CrashSubject::Kind::PromptPart;
        if (count > chosenCount || isLaterPart) {
            chosen = suspect;
        }
    }
    return chosen;
}

// Returns whether another suspect, which is not among those of a request, was there in each crash of a subject. A part that all requests share fails its trial
// if a server runs the crashing part beside it. If it is the cause itself, its next crash is one without the other.
bool CrashHistory::hasOtherCause(const CrashSubject &subject, const std::vector<CrashSubject> &suspects) const
{
    const auto own = m_entries.find(subject);
    if (own == m_entries.end()) {
        return false;
    }
    const Entry &crashes = own->second;
    return std::any_of(m_entries.begin(), m_entries.end(), [&crashes, &suspects](const auto &entry) {
        const std::set<std::string> &servers = entry.second.servers;
        return entry.second.organisation == crashes.organisation && servers.size() >= suspicionThreshold
            && std::find(suspects.begin(), suspects.end(), entry.first) == suspects.end()
            && std::includes(servers.begin(), servers.end(), crashes.servers.begin(), crashes.servers.end());
    });
}

Core::TimePoint CrashHistory::nextTrialTime(const std::vector<CrashSubject> &suspects) const
{
    Core::TimePoint time{};
    for (const CrashSubject &suspect : suspects) {
        const Trials known = trials(suspect);
        const bool seemsInnocent = known.count > 0 && hasOtherCause(suspect, suspects);
        time = std::max(time, seemsInnocent ? std::min(known.nextTrialAt, known.learnedAt + otherCauseTrialDelay) : known.nextTrialAt);
    }
    return time;
}

// A trial of a subject that seems innocent does not delay the next one any further.
std::uint32_t CrashHistory::nextTrialCount(const CrashSubject &subject, const std::vector<CrashSubject> &suspects) const
{
    const std::uint32_t count = trials(subject).count;
    return count > 0 && hasOtherCause(subject, suspects) ? count : count + 1;
}

} // namespace Verbena::Decisions
