#include "servedmodels.h"

#include <algorithm>

namespace Verbena::Decisions {

namespace {

bool isBefore(const ServedWeights &weights, std::string_view model)
{
    return weights.model < model;
}

} // namespace

ServedModels::ServedModels(std::initializer_list<ServedWeights> models)
{
    for (const ServedWeights &weights : models) {
        record(weights.model, weights.version);
    }
}

std::vector<ServedWeights>::iterator ServedModels::placeOf(std::string_view model)
{
    return std::lower_bound(m_models.begin(), m_models.end(), model, isBefore);
}

// The oldest version of several is raised by the next answer that shows a newer one.
void ServedModels::record(const std::string &model, std::uint64_t version)
{
    const auto place = placeOf(model);
    if (place == m_models.end() || place->model != model) {
        m_models.insert(place, {model, version});
        return;
    }
    place->version = std::min(place->version, version);
}

void ServedModels::replace(std::string_view model, std::uint64_t version)
{
    const auto place = placeOf(model);
    if (place != m_models.end() && place->model == model) {
        place->version = version;
    }
}

std::optional<std::uint64_t> ServedModels::versionOf(std::string_view model) const
{
    const auto place = std::lower_bound(m_models.begin(), m_models.end(), model, isBefore);
    return place == m_models.end() || place->model != model ? std::nullopt : std::optional(place->version);
}

bool ServedModels::empty() const
{
    return m_models.empty();
}

std::size_t ServedModels::size() const
{
    return m_models.size();
}

const ServedWeights &ServedModels::front() const
{
    return m_models.front();
}

ServedModels::const_iterator ServedModels::begin() const
{
    return m_models.begin();
}

ServedModels::const_iterator ServedModels::end() const
{
    return m_models.end();
}

} // namespace Verbena::Decisions
