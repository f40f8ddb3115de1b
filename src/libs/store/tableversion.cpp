#include "tableversion.h"

#include "tablesize.h"

#include <algorithm>
#include <utility>

namespace Verbena::Store {

namespace {

// Returns the store time up to which \a page is complete.
std::optional<StoreTime> validityTime(const RowPage &page)
{
    return page.answeredAt.has_value() ? page.answeredAt : page.verifiedAt;
}

} // namespace

TableVersion::TableVersion(std::string table)
    : m_table(std::move(table))
{
}

std::uint64_t TableVersion::revision() const
{
    return m_revision;
}

std::optional<StoreTime> TableVersion::verifiedAt() const
{
    return m_verifiedAt;
}

bool TableVersion::isRead() const
{
    return m_isRead;
}

// Deletions before the whole table was read are unknown, so processes at an earlier revision must not be told that nothing changed. A table that was read in
// several calls may hold rows that changed between them, after its revision.
TableVersion::ApplyResult TableVersion::applyTable(const RowPage &page, std::uint64_t requestedRevision)
{
    if (page.revision < requestedRevision) {
        return ApplyResult::Stale;
    }
    if (page.revision < m_revision) {
        return ApplyResult::Superseded;
    }
    if (heldBytes(page.rows) > maximumTableBytes) {
        return ApplyResult::TooLong;
    }
    m_isRead = true;
    m_revision = page.revision;
    m_changedRevision = page.revision;
    for (const TableRow &row : page.rows) {
        m_changedRevision = std::max(m_changedRevision, row.revision);
    }
    m_contents.replace(page.rows);
    advanceVerifiedAt(validityTime(page));
    return ApplyResult::Applied;
}

TableVersion::ApplyResult TableVersion::applyChanges(RowPage &page, std::uint64_t requestedRevision)
{
    if (page.revision < requestedRevision) {
        return ApplyResult::Stale;
    }
    std::erase_if(page.rows, [this](const TableRow &row) { return row.revision <= m_revision; });
    if (m_contents.heldBytesAfter(page.rows) > maximumTableBytes) {
        return ApplyResult::TooLong;
    }
    for (const TableRow &row : page.rows) {
        m_changedRevision = std::max(m_changedRevision, row.revision);
    }
    m_contents.apply(page.rows);
    const bool isSuperseded = page.revision < m_revision;
    page.revision = std::max(page.revision, m_revision);
    m_revision = page.revision;
    advanceVerifiedAt(validityTime(page));
    return isSuperseded ? ApplyResult::Superseded : ApplyResult::Applied;
}

TableDigest TableVersion::digest() const
{
    return {m_table, m_changedRevision, m_revision, m_verifiedAt, m_isRead ? m_contents.hash() : 0};
}

// The rows of a process are the same from its last change up to the revision that it covers. Where these ranges of two processes overlap, so must the rows be.
TableVersion::Comparison TableVersion::compare(const TableDigest &theirs) const
{
    if (theirs.changedRevision > m_revision) {
        return Comparison::IsNewer;
    }
    if (theirs.coveredRevision < m_changedRevision) {
        return Comparison::NotNewer;
    }
    if (m_isRead && theirs.contentHash != 0 && theirs.contentHash != m_contents.hash()) {
        return Comparison::Differs;
    }
    const bool isLater = theirs.verifiedAt.has_value() && (!m_verifiedAt.has_value() || *theirs.verifiedAt > *m_verifiedAt);
    return m_isRead && isLater ? Comparison::Confirms : Comparison::NotNewer;
}

// A process that has all changes before a later time, and none after the revision received here, proves that there were none.
bool TableVersion::confirm(const TableDigest &theirs)
{
    if (compare(theirs) != Comparison::Confirms) {
        return false;
    }
    return advanceVerifiedAt(theirs.verifiedAt);
}

bool TableVersion::advanceVerifiedAt(const std::optional<StoreTime> &time)
{
    if (!time.has_value() || (m_verifiedAt.has_value() && *time <= *m_verifiedAt)) {
        return false;
    }
    m_verifiedAt = time;
    return true;
}

} // namespace Verbena::Store
