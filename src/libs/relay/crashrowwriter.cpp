#include "crashrowwriter.h"

#include "relayevents.h"

#include <eventloop/loop.h>
#include <observe/eventlog.h>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// The most that the users' store takes in one transaction.
constexpr std::size_t rowsAtOnce = 100;

// Rows that come in the same moment go together.
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

void CrashRowWriter::write(const std::string &key, std::optional<std::string> value)
{
    if (m_waiting.size() >= mostWaiting && !m_waiting.contains(key)) {
        m_waiting.erase(m_waiting.begin());
    }
    m_waiting[key] = std::move(value);
    if (!m_isSending && !m_timer.isActive()) {
        m_timer.startAt(m_loop.now() + gatherTime);
    }
}

void CrashRowWriter::send()
{
    if (m_isSending || m_waiting.empty()) {
        return;
    }
    m_isSending = true;
    std::map<std::string, std::optional<std::string>> sent;
    std::vector<Store::RowWrite> writes;
    for (const auto &[key, value] : m_waiting) {
        if (writes.size() == rowsAtOnce) {
            break;
        }
        sent.emplace(key, value);
        writes.push_back({key, value, std::nullopt});
    }
    const auto take = [this, sent](const Store::CommitAnswer &answer) {
        takeCommit(sent, answer);
    };
    m_store.commit(m_table, writes, m_loop.now() + answerTime, m_lifetime.guard(take));
}

void CrashRowWriter::takeCommit(const std::map<std::string, std::optional<std::string>> &sent, const Store::CommitAnswer &answer)
{
    m_isSending = false;
    const bool isCommitted = answer.outcome == Store::CommitOutcome::Committed;
    if (isCommitted) {
        std::erase_if(m_waiting, [&sent](const auto &row) {
            const auto written = sent.find(row.first);
            return written != sent.end() && written->second == row.second;
        });
    } else {
        Observe::log(crashRowsUnwritten, {{"rows", std::to_string(m_waiting.size())}, {"detail", answer.detail}});
    }
    if (!m_waiting.empty()) {
        m_timer.startAt(m_loop.now() + (isCommitted ? gatherTime : retryPause));
    }
}

} // namespace Verbena::Relay
