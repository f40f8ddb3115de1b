#pragma once

#include "../routing/prefixchain.h"

#include <core/time.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Verbena::Decisions {

/// \brief What the owner of a hot prefix asks routers for.
struct HeatHint
{
    PrefixKey key{};
    std::uint32_t width = 1; ///< Backend servers that should be its homes.
};

/// \brief Bounds of a HeatMeter.
struct HeatOptions
{
    std::size_t maximumKeys = 256;
    std::size_t deepestLevel = 8; ///< Deeper prefixes are not watched.
    std::uint32_t maximumWidth = 64;
    std::chrono::milliseconds window{2000}; ///< Older demand counts for less and less.
    std::chrono::milliseconds settleTime{1000}; ///< Between two changes of a width.
    double highLoad = 0.5; ///< Part of the engine's time that one prefix may use before it is widened.
    double lowLoad = 0.15; ///< Below, it is narrowed.
};

/// \brief The owner's view of its hot prefixes: how many homes each should have.
///
/// Only the first home of a prefix is asked. It sees its own part of the demand, which halves when the width doubles; so
/// it doubles the width while its part is too large, and takes a home away at a time while its part is small.
class HeatMeter
{
public:
    explicit HeatMeter(const HeatOptions &options = {});

    /// \brief A request with prefixes \a keys asks for \a work of engine time.
    void noteDemand(const std::vector<PrefixKey> &keys, std::chrono::microseconds work, Core::TimePoint now);

    /// \brief The deepest of \a keys that should have several homes; nothing if none should.
    std::optional<HeatHint> hint(const std::vector<PrefixKey> &keys) const;

    /// \brief Part of the engine's time that \a key has asked for lately.
    double load(PrefixKey key, Core::TimePoint now) const;

    std::size_t size() const;

private:
    struct Heat
    {
        double work = 0.0; ///< Seconds, decayed to the time of the last note.
        Core::TimePoint notedAt;
        Core::TimePoint settledAt; ///< From then on the width may change again.
        std::uint32_t width = 1;
        std::multimap<double, PrefixKey>::iterator rank;
    };

    double decayed(const Heat &heat, Core::TimePoint now) const;
    Heat &heatFor(PrefixKey key, Core::TimePoint now);
    void adjustWidth(Heat &heat, Core::TimePoint now) const;

    HeatOptions m_options;
    std::unordered_map<PrefixKey, Heat> m_heats;
    std::multimap<double, PrefixKey> m_ranks; ///< By work as of one common moment, coldest first.
    std::optional<Core::TimePoint> m_start;
};

} // namespace Verbena::Decisions
