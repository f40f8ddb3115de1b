#pragma once

#include <core/result.h>
#include <store/storetime.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief States that all versions of a model's weights above \a after, up to \a version, were announced at or after \a notBefore.
struct DatedWeights
{
    std::uint64_t after = 0;
    std::uint64_t version = 0;
    Store::StoreTime notBefore;
};

/// \brief The times at which versions of one model's weights were announced, stored for processes that start later.
///
/// Operators write no date with a version, and a process that has just started cannot distinguish an announcement made just now from one made an hour ago.
/// Without the record it would use either weights that are too old or none but the newest.
class WeightsRecord
{
public:
    /// \brief Parses the value of a row. Errors: InvalidArgument.
    static Core::Result<WeightsRecord> decode(const std::string &text);

    std::string encode() const;

    /// \brief Adds \a dated; of two times for one version the later one counts, as both are proven.
    void add(const DatedWeights &dated);

    /// \brief Adds all entries of \a other.
    void merge(const WeightsRecord &other);

    /// \brief Removes the entries above \a version, whose announcements were withdrawn.
    void withdrawAbove(std::uint64_t version);

    /// \brief Returns whether there is an entry for \a version.
    bool contains(std::uint64_t version) const;

    /// \brief Returns the time of the entry for \a version, or nothing if there is none.
    std::optional<Store::StoreTime> notBefore(std::uint64_t version) const;

    /// \brief Returns the newest version up to \a version of which the entries say that it was announced; 0 if there is none.
    std::uint64_t newestUpTo(std::uint64_t version) const;

    /// \brief Returns the latest announcements, by increasing version.
    const std::vector<DatedWeights> &entries() const;

private:
    std::vector<DatedWeights> m_entries;
};

} // namespace Verbena::Decisions
