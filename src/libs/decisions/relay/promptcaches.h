#pragma once

#include "cachestores.h"
#include "partindex.h"

#include <core/time.h>
#include <decisions/routing/backendserver.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Verbena::Decisions {

/// \brief A prompt part that other prompts may share, as it is identified in caches.
struct SharedPart
{
    PartKey key{};
    std::uint32_t tokens = 0;
};

/// \brief The cached content of engines and of the stores of saved KV cache, as one router sees it.
///
/// Status reports lag by some tenths of a second, so a part that was sent to an engine counts as cached there until a report can include it.
class PromptCaches
{
public:
    /// \brief Replaces the cached parts of the engine \a id with \a parts, or keeps the last ones if none are given; valid until \a deadline.
    void updateReport(BackendServerId id, const std::optional<std::vector<PartKey>> &parts, Core::TimePoint deadline);

    /// \brief Records that a prompt with \a parts was sent to the engine \a id.
    void recordSent(BackendServerId id, const std::vector<SharedPart> &parts, Core::TimePoint now);

    /// \brief Discards the parts of the engine \a id, which has restarted with an empty cache.
    void handleRestart(BackendServerId id);

    /// \brief Removes the engines for which \a isGone returns true.
    void removeIf(const std::function<bool(BackendServerId)> &isGone);

    /// \brief Returns the stores of saved KV cache.
    CacheStores &stores();
    const CacheStores &stores() const;

    /// \brief Returns how many leading ones of \a parts the engine \a id caches, or nothing without a valid report on it.
    std::optional<std::uint32_t> warmParts(BackendServerId id, const std::vector<SharedPart> &parts, Core::TimePoint now) const;

    /// \brief Returns how many leading ones of \a parts \a store holds; 0 without a store.
    static std::uint32_t storedParts(const CacheStore *store, const std::vector<SharedPart> &parts);

    /// \brief Returns the maximum number of leading ones of \a parts that \a store or any engine holds.
    std::uint32_t warmPartsAnywhere(const CacheStore *store, const std::vector<SharedPart> &parts, Core::TimePoint now) const;

    /// \brief Returns the engine that caches most leading ones of \a parts, if it caches more than \a minimum.
    std::optional<BackendServerId> holder(const std::vector<SharedPart> &parts, std::uint32_t minimum, Core::TimePoint now) const;

private:
    struct Engine
    {
        std::unordered_set<PartKey> parts;
        Core::TimePoint deadline; ///< End of the validity of the report.
    };

    // The engine to which a part was sent last, and until when no report of its agent may include it.
    struct SentPart
    {
        BackendServerId id{};
        Core::TimePoint deadline;
    };

    bool isCached(const Engine &engine, BackendServerId id, PartKey part, Core::TimePoint now) const;

    std::unordered_map<BackendServerId, Engine> m_engines;
    std::unordered_map<PartKey, SentPart> m_sent;
    CacheStores m_stores;
};

} // namespace Verbena::Decisions
