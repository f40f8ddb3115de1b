#include "feedreport.h"

#include "relayevents.h"

#include <observe/eventlog.h>

namespace Verbena::Relay {

FeedReport::FeedReport(Store::RowMirror &mirror)
    : m_mirror(mirror)
{
}

void FeedReport::lost(const std::string &table, const Core::Error &error)
{
    Observe::log(feedLost, error, {{"table", table}});
}

void FeedReport::regained(const std::string &table)
{
    Observe::log(feedRegained, {{"table", table}});
}

void FeedReport::verified(const std::string &table, Store::StoreTime verifiedAt, std::uint64_t coveredRevision)
{
    m_isRefusing = false;
    m_mirror.setVerified(table, verifiedAt, coveredRevision);
}

void FeedReport::refused(const std::string &table, const Store::StaleAnswer &answer)
{
    if (m_isRefusing) {
        return;
    }
    m_isRefusing = true;
    Observe::log(answerFromThePast,
        {{"table", table},
            {"revision", std::to_string(answer.revision)},
            {"known", std::to_string(answer.knownRevision)},
            {"said_ms", answer.answerAge.has_value() ? std::to_string(answer.answerAge->count()) : ""}});
}

} // namespace Verbena::Relay
