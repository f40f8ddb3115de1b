#pragma once

#include <core/result.h>
#include <store/storetime.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief That all versions of a model's weights above one, up to another, were named later than a moment.
struct DatedWeights
{
    std::uint64_t after = 0;
    std::uint64_t version = 0;
    Store::StoreTime notBefore;
};

/// \brief When versions of one model's weights were named, as it is written into the store for processes that start later.
///
/// Operators write no date with a version, and a process that has just started cannot tell a naming of a moment ago from one of an hour ago. Without the
/// record it would either use weights that are too old or none but the newest.
class WeightsRecord
{
public:
    /// \brief Reads a row's value. Errors: InvalidArgument.
    static Core::Result<WeightsRecord> decode(const std::string &text);

    std::string encode() const;

    /// \brief Adds \a dated; of two dates of one version the later one counts, as both are proved.
    void note(const DatedWeights &dated);

    /// \brief Adds all that \a other knows.
    void merge(const WeightsRecord &other);

    /// \brief Whether it says when \a version was named.
    bool knows(std::uint64_t version) const;

    /// \brief The latest namings, by rising version.
    const std::vector<DatedWeights> &namings() const;

private:
    std::vector<DatedWeights> m_namings;
};

} // namespace Verbena::Decisions
