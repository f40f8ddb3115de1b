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

/// \brief A part of a prompt that others may share, as caches know it.
struct SharedPart
{
    PartKey key{};
    std::uint32_t tokens = 0;
};

/// \brief What one router believes of the caches of engines and of the store of kept KV cache.
///
/// Engines' news lag by some tenths of a second, so a part that was sent to an engine counts as kept there until news can tell of it.
class PromptCaches
{
public:
    /// \brief The engine \a id keeps \a parts, or what it kept before if there are none given; believed until \a deadline.
    void noteNews(BackendServerId id, const std::optional<std::vector<PartKey>> &parts, Core::TimePoint deadline);

    /// \brief A prompt of \a parts was sent to the engine \a id.
    void noteSent(BackendServerId id, const std::vector<SharedPart> &parts, Core::TimePoint now);

    /// \brief The engine \a id has started again with an empty cache.
    void noteRestart(BackendServerId id);

    /// \brief Forgets the engines for which \a isGone is true.
    void forget(const std::function<bool(BackendServerId)> &isGone);

    /// \brief The stores of kept KV cache.
    CacheStores &stores();
    const CacheStores &stores() const;

    /// \brief How many leading ones of \a parts the engine \a id keeps; nothing if there are no news of it.
    std::optional<std::uint32_t> warmParts(BackendServerId id, const std::vector<SharedPart> &parts, Core::TimePoint now) const;

    /// \brief How many leading ones of \a parts \a store holds; none without a store.
    static std::uint32_t storedParts(const CacheStore *store, const std::vector<SharedPart> &parts);

    /// \brief The most leading ones of \a parts that \a store or any engine has.
    std::uint32_t warmAnywhere(const CacheStore *store, const std::vector<SharedPart> &parts, Core::TimePoint now) const;

    /// \brief The engine that keeps most leading ones of \a parts, if those are more than \a least.
    std::optional<BackendServerId> holder(const std::vector<SharedPart> &parts, std::uint32_t least, Core::TimePoint now) const;

private:
    struct Engine
    {
        std::unordered_set<PartKey> parts;
        Core::TimePoint deadline; ///< Of the news.
    };

    // Where a part was sent last, which no agent can have told of yet.
    struct Sent
    {
        BackendServerId id{};
        Core::TimePoint deadline;
    };

    bool isKept(const Engine &engine, BackendServerId id, PartKey part, Core::TimePoint now) const;

    std::unordered_map<BackendServerId, Engine> m_engines;
    std::unordered_map<PartKey, Sent> m_sent;
    CacheStores m_stores;
};

} // namespace Verbena::Decisions
