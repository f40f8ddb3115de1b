#pragma once

#include "../routing/backendserver.h"

#include <core/time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief A model as the settings declare it.
struct DeclaredModel
{
    ModelVersion version; ///< Bare model or adapter, with the weights version in force.
    std::uint32_t replicas = 0; ///< Engines that should hold it; 0 means all that may.
};

/// \brief An engine as settings and host list show it.
struct PlannedEngine
{
    BackendServerId id{};
    std::vector<std::string> models; ///< What it may hold: "model" or "model:adapter".
    bool isPresent = true; ///< On the host list and not leaving.
};

/// \brief Spans that keep hosts that come and go from causing loads.
struct ModelPlanOptions
{
    std::chrono::milliseconds absenceGrace{30000}; ///< A host that is gone for less is still counted on.
    std::chrono::milliseconds presenceGrace{10000}; ///< A new host is counted on after this.
    std::chrono::milliseconds unloadDelay{300000}; ///< What is wanted no more is kept for this long.
};

/// \brief Something that the engine should be ordered to do.
struct ModelOrder
{
    enum class Kind {
        Load, ///< Needs a permit first.
        Unload,
    };

    Kind kind = Kind::Load;
    ModelVersion version;

    bool operator==(const ModelOrder &) const = default;
};

/// \brief Decides for one engine which models, adapters and versions it should hold.
///
/// Every agent decides for its own engine, from the same settings and host list, by rendezvous hashing.
class ModelPlan
{
public:
    explicit ModelPlan(BackendServerId self, const ModelPlanOptions &options = {});

    void setModels(std::vector<DeclaredModel> models, Core::TimePoint now);

    /// \brief Takes the engines in place of those before. Those of the first call are counted on at once.
    void setEngines(const std::vector<PlannedEngine> &engines, Core::TimePoint now);

    /// \brief What the engine says that it holds.
    void setLoaded(std::vector<ModelVersion> loaded, Core::TimePoint now);

    /// \brief Lets time pass.
    void tick(Core::TimePoint now);

    /// \brief When tick() has something to do.
    std::optional<Core::TimePoint> nextDeadline() const;

    /// \brief What the engine should hold.
    const std::vector<ModelVersion> &desired() const;

    /// \brief What the engine should be ordered, loads first. An order is repeated until setHeld() shows its effect.
    const std::vector<ModelOrder> &orders() const;

private:
    struct EngineState
    {
        std::vector<std::string> models;
        bool isPresent = false;
        bool isCounted = false;
        Core::TimePoint graceEndsAt; ///< When isCounted follows isPresent.
    };

    struct Surplus
    {
        ModelVersion version;
        Core::TimePoint unloadAt;
    };

    void update(Core::TimePoint now);
    void updateDesired();
    void updateSurplus(Core::TimePoint now);
    void updateOrders(Core::TimePoint now);
    bool isPlacedHere(const DeclaredModel &model) const;
    bool isLoaded(const ModelVersion &version) const;
    bool isDesired(const ModelVersion &version) const;
    bool isDeclared(const ModelVersion &version) const;
    bool isReplacementLoaded(const ModelVersion &version) const;

    BackendServerId m_self;
    ModelPlanOptions m_options;
    std::vector<DeclaredModel> m_models;
    std::map<BackendServerId, EngineState> m_engines;
    std::vector<ModelVersion> m_loaded;
    std::vector<ModelVersion> m_desired;
    std::vector<Surplus> m_surplus; ///< Held and not wanted.
    std::vector<ModelOrder> m_orders;
    bool m_hasEngines = false;
};

} // namespace Verbena::Decisions
