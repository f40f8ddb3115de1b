#pragma once

#include <store/rowmirror.h>
#include <store/tablefollower.h>

#include <string>

namespace Verbena::Relay {

/// \brief Logs the state of the tables that this process follows, and records in the mirror how current they are.
class FeedReporter
{
public:
    /// \brief Records in \a mirror, from which other processes are answered.
    explicit FeedReporter(Store::RowMirror &mirror);

    /// \brief Logs that the store does not answer requests for \a table because of \a error.
    void handleLost(const std::string &table, const Core::Error &error);
    /// \brief Logs that the store answers requests for \a table again.
    void handleRegained(const std::string &table);
    /// \brief Records in the mirror up to where \a table was verified.
    void handleVerified(const std::string &table, Store::StoreTime verifiedAt, std::uint64_t coveredRevision);

    /// \brief Logs the first of several successive stale answers.
    void handleStaleAnswer(const std::string &table, const Store::StaleAnswer &answer);

private:
    Store::RowMirror &m_mirror;
    bool m_isStale = false;
};

} // namespace Verbena::Relay
