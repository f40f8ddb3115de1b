#pragma once

#include "rowsource.h"
#include "tablecontents.h"
#include "tabledigest.h"

namespace Verbena::Store {

/// \brief Revision and store time up to which a process has a table, updated by pages and digests; free of I/O.
///
/// The revision says which changes the process has received, the store time when these were all changes of the table. Neither ever decreases. Digests move
/// only the time: a process that lacks a row must not keep others from receiving it.
class TableVersion
{
public:
    /// \brief Result of applying a page.
    enum class ApplyResult {
        Applied,
        Superseded, ///< The page was valid, but a later revision has been applied since.
        Stale, ///< The page is older than the revision with which it was requested.
        TooLong, ///< The table would be longer than maximumTableBytes.
    };

    /// \brief Result of comparing the digest of another process.
    enum class Comparison {
        NotNewer, ///< The other process has no later data.
        Confirms, ///< The table has not changed up to a later time than verified here.
        IsNewer, ///< The other process has changes that are missing here.
        Differs, ///< The other process has other rows at the same revision, so that one of the two copies is wrong.
    };

    explicit TableVersion(std::string table);

    /// \brief Returns the revision up to which all changes were received in pages; 0 before the table was first read.
    std::uint64_t revision() const;

    /// \brief Returns the store time before which all acknowledged changes were applied.
    std::optional<StoreTime> verifiedAt() const;

    /// \brief Returns whether the table was read at least once.
    bool isRead() const;

    /// \brief Applies the whole table, unless it is too long, requested when the version was at \a requestedRevision.
    ApplyResult applyTable(const RowPage &page, std::uint64_t requestedRevision);

    /// \brief Applies the changes after \a requestedRevision, unless the table would be too long, and removes those from \a page that were applied before.
    ApplyResult applyChanges(RowPage &page, std::uint64_t requestedRevision);

    /// \brief Returns the digest to be sent to other processes.
    TableDigest digest() const;

    /// \brief Returns what \a theirs, the digest of another process, means for this table.
    Comparison compare(const TableDigest &theirs) const;

    /// \brief Applies a digest that confirms this version. Returns whether that moved verifiedAt() forward.
    bool confirm(const TableDigest &theirs);

private:
    bool advanceVerifiedAt(const std::optional<StoreTime> &time);

    std::string m_table;
    TableContents m_contents;
    std::uint64_t m_revision = 0;
    std::uint64_t m_changedRevision = 0;
    std::optional<StoreTime> m_verifiedAt;
    bool m_isRead = false;
};

} // namespace Verbena::Store
