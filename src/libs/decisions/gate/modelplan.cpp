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

// The weights version is left out: a new version belongs where the old one is.
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
    refresh(now);
}

void ModelPlan::setEngines(const std::vector<PlannedEngine> &engines, Core::TimePoint now)
{
    std::map<BackendServerId, Member> members;
    for (const PlannedEngine &engine : engines) {
        const auto known = m_members.find(engine.id);
        Member member = known == m_members.end() ? Member() : known->second;
        member.models = engine.models;
        if (!m_hasEngines) {
            member.isPresent = engine.isPresent;
            member.isCounted = engine.isPresent;
        } else if (member.isPresent != engine.isPresent) {
            member.isPresent = engine.isPresent;
            member.settlesAt = now + (engine.isPresent ? m_options.presenceGrace : m_options.absenceGrace);
        }
        members.emplace(engine.id, std::move(member));
    }
    m_members = std::move(members);
    m_hasEngines = true;
    refresh(now);
}

void ModelPlan::setHeld(std::vector<ModelVersion> held, Core::TimePoint now)
{
    m_held = std::move(held);
    refresh(now);
}

void ModelPlan::tick(Core::TimePoint now)
{
    refresh(now);
}

std::optional<Core::TimePoint> ModelPlan::nextDeadline() const
{
    std::optional<Core::TimePoint> next;
    for (const auto &[id, member] : m_members) {
        if (member.isCounted != member.isPresent && (!next || member.settlesAt < *next)) {
            next = member.settlesAt;
        }
    }
    for (const Surplus &surplus : m_surplus) {
        const bool isOrdered = contains(m_held, surplus.version)
            && std::find(m_orders.begin(), m_orders.end(), ModelOrder{ModelOrder::Kind::Unload, surplus.version}) != m_orders.end();
        if (!isOrdered && (!next || surplus.unloadAt < *next)) {
            next = surplus.unloadAt;
        }
    }
    return next;
}

const std::vector<ModelVersion> &ModelPlan::wanted() const
{
    return m_wanted;
}

const std::vector<ModelOrder> &ModelPlan::orders() const
{
    return m_orders;
}

void ModelPlan::refresh(Core::TimePoint now)
{
    for (auto &[id, member] : m_members) {
        if (member.isCounted != member.isPresent && member.settlesAt <= now) {
            member.isCounted = member.isPresent;
        }
    }
    refreshWanted();
    refreshSurplus(now);
    refreshOrders(now);
}

void ModelPlan::refreshWanted()
{
    m_wanted.clear();
    for (const DeclaredModel &model : m_models) {
        if (isOurs(model)) {
            m_wanted.push_back(model.version);
        }
    }
}

// An operator's word takes effect at once; only what follows from hosts that come and go waits.
void ModelPlan::refreshSurplus(Core::TimePoint now)
{
    std::vector<Surplus> surplus;
    for (const ModelVersion &version : m_held) {
        if (isWanted(version)) {
            continue;
        }
        const auto known = std::find_if(m_surplus.begin(), m_surplus.end(), [&version](const Surplus &other) { return other.version == version; });
        Surplus entry = known == m_surplus.end() ? Surplus{version, now + m_options.unloadDelay} : *known;
        if (!isDeclared(version) && isReplacementHeld(version)) {
            entry.unloadAt = std::min(entry.unloadAt, now);
        }
        surplus.push_back(std::move(entry));
    }
    m_surplus = std::move(surplus);
}

void ModelPlan::refreshOrders(Core::TimePoint now)
{
    m_orders.clear();
    for (const ModelVersion &version : m_wanted) {
        if (!isHeld(version)) {
            m_orders.push_back({ModelOrder::Kind::Load, version});
        }
    }
    for (const Surplus &surplus : m_surplus) {
        if (surplus.unloadAt <= now) {
            m_orders.push_back({ModelOrder::Kind::Unload, surplus.version});
        }
    }
}

bool ModelPlan::isOurs(const DeclaredModel &model) const
{
    const std::string name = declaredName(model.version);
    std::vector<BackendServerId> pool;
    bool isEligible = false;
    for (const auto &[id, member] : m_members) {
        if (std::find(member.models.begin(), member.models.end(), name) == member.models.end()) {
            continue;
        }
        isEligible = isEligible || id == m_self;
        if (member.isCounted) {
            pool.push_back(id);
        }
    }
    if (!isEligible || model.replicas == 0) {
        return isEligible;
    }
    const std::vector<BackendServerId> ranks = Placement(pool).nearest(placementKey(model.version), model.replicas);
    return std::find(ranks.begin(), ranks.end(), m_self) != ranks.end();
}

bool ModelPlan::isHeld(const ModelVersion &version) const
{
    return contains(m_held, version);
}

bool ModelPlan::isWanted(const ModelVersion &version) const
{
    return contains(m_wanted, version);
}

bool ModelPlan::isDeclared(const ModelVersion &version) const
{
    return std::any_of(m_models.begin(), m_models.end(), [&version](const DeclaredModel &model) { return model.version == version; });
}

// True as well when the model is not declared any more, or its new version does not belong here.
bool ModelPlan::isReplacementHeld(const ModelVersion &version) const
{
    return std::none_of(m_wanted.begin(), m_wanted.end(), [this, &version](const ModelVersion &other) {
        return other.model == version.model && other.adapter == version.adapter && !isHeld(other);
    });
}

} // namespace Verbena::Decisions
