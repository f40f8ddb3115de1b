#pragma once

#include "backendserver.h"
#include "decayingcount.h"
#include "prefixchain.h"

#include <core/time.h>

#include <array>
#include <cstdint>
#include <vector>

namespace Verbena::Decisions {

/// \brief A backend server that was sent a prefix, and so is believed to keep it for a while.
struct PrefixHolder
{
    BackendServerId id{};
    std::uint64_t epoch = 0; ///< Of the backend server when it was sent; another epoch has another cache.
    Core::TimePoint deadline{}; ///< Until then it is believed.
};

/// \brief What one router remembers of a prefix key.
struct KeyRecord
{
    static constexpr std::size_t holderCount = 6;

    PrefixKey key{};
    DecayingCount demand; ///< Requests.
    bool isUsed = false;
    std::uint32_t width = 1; ///< Backend servers that the owner asked to spread it over.
    Core::TimePoint widthDeadline{};
    std::array<PrefixHolder, holderCount> holders{};
};

/// \brief Demand and holders of prefix keys in bounded memory: where a set is full, the key in least demand is forgotten.
class KeyTable
{
public:
    /// \brief A table for \a size keys, rounded up to whole sets.
    explicit KeyTable(std::size_t size);

    /// \brief The record of \a key, or nothing if it is not remembered.
    const KeyRecord *find(PrefixKey key) const;

    /// \brief Demand of \a key at \a now; zero if it is not remembered.
    double demand(PrefixKey key, Core::TimePoint now) const;

    /// \brief Counts a request for \a key.
    void noteDemand(PrefixKey key, Core::TimePoint now);

    /// \brief Notes that \a holder was sent \a key; takes the place of the holder with the earliest deadline.
    void noteHolder(PrefixKey key, const PrefixHolder &holder);

    /// \brief Notes that \a id does not keep \a key.
    void forgetHolder(PrefixKey key, BackendServerId id);

    /// \brief Notes that the owner of \a key asked for \a width homes until \a deadline.
    void noteWidth(PrefixKey key, std::uint32_t width, Core::TimePoint deadline);

private:
    static constexpr std::size_t ways = 4;
    using Set = std::array<KeyRecord, ways>;

    KeyRecord *findRecord(PrefixKey key);
    const Set &setOf(PrefixKey key) const;

    std::vector<Set> m_sets;
};

} // namespace Verbena::Decisions
