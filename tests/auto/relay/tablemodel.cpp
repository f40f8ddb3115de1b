#include "tablemodel.h"

#include <algorithm>
#include <array>

namespace Verbena::Test {

using std::chrono::milliseconds;
using Store::RowPage;
using Store::StoreTime;
using Comparison = Store::TableKnowledge::Comparison;

namespace {

constexpr milliseconds bound{3000};

// How far in the past a store is that answers from there.
constexpr milliseconds past{4000};

// As TableGossip does.
constexpr std::size_t toldAtOnce = 3;
constexpr std::size_t toldWhenAged = 8;
constexpr std::size_t keys = 4;

// A follower asks an elected router once in a third of the bound, and the store more often while it does not answer.
constexpr std::uint64_t stepsBetweenQuestions = 8;

// As AgeWatch does, at the latest.
constexpr milliseconds renewAge = bound * 6 / 10;
constexpr std::uint64_t stepsBetweenRenewals = 2;

// One datagram of so many is lost.
constexpr std::uint64_t lossRate = 10;

} // namespace

std::ostream &operator<<(std::ostream &out, const TableTrouble &trouble)
{
    static constexpr std::array names{"silent", "speaks", "past", "present", "forgets", "dark", "light", "restart", "belief", "change"};
    return out << names.at(static_cast<std::size_t>(trouble.kind)) << ' ' << trouble.router;
}

TableModel::TableModel(std::size_t routers, std::uint64_t seed)
    : m_times(Store::FollowTimes::within(bound))
    , m_random(seed)
    , m_routers(routers)
{
    for (std::size_t index = 0; index < routers; ++index) {
        m_routers[index].asks = index % 2 == 0 ? index : 0;
        m_routers[index].startedAt = m_now;
        m_routers[index].servedSince = m_now;
    }
    apply({TableTrouble::Kind::Change, 0});
}

std::size_t TableModel::size() const
{
    return m_routers.size();
}

void TableModel::apply(const TableTrouble &trouble)
{
    Router &router = m_routers[trouble.router % m_routers.size()];
    switch (trouble.kind) {
    case TableTrouble::Kind::StoreSilentTo:
        if (trouble.router >= m_routers.size()) {
            for (Router &all : m_routers) {
                all.isHeard = false;
            }
        }
        router.isHeard = false;
        break;
    case TableTrouble::Kind::StoreSpeaks:
        for (Router &all : m_routers) {
            all.isHeard = true;
        }
        break;
    case TableTrouble::Kind::StoreFromThePast:
        m_isFromThePast = true;
        break;
    case TableTrouble::Kind::StorePresent:
        m_isFromThePast = false;
        break;
    case TableTrouble::Kind::StoreForgets:
        m_forgotten = m_revision;
        break;
    case TableTrouble::Kind::Dark:
        router.isDark = true;
        break;
    case TableTrouble::Kind::Light:
        router.servedSince = router.isDark ? m_now : router.servedSince;
        router.isDark = false;
        break;
    case TableTrouble::Kind::Restart:
        router.knowledge = Store::TableKnowledge("t");
        router.mirror = Store::RowMirror();
        router.isHistoryKnown = false;
        router.startedAt = m_now;
        break;
    case TableTrouble::Kind::WrongBelief:
        router.asks = m_random.next() % m_routers.size();
        break;
    case TableTrouble::Kind::Change: {
        const std::string key(1, static_cast<char>('a' + m_random.next() % keys));
        const std::uint64_t revision = m_revision += 1 + m_random.next() % 3;
        m_changes.push_back({revision, m_now, {key, std::to_string(revision), revision, m_random.next() % 5 == 0}});
        break;
    }
    }
    m_servedSince = isServed() ? m_servedSince.value_or(m_now) : std::optional<StoreTime>();
}

// Whether the store tells anybody who can talk what is so now.
bool TableModel::isServed() const
{
    return !m_isFromThePast && std::any_of(m_routers.begin(), m_routers.end(), [](const Router &router) { return router.isHeard && !router.isDark; });
}

std::uint64_t TableModel::revisionAt(StoreTime at) const
{
    if (at >= m_now) {
        return m_revision;
    }
    std::uint64_t revision = 10;
    for (const Change &change : m_changes) {
        revision = change.madeAt <= at ? change.revision : revision;
    }
    return revision;
}

RowPage TableModel::whole(StoreTime at) const
{
    std::map<std::string, Store::TableRow> rows;
    for (const Change &change : m_changes) {
        if (change.madeAt <= at) {
            rows[change.row.key] = change.row;
        }
    }
    RowPage page{{}, revisionAt(at), false};
    for (const auto &[key, row] : rows) {
        if (!row.isDeleted) {
            page.rows.push_back(row);
        }
    }
    page.saidAt = at;
    return page;
}

RowPage TableModel::changesAfter(std::uint64_t revision, StoreTime at) const
{
    if (revision < m_forgotten) {
        return {{}, 0, true};
    }
    std::map<std::string, Store::TableRow> rows;
    for (const Change &change : m_changes) {
        if (change.madeAt <= at && change.revision > revision) {
            rows[change.row.key] = change.row;
        }
    }
    RowPage page{{}, revisionAt(at), false};
    for (const auto &[key, row] : rows) {
        page.rows.push_back(row);
    }
    page.saidAt = at;
    return page;
}

void TableModel::step()
{
    m_now += m_times.digestPeriod / 4;
    // The store is used by others too, so that its revision goes on.
    m_revision += m_random.next() % 2;
    ++m_steps;
    for (std::size_t index = 0; index < m_routers.size(); ++index) {
        Router &router = m_routers[index];
        if (router.isDark) {
            continue;
        }
        if ((m_steps + index) % 4 == 0) {
            tell(index);
        }
        if ((m_steps + index) % stepsBetweenRenewals == 0 && claimedAge(index).value_or(bound) > renewAge) {
            askStore(router);
        }
        if ((m_steps + index) % stepsBetweenQuestions != 0) {
            continue;
        }
        if (router.asks == index || !router.knowledge.isRead()) {
            askStore(router);
        } else {
            askElected(router);
        }
    }
}

void TableModel::askStore(Router &router)
{
    if (!router.isHeard) {
        return;
    }
    const StoreTime at = m_isFromThePast ? m_now - past : m_now;
    const std::uint64_t asked = router.knowledge.revision();
    if (!router.isHistoryKnown) {
        take(router, whole(at), asked, true);
        return;
    }
    RowPage page = changesAfter(asked, at);
    if (page.isHistoryLost) {
        router.isHistoryKnown = false;
        take(router, whole(at), asked, true);
        return;
    }
    take(router, std::move(page), asked, false);
}

void TableModel::askElected(Router &router)
{
    const Router &elected = m_routers[router.asks];
    const std::optional<StoreTime> verifiedAt = elected.mirror.verifiedAt("t");
    const bool isFresh = verifiedAt.has_value() && m_now - *verifiedAt <= m_times.sharedAge;
    if (elected.isDark || !isFresh) {
        askStore(router);
        return;
    }
    if (!fetch(router, elected)) {
        askStore(router);
    }
}

bool TableModel::fetch(Router &router, const Router &from)
{
    std::uint64_t asked = router.knowledge.revision();
    RowPage page = from.mirror.since("t", asked);
    if (page.isHistoryLost) {
        asked = 0;
        page = from.mirror.since("t", 0);
    }
    if (page.revision < router.knowledge.revision() || (asked != 0 && !router.knowledge.isRead())) {
        return false;
    }
    take(router, std::move(page), asked, asked == 0);
    return true;
}

void TableModel::take(Router &router, RowPage page, std::uint64_t asked, bool isWhole)
{
    const auto verdict = isWhole ? router.knowledge.takeTable(page, asked) : router.knowledge.takeChanges(page, asked);
    if (verdict == Store::TableKnowledge::Verdict::FromThePast) {
        return;
    }
    if (isWhole && verdict == Store::TableKnowledge::Verdict::Taken) {
        router.mirror.replace("t", page);
    } else if (!isWhole && !page.rows.empty()) {
        router.mirror.change("t", page);
    }
    router.isHistoryKnown = true;
    noteVerified(router);
}

void TableModel::noteVerified(Router &router)
{
    if (router.knowledge.verifiedAt().has_value()) {
        router.mirror.noteVerified("t", *router.knowledge.verifiedAt(), router.knowledge.revision());
    }
}

void TableModel::tell(std::size_t index)
{
    std::vector<std::string> peers;
    for (std::size_t peer = 0; peer < m_routers.size(); ++peer) {
        if (peer != index) {
            peers.push_back(std::to_string(peer));
        }
    }
    const std::optional<milliseconds> age = claimedAge(index);
    const bool isAged = !age.has_value() || *age > m_times.sharedAge;
    for (const std::string &drawn : m_random.sample(peers, isAged ? toldWhenAged : toldAtOnce)) {
        const std::size_t peer = std::stoul(drawn);
        if (!m_routers[peer].isDark && m_random.next() % lossRate != 0) {
            receive(peer, m_routers[index].knowledge.digest(), index, false);
        }
    }
}

void TableModel::receive(std::size_t index, const Store::TableDigest &digest, std::size_t from, bool isReply)
{
    Router &router = m_routers[index];
    switch (router.knowledge.compare(digest)) {
    case Comparison::Confirms:
        router.knowledge.confirm(digest);
        noteVerified(router);
        return;
    case Comparison::KnowsMore:
        fetch(router, m_routers[from]);
        return;
    case Comparison::Nothing:
        if (!isReply) {
            receive(from, router.knowledge.digest(), index, true);
        }
        return;
    }
}

bool TableModel::isClaimTrue(std::size_t index) const
{
    const Router &router = m_routers[index];
    const std::uint64_t known = router.knowledge.revision();
    const std::optional<StoreTime> verifiedAt = router.knowledge.verifiedAt();
    std::map<std::string, std::uint64_t> wanted;
    for (const Change &change : m_changes) {
        if (change.revision > known && verifiedAt.has_value() && change.madeAt < *verifiedAt) {
            return false;
        }
        if (change.revision <= known && change.row.isDeleted) {
            wanted.erase(change.row.key);
        } else if (change.revision <= known) {
            wanted[change.row.key] = change.revision;
        }
    }
    std::map<std::string, std::uint64_t> held;
    for (const Store::TableRow &row : router.mirror.since("t", 0).rows) {
        held[row.key] = row.revision;
    }
    return held == wanted;
}

milliseconds TableModel::lag(std::size_t index) const
{
    const std::uint64_t known = m_routers[index].knowledge.revision();
    const auto lacking = std::find_if(m_changes.begin(), m_changes.end(), [known](const Change &change) { return change.revision > known; });
    return lacking == m_changes.end() ? milliseconds(0) : m_now - lacking->madeAt;
}

std::optional<milliseconds> TableModel::servedFor(std::size_t index) const
{
    const Router &router = m_routers[index];
    if (router.isDark || !m_servedSince.has_value() || !router.knowledge.isRead()) {
        return std::nullopt;
    }
    return m_now - std::max({*m_servedSince, router.servedSince, router.startedAt});
}

std::optional<milliseconds> TableModel::claimedAge(std::size_t index) const
{
    const std::optional<StoreTime> verifiedAt = m_routers[index].knowledge.verifiedAt();
    return verifiedAt.has_value() ? std::optional(m_now - *verifiedAt) : std::nullopt;
}

} // namespace Verbena::Test
