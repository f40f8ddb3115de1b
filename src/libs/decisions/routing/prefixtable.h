#pragma once

#include "backendserver.h"
#include "decayingcount.h"
#include "prefixchain.h"

#include <core/time.h>

#include <array>
#include <cstdint>
#include <vector>

namespace Verbena::Decisions {

/// \brief A backend server to which a prefix was sent and that is therefore assumed to cache it for a while.
struct PrefixHolder
{
    BackendServerId id{};
    std::uint64_t incarnation = 0; ///< Incarnation of the backend server at that time; a restart empties its cache.
    Core::TimePoint validUntil{}; ///< End of the time in which the prefix is assumed to be cached.
};

/// \brief Demand, assumed holders and number of homes of a prefix key, as recorded by one router.
struct PrefixRecord
{
    static constexpr std::size_t maximumHolders = 6;

    PrefixKey key{};
    DecayingCount demand; ///< Recent requests for the prefix.
    bool isUsed = false;
    std::uint32_t homeCount = 1; ///< Number of backend servers over which the owner asked to spread the prefix.
    Core::TimePoint homeCountValidUntil{};
    std::array<PrefixHolder, maximumHolders> holders{};
};

/// \brief Set-associative table of prefix keys with their demand and holders, in bounded memory.
///
/// Where a set is full, a new key replaces the one with the least demand.
class PrefixTable
{
public:
    /// \brief Creates a table for \a size keys, rounded up to whole sets.
    explicit PrefixTable(std::size_t size);

    /// \brief Returns the record of \a key, or nullptr if the table does not contain it.
    const PrefixRecord *find(PrefixKey key) const;

    /// \brief Returns the demand of \a key at \a now, or zero if the table does not contain it.
    double demand(PrefixKey key, Core::TimePoint now) const;

    /// \brief Counts a request for \a key at \a now and adds the key if the table does not contain it.
    void recordRequest(PrefixKey key, Core::TimePoint now);

    /// \brief Adds \a holder to \a key or updates its entry.
    ///
    /// Where there is no free entry, it replaces the holder whose entry expires first. Does nothing if the table does not contain the key.
    void setHolder(PrefixKey key, const PrefixHolder &holder);

    /// \brief Removes \a id from the holders of \a key.
    void removeHolder(PrefixKey key, BackendServerId id);

    /// \brief Sets the number of homes that the owner of \a key asked for until \a validUntil; at least 1.
    void setHomeCount(PrefixKey key, std::uint32_t homeCount, Core::TimePoint validUntil);

private:
    static constexpr std::size_t keysPerSet = 4;
    using Set = std::array<PrefixRecord, keysPerSet>;

    PrefixRecord *findRecord(PrefixKey key);
    const Set &setOf(PrefixKey key) const;

    std::vector<Set> m_sets;
};

} // namespace Verbena::Decisions
