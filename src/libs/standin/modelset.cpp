#include "modelset.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Verbena::Standin {

namespace {

using nlohmann::json;

std::string nameOf(const LoadedModel &model)
{
    return model.adapter.empty() ? model.model : model.model + ":" + model.adapter;
}

bool isSameModel(const LoadedModel &left, const LoadedModel &right)
{
    return left.model == right.model && left.adapter == right.adapter;
}

} // namespace

ModelSet::ModelSet(const EngineOptions &options)
    : m_options(options)
    , m_isServingAll(options.models.empty())
    , m_loaded(options.models)
{
}

OrderResponse ModelSet::handleOrder(const std::string &body, Core::TimePoint now)
{
    const json root = json::parse(body, nullptr, false);
    if (!root.is_object()) {
        return {400, R"({"error":"The body is not a JSON object."})"};
    }
    try {
        const auto fencing = root.value("fencing", std::uint64_t{0});
        if (m_options.isCheckingFencing && fencing < m_highestFencing) {
            return {409, json{{"error", "The fencing number is too old."}, {"highest_fencing", m_highestFencing}}.dump()};
        }
        m_highestFencing = std::max(m_highestFencing, fencing);
        const LoadedModel model{root.value("model", ""), root.value("adapter", ""), root.value("version", "")};
        const std::string order = root.at("order").get<std::string>();
        if (order == "load") {
            return load(model, now);
        }
        if (order == "unload") {
            return unload(model);
        }
        if (order == "role") {
            m_role = root.at("role").get<std::string>();
            return {200, R"({"state":"in force"})"};
        }
        return {400, R"({"error":"There is no such order."})"};
    } catch (const json::exception &exception) {
        return {400, json{{"error", exception.what()}}.dump()};
    }
}

OrderResponse ModelSet::load(const LoadedModel &model, Core::TimePoint now)
{
    if (std::ranges::find(m_loaded, model) != m_loaded.end()) {
        return {200, R"({"state":"loaded"})"};
    }
    if (std::ranges::find(m_loading, model, &Loading::model) == m_loading.end()) {
        m_loading.push_back({model, now + m_options.weightsLoadTime});
    }
    return {202, R"({"state":"loading"})"};
}

OrderResponse ModelSet::unload(const LoadedModel &model)
{
    const auto matches = [&model](const LoadedModel &other) {
        return isSameModel(model, other) && (model.version.empty() || model.version == other.version);
    };
    std::erase_if(m_loaded, matches);
    std::erase_if(m_loading, [&matches](const Loading &other) { return matches(other.model); });
    m_isServingAll = false;
    return {200, R"({"state":"unloaded"})"};
}

void ModelSet::completeLoads(Core::TimePoint now)
{
    for (const Loading &loading : m_loading) {
        if (loading.readyAt <= now) {
            removeOtherVersions(loading.model);
            m_loaded.push_back(loading.model);
        }
    }
    std::erase_if(m_loading, [now](const Loading &loading) { return loading.readyAt <= now; });
}

void ModelSet::removeOtherVersions(const LoadedModel &model)
{
    std::erase_if(m_loaded, [&model](const LoadedModel &other) { return isSameModel(model, other); });
}

bool ModelSet::isServed(const std::string &model) const
{
    return m_isServingAll || std::ranges::any_of(m_loaded, [&model](const LoadedModel &loaded) { return nameOf(loaded) == model; });
}

bool ModelSet::isServingAll() const
{
    return m_isServingAll;
}

std::string ModelSet::versionOf(const std::string &model) const
{
    const auto found = std::ranges::find_if(m_loaded, [&model](const LoadedModel &loaded) { return nameOf(loaded) == model; });
    return found == m_loaded.end() ? std::string() : found->version;
}

const std::vector<LoadedModel> &ModelSet::loaded() const
{
    return m_loaded;
}

std::vector<LoadedModel> ModelSet::loading() const
{
    std::vector<LoadedModel> models;
    for (const Loading &loading : m_loading) {
        models.push_back(loading.model);
    }
    return models;
}

const std::string &ModelSet::role() const
{
    return m_role;
}

} // namespace Verbena::Standin
