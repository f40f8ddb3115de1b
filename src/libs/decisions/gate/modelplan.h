#pragma once

#include "../routing/backendserver.h"

#include <core/time.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Decisions {

/// \brief A model or adapter as declared in the settings.
struct DeclaredModel
{
    ModelVersion version; ///< Base model or adapter, with the weights version in force.
    std::uint32_t replicas = 0; ///< Number of engines that should hold the model; 0 means all eligible engines.
};

/// \brief An engine as described by the settings and the host list.
struct PlannedEngine
{
    BackendServerId id{};
    std::vector<std::string> models; ///< Names of the models that the engine may hold: "model" or "model:adapter".
    bool isPresent = true; ///< Whether the engine is on the host list and not leaving.
};

/// \brief Delays that prevent loads when hosts leave and return within a short time.
struct ModelPlanOptions
{
    std::chrono::milliseconds absenceGrace{30000}; ///< Time for which an absent host still counts in the placement.
    std::chrono::milliseconds presenceGrace{10000}; ///< Time after which a new host counts in the placement.
    std::chrono::milliseconds unloadDelay{300000}; ///< Time for which a version that is no longer desired stays loaded.
};

/// \brief An order to the engine.
struct ModelOrder
{
    enum class Kind {
        Load, ///< Load the version. Requires a permit first.
        Unload,
    };

    Kind kind = Kind::Load;
    ModelVersion version;

    bool operator==(const ModelOrder &) const = default;
};

/// \brief Decides which models, adapters and versions one engine should hold.
///
/// Every agent decides for its own engine by rendezvous hashing. All agents use the same settings and host list, so their
/// decisions agree.
class ModelPlan
{
public:
    explicit ModelPlan(BackendServerId self, const ModelPlanOptions &options = {});

    /// \brief Replaces the declared models.
    void setModels(std::vector<DeclaredModel> models, Core::TimePoint now);

    /// \brief Replaces the engines. The engines that are present in the first call count in the placement at once.
    void setEngines(const std::vector<PlannedEngine> &engines, Core::TimePoint now);

    /// \brief Replaces the versions that the engine reports as loaded.
    void setLoaded(std::vector<ModelVersion> loaded, Core::TimePoint now);

    /// \brief Applies the delays that have expired by \a now.
    void tick(Core::TimePoint now);

    /// \brief Returns the time at which tick() must be called, or nothing if no delay is pending.
    std::optional<Core::TimePoint> nextDeadline() const;

    /// \brief Returns the versions that the engine should hold.
    const std::vector<ModelVersion> &desired() const;

    /// \brief Returns the orders for the engine, loads first. An order is repeated until setLoaded() shows its effect.
    const std::vector<ModelOrder> &orders() const;

private:
    struct EngineState
    {
        std::vector<std::string> models;
        bool isPresent = false;
        bool isCounted = false; ///< Whether the engine counts in the placement.
        Core::TimePoint graceEndsAt; ///< Time at which isCounted becomes equal to isPresent.
    };

    // A version that is loaded and not desired.
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
    std::vector<Surplus> m_surplus;
    std::vector<ModelOrder> m_orders;
    bool m_hasEngines = false;
};

} // namespace Verbena::Decisions
