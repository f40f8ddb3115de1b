#pragma once

#include "rowsource.h"
#include "tabledigest.h"

namespace Verbena::Store {

/// \brief Up to where a process knows a table, and what pages and digests add to that; free of I/O.
///
/// Revisions say what is known, and a moment of the store's clock when it was the whole truth. Neither ever goes back.
class TableKnowledge
{
public:
    /// \brief What a page is worth.
    enum class Verdict {
        Taken,
        Overtaken, ///< It was right, but more is known by now.
        FromThePast, ///< Whoever gave it knew less than was known before it was asked.
    };

    /// \brief What another process's digest means.
    enum class Comparison {
        Nothing, ///< It knows nothing more.
        Confirms, ///< Nothing was changed, up to a later moment than known here.
        KnowsMore, ///< It knows changes that are not known here.
    };

    explicit TableKnowledge(std::string table);

    /// \brief The revision up to which all is known; 0 before the table was read once.
    std::uint64_t revision() const;

    /// \brief All is known that the store acknowledged before this moment of its clock.
    std::optional<StoreTime> verifiedAt() const;

    /// \brief Whether the table was read once.
    bool isRead() const;

    /// \brief Takes the whole table, asked for when \a asked was known.
    Verdict takeTable(const RowPage &page, std::uint64_t asked);

    /// \brief Takes changes after \a asked, and drops those from \a page that are known.
    Verdict takeChanges(RowPage &page, std::uint64_t asked);

    TableDigest digest() const;
    Comparison compare(const TableDigest &theirs) const;

    /// \brief Takes a digest that confirms. Returns whether what is known was verified at a later moment than before.
    bool confirm(const TableDigest &theirs);

private:
    bool noteVerified(const std::optional<StoreTime> &moment);

    std::string m_table;
    std::uint64_t m_revision = 0;
    std::uint64_t m_changedRevision = 0;
    std::optional<StoreTime> m_verifiedAt;
    bool m_isRead = false;
};

} // namespace Verbena::Store
