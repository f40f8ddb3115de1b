#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Decisions {

/// \brief The version of a model's weights that a backend server runs.
struct ServedWeights
{
    std::string model;
    std::uint64_t version = 0;

    bool operator==(const ServedWeights &) const = default;
};

/// \brief The models that a backend server runs, each once and with one version of its weights, ordered by name.
class ServedModels
{
public:
    using const_iterator = std::vector<ServedWeights>::const_iterator;

    ServedModels() = default;
    ServedModels(std::initializer_list<ServedWeights> models);

    /// \brief Records that \a version of \a model is run. A model that is named more than once keeps the oldest version.
    void record(const std::string &model, std::uint64_t version);

    /// \brief Replaces the version of \a model, which has no effect if the model is not run.
    void replace(std::string_view model, std::uint64_t version);

    /// \brief Returns the version of \a model, or nothing if it is not run.
    std::optional<std::uint64_t> versionOf(std::string_view model) const;

    bool empty() const;
    std::size_t size() const;
    const ServedWeights &front() const;
    const_iterator begin() const;
    const_iterator end() const;

    bool operator==(const ServedModels &) const = default;

private:
    std::vector<ServedWeights>::iterator placeOf(std::string_view model);

    std::vector<ServedWeights> m_models;
};

} // namespace Verbena::Decisions
