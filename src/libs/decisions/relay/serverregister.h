#pragma once

#include <core/time.h>
#include <decisions/routing/backendserver.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief The version of a model's weights that a backend server runs.
struct ServedWeights
{
    std::string model;
    std::uint64_t version = 0;

    bool operator==(const ServedWeights &) const = default;
};

/// \brief A backend server as it registered itself.
struct RegisteredServer
{
    std::string id; ///< Kept over a restart at times; see incarnation.
    std::string service;
    std::string address; ///< IP number and port.
    std::string failureDomain;
    std::uint32_t slots = 0; ///< Requests that it runs at once.
    bool isLeaving = false;
    std::vector<ServedWeights> weights; ///< Empty for a plain service.
    std::uint64_t incarnation = 0; ///< Tells one start of it from another; 0 if it does not say. Larger is not later.

    bool operator==(const RegisteredServer &) const = default;
};

/// \brief What the incarnation that a message names says of its sender.
enum class IncarnationNews {
    Same, ///< The start that is known, or nobody says which one it is.
    Restarted, ///< Another start than the one that was known: nothing of before holds.
    Outdated, ///< A start that was followed by another one already: the message is late.
};

/// \brief Which backend servers there are, from their entries in the store's register and from what they answer.
///
/// Entries lapse while the store is away, although their servers live, and are back within a moment of its return. So an entry that is missing after
/// an outage is believed for a while longer; one that is removed while the store is well is gone at once.
class ServerRegister
{
public:
    /// \brief Takes the whole register in place of what was known before.
    void replace(const std::vector<RegisteredServer> &servers, Core::TimePoint now);

    /// \brief Takes one entry that was added or changed.
    void put(const RegisteredServer &server);

    /// \brief Takes the removal of the entry of \a id.
    void remove(const std::string &id, Core::TimePoint now);

    /// \brief The store did not answer: what it removes meanwhile proves nothing.
    void noteStoreLost();

    /// \brief The store answers again; entries that are not back by \a lapseDeadline are gone.
    void noteStoreRegained(Core::TimePoint lapseDeadline);

    /// \brief The backend server \a id named its incarnation; after a restart its weights are those that its entry says.
    IncarnationNews noteIncarnation(const std::string &id, std::uint64_t incarnation);

    /// \brief A backend server answered with \a version of \a model, which counts more than its entry.
    void noteWeights(const std::string &id, const std::string &model, std::uint64_t version);

    /// \brief A backend server said that it is not the one of this id any more.
    void noteReplaced(const std::string &id);

    /// \brief Forgets the entries whose time has run out; returns whether there were any.
    bool expire(Core::TimePoint now);

    /// \brief All backend servers that may be there, by id.
    const std::map<std::string, RegisteredServer> &servers() const;

    /// \brief Goes up whenever servers() gives something else.
    std::uint64_t revision() const;

private:
    bool isDoubtful(Core::TimePoint now) const;
    void forget(const std::string &id);
    IncarnationNews compare(const RegisteredServer &known, std::uint64_t incarnation) const;
    void noteRestart(RegisteredServer &known, std::uint64_t incarnation);

    std::map<std::string, RegisteredServer> m_servers;
    std::map<std::string, std::vector<std::uint64_t>> m_earlierIncarnations; ///< By id, the latest ones.
    std::map<std::string, Core::TimePoint> m_lapsed; ///< Entries that are missing, and until when they are believed.
    Core::TimePoint m_lapseDeadline{}; ///< Until then a missing entry may have lapsed in an outage.
    bool m_isStoreLost = false;
    std::uint64_t m_revision = 0;
};

} // namespace Verbena::Decisions
