#include "feedreporter.h"

#include "relayevents.h"

#include <observe/eventlog.h>

namespace Verbena::Relay {

FeedReporter::FeedReporter(Store::RowMirror &mirror)
    : m_mirror(mirror)
{
}

void FeedReporter::handleLost(const std::string &table, const Core::Error &error)
{
    Observe::log(feedLost, error, {{"table", table}});
}

void FeedReporter::handleRegained(const std::string &table)
{
    Observe::log(feedRegained, {{"table", table}});
}

void FeedReporter::handleVerified(const std::string &table, Store::StoreTime verifiedAt, std::uint64_t coveredRevision)
{
    m_isStale = false;
    m_mirror.setVerified(table, verifiedAt, coveredRevision);
}

void FeedReporter::handleStaleAnswer(const std::string &table, const Store::StaleAnswer &answer)
{
    if (m_isStale) {
        return;
    }
    m_isStale = true;
    Observe::log(answerFromThePast,
        {{"table", table},
            {"revision", std::to_string(answer.revision)},
            {"known", std::to_string(answer.knownRevision)},
            {"said_ms", answer.answerAge.has_value() ? std::to_string(answer.answerAge->count()) : ""}});
}

} // namespace Verbena::Relay
