#include "crashrowwriter.h"

#include "relayevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// The most that the users' store takes in one transaction.
constexpr std::size_t rowsAtOnce = 100;

// Rows that are due within it go together.
constexpr milliseconds gatherTime{2};

// Several times what a slow store takes.
constexpr milliseconds answerTime{700};
constexpr milliseconds retryPause{300};

// Beyond it the store has been away through many crashes; what is written last is what is still of use.
constexpr std::size_t mostWaiting = 4096;

} // namespace

CrashRowWriter::CrashRowWriter(EventLoop::Loop &loop, Store::RowStore &store, std::string table)
    : m_loop(loop)
    , m_store(store)
    , m_table(std::move(table))
    , m_timer(loop, [this] { send(); })
{
}

void CrashRowWriter::write(const std::string &key, const std::string &value, Core::TimePoint due)
{
    if (m_waiting.size() >= mostWaiting && !m_waiting.contains(key)) {
        m_waiting.erase(m_waiting.begin());
    }
    Waiting &row = m_waiting.try_emplace(key, Waiting{value, due}).first->second;
    row.value = value;
    row.due = std::min(row.due, due);
    schedule();
}

void CrashRowWriter::remove(const std::string &key, Core::TimePoint due)
{
    const auto waiting = m_waiting.find(key);
    if (waiting != m_waiting.end() && waiting->second.value.has_value() && !waiting->second.isSent) {
        m_waiting.erase(waiting);
        return;
    }
    m_waiting[key] = {std::nullopt, due, waiting != m_waiting.end()};
    schedule();
}

bool CrashRowWriter::isFailing() const
{
    return m_isFailing;
}

void CrashRowWriter::schedule()
{
    if (m_isSending || m_waiting.empty()) {
        return;
    }
    const auto isEarlier = [](const auto &one, const auto &other) {
        return one.second.due < other.second.due;
    };
    const Core::TimePoint first = std::min_element(m_waiting.begin(), m_waiting.end(), isEarlier)->second.due;
    m_timer.startAt(std::max(m_nextTry, first + gatherTime));
}

void CrashRowWriter::send()
{
    const Core::TimePoint now = m_loop.now();
    std::map<std::string, std::optional<std::string>> sent;
    std::vector<Store::RowWrite> writes;
    for (auto &[key, row] : m_waiting) {
        if (row.due <= now && writes.size() < rowsAtOnce) {
            row.isSent = true;
            sent.emplace(key, row.value);
            writes.push_back({key, row.value, std::nullopt});
        }
    }
    if (writes.empty()) {
        schedule();
        return;
    }
    m_isSending = true;
    const auto take = [this, sent](const Store::CommitAnswer &answer) {
        takeCommit(sent, answer);
    };
    m_store.commit(m_table, writes, now + answerTime, m_lifetime.guard(take));
}

void CrashRowWriter::takeCommit(const std::map<std::string, std::optional<std::string>> &sent, const Store::CommitAnswer &answer)
{
    m_isSending = false;
    m_isFailing = answer.outcome != Store::CommitOutcome::Committed;
    if (!m_isFailing) {
        std::erase_if(m_waiting, [&sent](const auto &row) {
            const auto written = sent.find(row.first);
            return written != sent.end() && written->second == row.second.value;
        });
    } else {
        m_nextTry = m_loop.now() + retryPause;
        Observe::log(crashRowsUnwritten, {{"rows", std::to_string(m_waiting.size())}, {"detail", answer.detail}});
    }
    schedule();
}

} // namespace Verbena::Relay
