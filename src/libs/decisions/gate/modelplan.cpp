#include "modelplan.h"

#include "../routing/placement.h"

#include <xxhash.h>

#include <algorithm>

namespace Verbena::Decisions {

namespace {

std::string declaredName(const ModelVersion &version)
{
    return version.adapter.empty() ? version.model : version.model + ":" + version.adapter;
}

// The key leaves out the weights version, so that a new version is placed on the engines that hold the old one.
PrefixKey placementKey(const ModelVersion &version)
{
    const std::string name = declaredName(version);
    return PrefixKey(XXH3_64bits(name.data(), name.size()));
}

bool contains(const std::vector<ModelVersion> &versions, const ModelVersion &version)
{
    return std::find(versions.begin(), versions.end(), version) != versions.end();
}

} // namespace

ModelPlan::ModelPlan(BackendServerId self, const ModelPlanOptions &options)
    : m_self(self)
    , m_options(options)
{
}

void ModelPlan::setModels(std::vector<DeclaredModel> models, Core::TimePoint now)
{
    m_models = std::move(models);
    update(now);
}

void ModelPlan::setEngines(const std::vector<PlannedEngine> &engines, Core::TimePoint now)
{
    std::map<BackendServerId, EngineState> states;
    for (const PlannedEngine &engine : engines) {
        const auto previous = m_engines.find(engine.id);
        EngineState state = previous == m_engines.end() ? EngineState() : previous->second;
        state.models = engine.models;
        if (!m_hasEngines) {
            state.isPresent = engine.isPresent;
            state.isCounted = engine.isPresent;
        } else if (state.isPresent != engine.isPresent) {
            state.isPresent = engine.isPresent;
            state.graceEndsAt = now + (engine.isPresent ? m_options.presenceGrace : m_options.absenceGrace);
        }
        states.emplace(engine.id, std::move(state));
    }
    m_engines = std::move(states);
    m_hasEngines = true;
    update(now);
}

void ModelPlan::setLoaded(std::vector<ModelVersion> loaded, Core::TimePoint now)
{
    m_loaded = std::move(loaded);
    update(now);
}

void ModelPlan::tick(Core::TimePoint now)
{
    update(now);
}

std::optional<Core::TimePoint> ModelPlan::nextDeadline() const
{
    std::optional<Core::TimePoint> next;
    for (const auto &[id, state] : m_engines) {
        if (state.isCounted != state.isPresent && (!next || state.graceEndsAt < *next)) {
            next = state.graceEndsAt;
        }
    }
    for (const Surplus &surplus : m_surplus) {
        const bool isOrdered = contains(m_loaded, surplus.version)
            && std::find(m_orders.begin(), m_orders.end(), ModelOrder{ModelOrder::Kind::Unload, surplus.version}) != m_orders.end();
        if (!isOrdered && (!next || surplus.unloadAt < *next)) {
            next = surplus.unloadAt;
        }
    }
    return next;
}

const std::vector<ModelVersion> &ModelPlan::desired() const
{
    return m_desired;
}

const std::vector<ModelOrder> &ModelPlan::orders() const
{
    return m_orders;
}

void ModelPlan::update(Core::TimePoint now)
{
    for (auto &[id, state] : m_engines) {
        if (state.isCounted != state.isPresent && state.graceEndsAt <= now) {
            state.isCounted = state.isPresent;
        }
    }
    updateDesired();
    updateSurplus(now);
    updateOrders(now);
}

void ModelPlan::updateDesired()
{
    m_desired.clear();
    for (const DeclaredModel &model : m_models) {
        if (isPlacedHere(model)) {
            m_desired.push_back(model.version);
        }
    }
}

// Versions that an operator has removed or replaced are unloaded as soon as their replacement is loaded. Only changes caused by
// hosts that leave or return are delayed.
void ModelPlan::updateSurplus(Core::TimePoint now)
{
    std::vector<Surplus> surplus;
    for (const ModelVersion &version : m_loaded) {
        if (isDesired(version)) {
            continue;
        }
        const auto previous = std::find_if(m_surplus.begin(), m_surplus.end(), [&version](const Surplus &other) { return other.version == version; });
        Surplus entry = previous == m_surplus.end() ? Surplus{version, now + m_options.unloadDelay} : *previous;
        if (!isDeclared(version) && isReplacementLoaded(version)) {
            entry.unloadAt = std::min(entry.unloadAt, now);
        }
        surplus.push_back(std::move(entry));
    }
    m_surplus = std::move(surplus);
}

void ModelPlan::updateOrders(Core::TimePoint now)
{
    m_orders.clear();
    for (const ModelVersion &version : m_desired) {
        if (!isLoaded(version)) {
            m_orders.push_back({ModelOrder::Kind::Load, version});
        }
    }
    for (const Surplus &surplus : m_surplus) {
        if (surplus.unloadAt <= now) {
            m_orders.push_back({ModelOrder::Kind::Unload, surplus.version});
        }
    }
}

bool ModelPlan::isPlacedHere(const DeclaredModel &model) const
{
    const std::string name = declaredName(model.version);
    std::vector<BackendServerId> pool;
    bool isEligible = false;
    for (const auto &[id, state] : m_engines) {
        if (std::find(state.models.begin(), state.models.end(), name) == state.models.end()) {
            continue;
        }
        isEligible = isEligible || id == m_self;
        if (state.isCounted) {
            pool.push_back(id);
        }
    }
    if (!isEligible || model.replicas == 0) {
        return isEligible;
    }
    const std::vector<BackendServerId> ranks = Placement(pool).nearest(placementKey(model.version), model.replicas);
    return std::find(ranks.begin(), ranks.end(), m_self) != ranks.end();
}

bool ModelPlan::isLoaded(const ModelVersion &version) const
{
    return contains(m_loaded, version);
}

bool ModelPlan::isDesired(const ModelVersion &version) const
{
    return contains(m_desired, version);
}

bool ModelPlan::isDeclared(const ModelVersion &version) const
{
    return std::any_of(m_models.begin(), m_models.end(), [&version](const DeclaredModel &model) { return model.version == version; });
}

// Also true if the model is no longer declared or its new version is not placed on this engine.
bool ModelPlan::isReplacementLoaded(const ModelVersion &version) const
{
    return std::none_of(m_desired.begin(), m_desired.end(), [this, &version](const ModelVersion &other) {
        return other.model == version.model && other.adapter == version.adapter && !isLoaded(other);
    });
}

} // namespace Verbena::Decisions
