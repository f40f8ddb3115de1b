#include "tableknowledge.h"

#include <algorithm>
#include <utility>

namespace Verbena::Store {

namespace {

// The moment up to which a page is the whole truth.
std::optional<StoreTime> momentOf(const RowPage &page)
{
    return page.saidAt.has_value() ? page.saidAt : page.verifiedAt;
}

} // namespace

TableKnowledge::TableKnowledge(std::string table)
    : m_table(std::move(table))
{
}

std::uint64_t TableKnowledge::revision() const
{
    return m_revision;
}

std::optional<StoreTime> TableKnowledge::verifiedAt() const
{
    return m_verifiedAt;
}

bool TableKnowledge::isRead() const
{
    return m_isRead;
}

// What was deleted before the table was read is not known, so whoever knows less must not be told that nothing was.
TableKnowledge::Verdict TableKnowledge::takeTable(const RowPage &page, std::uint64_t asked)
{
    if (page.revision < asked) {
        return Verdict::FromThePast;
    }
    if (page.revision < m_revision) {
        return Verdict::Overtaken;
    }
    m_isRead = true;
    m_revision = page.revision;
    m_changedRevision = page.revision;
    noteVerified(momentOf(page));
    return Verdict::Taken;
}

TableKnowledge::Verdict TableKnowledge::takeChanges(RowPage &page, std::uint64_t asked)
{
    if (page.revision < asked) {
        return Verdict::FromThePast;
    }
    std::erase_if(page.rows, [this](const TableRow &row) { return row.revision <= m_revision; });
    for (const TableRow &row : page.rows) {
        m_changedRevision = std::max(m_changedRevision, row.revision);
    }
    const bool isOvertaken = page.revision < m_revision;
    page.revision = std::max(page.revision, m_revision);
    m_revision = page.revision;
    noteVerified(momentOf(page));
    return isOvertaken ? Verdict::Overtaken : Verdict::Taken;
}

TableDigest TableKnowledge::digest() const
{
    return {m_table, m_changedRevision, m_revision, m_verifiedAt};
}

TableKnowledge::Comparison TableKnowledge::compare(const TableDigest &theirs) const
{
    if (theirs.changedRevision > m_revision) {
        return Comparison::KnowsMore;
    }
    const bool isLater = theirs.verifiedAt.has_value() && (!m_verifiedAt.has_value() || *theirs.verifiedAt > *m_verifiedAt);
    return m_isRead && isLater ? Comparison::Confirms : Comparison::Nothing;
}

// Whoever knows no change after what is known here, and all changes before a later moment, proves that there were none.
bool TableKnowledge::confirm(const TableDigest &theirs)
{
    if (compare(theirs) != Comparison::Confirms) {
        return false;
    }
    m_revision = std::max(m_revision, theirs.coveredRevision);
    return noteVerified(theirs.verifiedAt);
}

bool TableKnowledge::noteVerified(const std::optional<StoreTime> &moment)
{
    if (!moment.has_value() || (m_verifiedAt.has_value() && *moment <= *m_verifiedAt)) {
        return false;
    }
    m_verifiedAt = moment;
    return true;
}

} // namespace Verbena::Store
