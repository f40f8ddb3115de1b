#pragma once

#include "engineoptions.h"

#include <core/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Standin {

/// \brief Result of an order, as an HTTP answer.
struct OrderResponse
{
    int status = 200; ///< 200 in effect, 202 started, 400 invalid, 409 refused because of its fencing number.
    std::string body;
};

/// \brief Models that an engine has loaded. Executes the orders that change them.
///
/// The body of `POST /orders`: `order` ("load", "unload" or "role"), `fencing` (number), `model`, `adapter`, `version`, or `role`. A version
/// replaces other versions of the same model and adapter as soon as it is loaded. Orders are idempotent.
class ModelSet
{
public:
    explicit ModelSet(const EngineOptions &options);

    /// \brief Executes the order in the JSON object \a body.
    OrderResponse handleOrder(const std::string &body, Core::TimePoint now);

    /// \brief Starts to serve the versions whose loading has finished by \a now.
    void completeLoads(Core::TimePoint now);

    /// \brief Returns whether requests for \a model ("model" or "model:adapter") are served.
    bool isServed(const std::string &model) const;

    /// \brief Returns whether every model is served: no models were configured and none has been unloaded.
    bool isServingAll() const;

    /// \brief Returns the version in use of \a model; empty if unknown.
    std::string versionOf(const std::string &model) const;

    const std::vector<LoadedModel> &loaded() const;
    std::vector<LoadedModel> loading() const;
    const std::string &role() const;

private:
    struct Loading
    {
        LoadedModel model;
        Core::TimePoint readyAt;
    };

    OrderResponse load(const LoadedModel &model, Core::TimePoint now);
    OrderResponse unload(const LoadedModel &model);
    void removeOtherVersions(const LoadedModel &model);

    const EngineOptions &m_options;
    bool m_isServingAll;
    std::vector<LoadedModel> m_loaded;
    std::vector<Loading> m_loading;
    std::string m_role = "both";
    std::uint64_t m_highestFencing = 0;
};

} // namespace Verbena::Standin
