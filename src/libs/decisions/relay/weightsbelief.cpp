#include "weightsbelief.h"

#include <algorithm>
#include <utility>

namespace Verbena::Decisions {

// An answer may overtake another one, so the time at which the server was asked decides. A report may overtake another one too, so two have to agree.
bool WeightsBelief::isLater(std::uint64_t version, const WeightsEvidence &evidence, Origin &origin)
{
    if (evidence.source == WeightsSource::Answer) {
        return evidence.askedAfter >= origin.number;
    }
    return evidence.source == origin.source && std::exchange(origin.lowerReport, version) == version;
}

void WeightsBelief::applyEntry(const ServedModels &models, std::uint64_t number)
{
    const ServedModels before = std::exchange(m_models, models);
    std::erase_if(m_origins, [&models](const auto &origin) { return !models.versionOf(origin.first).has_value(); });
    for (const ServedWeights &named : models) {
        const std::optional<std::uint64_t> believed = before.versionOf(named.model);
        Origin &origin = m_origins[named.model];
        if (believed.has_value() && *believed >= named.version && origin.source != WeightsSource::Entry) {
            m_models.replace(named.model, *believed);
        } else if (believed != named.version) {
            origin = {WeightsSource::Entry, number, std::nullopt};
        }
    }
}

bool WeightsBelief::apply(const std::string &model, std::uint64_t version, const WeightsEvidence &evidence, std::uint64_t number)
{
    const std::optional<std::uint64_t> believed = m_models.versionOf(model);
    if (!believed.has_value()) {
        return false;
    }
    Origin &origin = m_origins[model];
    if (version == *believed) {
        origin.source = std::max(origin.source, evidence.source);
        origin.lowerReport.reset();
        return false;
    }
    if (version < *believed && !isLater(version, evidence, origin)) {
        return false;
    }
    origin = {evidence.source, number, std::nullopt};
    m_models.replace(model, version);
    return true;
}

void WeightsBelief::handleRestart()
{
    for (auto &[model, origin] : m_origins) {
        origin.source = WeightsSource::Entry;
    }
}

const ServedModels &WeightsBelief::models() const
{
    return m_models;
}

} // namespace Verbena::Decisions
