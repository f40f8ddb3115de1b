#pragma once

#include <decisions/spread/randomsource.h>
#include <store/followtimes.h>
#include <store/rowmirror.h>
#include <store/tableknowledge.h>

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief What may happen to the model at one step.
struct TableTrouble
{
    enum class Kind {
        StoreSilentTo, ///< One router, or all.
        StoreSpeaks, ///< To all again.
        StoreFromThePast, ///< Reads answer what was so seconds ago.
        StorePresent,
        StoreForgets, ///< Its history.
        Dark, ///< One router neither hears nor answers anybody.
        Light,
        Restart, ///< One router knows nothing.
        WrongBelief, ///< One router asks one that is not elected, or itself, in the store's place.
        Change,
    };

    Kind kind = Kind::Change;
    std::size_t router = 0;
};

/// \brief For what a property prints of a case that fails.
std::ostream &operator<<(std::ostream &out, const TableTrouble &trouble);

/// \brief Routers that follow one table and tell each other how much they know, in virtual time; messages take no time and may be lost.
class TableModel
{
public:
    TableModel(std::size_t routers, std::uint64_t seed);

    void apply(const TableTrouble &trouble);

    /// \brief Lets a quarter of a digest's period pass.
    void step();

    std::size_t size() const;

    /// \brief Whether router \a index holds just what the table was at its revision, and all that the store acknowledged before the moment that it claims.
    bool isClaimTrue(std::size_t index) const;

    /// \brief How long ago the store acknowledged the oldest change that router \a index lacks.
    std::chrono::milliseconds lag(std::size_t index) const;

    /// \brief Since when router \a index and another one that the store answers have been able to talk, to each other and it to the store.
    std::optional<std::chrono::milliseconds> servedFor(std::size_t index) const;

    /// \brief How old it takes its knowledge for.
    std::optional<std::chrono::milliseconds> claimedAge(std::size_t index) const;

private:
    struct Change
    {
        std::uint64_t revision = 0;
        Store::StoreTime madeAt;
        Store::TableRow row;
    };

    struct Router
    {
        Store::TableKnowledge knowledge{"t"};
        Store::RowMirror mirror;
        bool isHistoryKnown = false;
        bool isHeard = true; ///< By the store.
        bool isDark = false;
        std::size_t asks = 0; ///< Whom it takes for elected; itself: the store.
        Store::StoreTime startedAt;
        Store::StoreTime servedSince;
    };

    Store::RowPage whole(Store::StoreTime at) const;
    Store::RowPage changesAfter(std::uint64_t revision, Store::StoreTime at) const;
    std::uint64_t revisionAt(Store::StoreTime at) const;
    void askStore(Router &router);
    void askElected(Router &router);
    void take(Router &router, Store::RowPage page, std::uint64_t asked, bool isWhole);
    void noteVerified(Router &router);
    void tell(std::size_t index);
    void receive(std::size_t index, const Store::TableDigest &digest, std::size_t from, bool isReply);
    bool fetch(Router &router, const Router &from);
    bool isServed() const;

    Store::FollowTimes m_times;
    Decisions::RandomSource m_random;
    std::vector<Router> m_routers;
    std::vector<Change> m_changes;
    Store::StoreTime m_now{std::chrono::seconds(1000)};
    std::uint64_t m_revision = 10;
    std::uint64_t m_forgotten = 0;
    bool m_isFromThePast = false;
    std::optional<Store::StoreTime> m_servedSince;
    std::uint64_t m_steps = 0;
};

} // namespace Verbena::Test
