#include "rowwriter.h"

#include "relayevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// The users' store accepts no more rows in one transaction.
constexpr std::size_t maximumRowsPerCommit = 100;

// Rows that become due within this time are committed together.
constexpr milliseconds batchDelay{2};

// Several times the response time of a slow store.
constexpr milliseconds commitTimeout{700};
constexpr milliseconds retryDelay{300};

// Reached only if the store is unavailable during many changes; from then on a new row displaces a pending one, as the newest are the most useful.
constexpr std::size_t maximumPendingRows = 4096;

} // namespace

RowWriter::RowWriter(EventLoop::Loop &loop, Store::RowStore &store, std::string table)
    : m_loop(loop)
    , m_store(store)
    , m_table(std::move(table))
    , m_timer(loop, [this] { send(); })
{
}

void RowWriter::write(const std::string &key, const std::string &value, Core::TimePoint due)
{
    if (m_pendingRows.size() >= maximumPendingRows && !m_pendingRows.contains(key)) {
        m_pendingRows.erase(m_pendingRows.begin());
    }
    PendingRow &row = m_pendingRows.try_emplace(key, PendingRow{value, due}).first->second;
    row.value = value;
    row.due = std::min(row.due, due);
    schedule();
}

void RowWriter::remove(const std::string &key, Core::TimePoint due)
{
    const auto pending = m_pendingRows.find(key);
    if (pending != m_pendingRows.end() && pending->second.value.has_value() && !pending->second.isSent) {
        m_pendingRows.erase(pending);
        return;
    }
    m_pendingRows[key] = {std::nullopt, due, pending != m_pendingRows.end()};
    schedule();
}

bool RowWriter::isUnconfirmed() const
{
    return m_isSending || m_isFailing;
}

void RowWriter::schedule()
{
    if (m_isSending || m_pendingRows.empty()) {
        return;
    }
    const auto isEarlier = [](const auto &one, const auto &other) {
        return one.second.due < other.second.due;
    };
    const Core::TimePoint first = std::min_element(m_pendingRows.begin(), m_pendingRows.end(), isEarlier)->second.due;
    m_timer.startAt(std::max(m_nextAttempt, first + batchDelay));
}

void RowWriter::send()
{
    const Core::TimePoint now = m_loop.now();
    std::map<std::string, std::optional<std::string>> sent;
    std::vector<Store::RowWrite> writes;
    for (auto &[key, row] : m_pendingRows) {
        if (row.due <= now && writes.size() < maximumRowsPerCommit) {
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
    const auto handleAnswer = [this, sent](const Store::CommitAnswer &answer) {
        handleCommitAnswer(sent, answer);
    };
    m_store.commit(m_table, writes, now + commitTimeout, m_lifetime.guard(handleAnswer));
}

void RowWriter::handleCommitAnswer(const std::map<std::string, std::optional<std::string>> &sent, const Store::CommitAnswer &answer)
{
    m_isSending = false;
    m_isFailing = answer.outcome != Store::CommitOutcome::Committed;
    if (!m_isFailing) {
        std::erase_if(m_pendingRows, [&sent](const auto &row) {
            const auto written = sent.find(row.first);
            return written != sent.end() && written->second == row.second.value;
        });
    } else {
        m_nextAttempt = m_loop.now() + retryDelay;
        Observe::log(rowsUnwritten, {{"table", m_table}, {"rows", std::to_string(m_pendingRows.size())}, {"detail", answer.detail}});
    }
    schedule();
}

} // namespace Verbena::Relay
