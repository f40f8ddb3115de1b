#pragma once

#include "servedmodels.h"
#include "weightsbelief.h"

#include <core/time.h>
#include <decisions/routing/backendserver.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief A backend server, as described by its own entry in the register.
struct RegisteredServer
{
    std::string id; ///< Id, which may stay the same over a restart; see incarnation.
    std::string service;
    std::string address; ///< IP number and port.
    std::string failureDomain;
    std::uint32_t slots = 0; ///< Number of requests that it runs at once.
    bool isLeaving = false;
    ServedModels weights; ///< Served weights; empty for a plain service.
    std::uint64_t incarnation = 0; ///< Identifies one start of the server; 0 if it does not report one. A larger number is not a later start.
    std::string softwareVersion = {}; ///< Version of its software, which is not that of its weights; empty if it names none. Versions have no order.

    bool operator==(const RegisteredServer &) const = default;
};

/// \brief Result of comparing the incarnation named in a message with the recorded one.
enum class IncarnationComparison {
    Same, ///< The recorded incarnation, or one of the two is unknown.
    Restarted, ///< A new incarnation: what was recorded before is no longer valid.
    Outdated, ///< An incarnation that has already been replaced by another one: the message is late.
};

/// \brief The backend servers of a deployment, from their entries in the store's register and from their answers.
///
/// Entries expire while the store is unavailable, although their servers are alive, and are restored shortly after its return. So an entry that is missing
/// after an outage remains valid for a grace period; one that is removed while the store is available is removed at once.
class ServerRegister
{
public:
    /// \brief Replaces the whole register with \a servers.
    void replace(const std::vector<RegisteredServer> &servers, Core::TimePoint now);

    /// \brief Adds or updates one entry.
    void set(const RegisteredServer &server);

    /// \brief Handles the removal of the entry of \a id from the store.
    void remove(const std::string &id, Core::TimePoint now);

    /// \brief Marks the store as unavailable: entries that it loses meanwhile may still be valid.
    void markStoreLost();

    /// \brief Marks the store as available again; entries that are not restored by \a graceDeadline are removed.
    void markStoreRegained(Core::TimePoint graceDeadline);

    /// \brief Updates the incarnation of the backend server \a id; after a restart its weights are those of its entry.
    IncarnationComparison updateIncarnation(const std::string &id, std::uint64_t incarnation);

    /// \brief Makes \a incarnation, which was taken for an earlier one of the backend server \a id, the present one again.
    void restoreIncarnation(const std::string &id, std::uint64_t incarnation);

    /// \brief Updates the weights of a backend server of which \a evidence shows that it runs \a version of \a model.
    void updateWeights(const std::string &id, const std::string &model, std::uint64_t version, const WeightsEvidence &evidence = {});

    /// \brief Returns the number of the last news of weights; news have increasing numbers.
    std::uint64_t lastWeightsNews() const;

    /// \brief Removes the backend server \a id, which answered that it no longer has this id.
    void markReplaced(const std::string &id);

    /// \brief Marks the backend server \a id, whose answer said so, as leaving until it has restarted, whatever its entry says later. Returns whether it was
    /// not marked before.
    bool markLeaving(const std::string &id);

    /// \brief Removes the entries whose grace period has ended; returns whether there were any.
    bool expire(Core::TimePoint now);

    /// \brief Returns all backend servers that may exist, by id.
    const std::map<std::string, RegisteredServer> &servers() const;

    /// \brief Returns a number that increases whenever servers() changes.
    std::uint64_t revision() const;

private:
    bool mayHaveExpired(Core::TimePoint now) const;
    void removeEntry(const std::string &id);
    IncarnationComparison compare(const RegisteredServer &entry, std::uint64_t incarnation) const;
    void applyEntryWeights(RegisteredServer &server);
    bool hasSaidLeaving(const RegisteredServer &server) const;
    void applyRestart(RegisteredServer &entry, std::uint64_t incarnation);

    std::map<std::string, RegisteredServer> m_servers;
    std::map<std::string, WeightsBelief> m_weights; ///< By id, of which the servers have the believed versions.
    std::uint64_t m_weightsNews = 0;
    std::map<std::string, std::vector<std::uint64_t>> m_earlierIncarnations; ///< Latest earlier incarnations by id.
    std::map<std::string, std::uint64_t> m_saidLeaving; ///< Incarnations of the servers whose answers said that they leave, by id.
    std::map<std::string, Core::TimePoint> m_missing; ///< Missing entries, and the end of their grace period.
    Core::TimePoint m_graceDeadline{}; ///< Until then a missing entry may have expired in an outage.
    bool m_isStoreLost = false;
    std::uint64_t m_revision = 0;
};

} // namespace Verbena::Decisions
