#pragma once

#include "../routing/prefixchain.h"

#include <core/time.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief The number of homes that the owner of a hot prefix requests from routers.
struct HotPrefixHint
{
    PrefixKey key{};
    std::uint32_t width = 1; ///< Number of backend servers that should be homes of the prefix.
};

/// \brief Limits and thresholds of a PrefixLoadMeter.
struct PrefixLoadOptions
{
    std::size_t maximumKeys = 256;
    std::size_t maximumDepth = 8; ///< Number of pieces of the longest prefix whose load is measured.
    std::uint32_t maximumWidth = 64;
    std::chrono::milliseconds window{2000}; ///< Time constant of the exponential decay of older demand.
    std::chrono::milliseconds minimumChangeInterval{1000}; ///< Minimum time between two changes of a width.
    double highLoad = 0.5; ///< Fraction of the engine's time that one prefix may use before its width is doubled.
    double lowLoad = 0.15; ///< Fraction of the engine's time below which the width is reduced.
};

/// \brief Measures the load of prefixes at their first home and decides how many homes each hot prefix should have.
///
/// Only the first home of a prefix is asked. It sees its own part of the demand, which halves when the width doubles. It
/// therefore doubles the width while its part is too large, and removes one home at a time while its part is small.
class PrefixLoadMeter
{
public:
    explicit PrefixLoadMeter(const PrefixLoadOptions &options = {});

    /// \brief Records that a request with prefixes \a keys needs \a work of engine time.
    void recordDemand(const std::vector<PrefixKey> &keys, std::chrono::microseconds work, Core::TimePoint now);

    /// \brief Returns the deepest of \a keys that should have several homes, or nothing if none should.
    std::optional<HotPrefixHint> hint(const std::vector<PrefixKey> &keys) const;

    /// \brief Returns the fraction of the engine's time that \a key has recently requested.
    double load(PrefixKey key, Core::TimePoint now) const;

    std::size_t size() const;

private:
    struct PrefixLoad
    {
        double work = 0.0; ///< Requested engine time in seconds, decayed up to updatedAt.
        Core::TimePoint updatedAt;
        Core::TimePoint nextChangeAt; ///< Time from which the width may change again.
        std::uint32_t width = 1;
        std::multimap<double, PrefixKey>::iterator rank;
    };

    double decayedWork(const PrefixLoad &prefix, Core::TimePoint now) const;
    PrefixLoad &findOrCreate(PrefixKey key, Core::TimePoint now);
    void adjustWidth(PrefixLoad &prefix, Core::TimePoint now) const;

    PrefixLoadOptions m_options;
    std::unordered_map<PrefixKey, PrefixLoad> m_loads;
    std::multimap<double, PrefixKey> m_byLoad; ///< Keys in ascending order of their work, compared at one common time.
    std::optional<Core::TimePoint> m_start;
};

} // namespace Verbena::Decisions
