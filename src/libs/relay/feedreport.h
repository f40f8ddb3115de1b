#pragma once

#include <store/rowmirror.h>
#include <store/tablefollower.h>

#include <string>

namespace Verbena::Relay {

/// \brief Logs what becomes of the tables that this process follows, and notes for those who ask how current it is.
class FeedReport
{
public:
    /// \brief \a mirror is what others are answered from.
    explicit FeedReport(Store::RowMirror &mirror);

    void lost(const std::string &table, const Core::Error &error);
    void regained(const std::string &table);
    void verified(const std::string &table, Store::StoreTime verifiedAt, std::uint64_t coveredRevision);

    /// \brief Logs the first of several refused answers in a row.
    void refused(const std::string &table, const Store::StaleAnswer &answer);

private:
    Store::RowMirror &m_mirror;
    bool m_isRefusing = false;
};

} // namespace Verbena::Relay
