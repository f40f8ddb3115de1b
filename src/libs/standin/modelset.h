#pragma once

#include "engineoptions.h"

#include <core/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Standin {

/// \brief What became of an order.
struct OrderAnswer
{
    int status = 200; ///< 200 in force already, 202 begun, 400 not understood, 409 refused for its fencing number.
    std::string body;
};

/// \brief The models an engine has loaded, and the orders that change them.
///
/// The body of `POST /orders`: `order` ("load", "unload" or "role"), `fencing` (number), `model`, `adapter`, `version`, or `role`. A loaded version
/// takes the place of another version of the same model and adapter as soon as it is loaded. Repeating an order changes nothing.
class ModelSet
{
public:
    explicit ModelSet(const EngineOptions &options);

    OrderAnswer take(const std::string &body, Core::TimePoint now);

    /// \brief Puts in force what has been loaded by \a now.
    void advance(Core::TimePoint now);

    /// \brief True if requests for \a model ("model" or "model:adapter") are served.
    bool isServed(const std::string &model) const;

    /// \brief True if no models were given and none unloaded, so that every model is served.
    bool isServingAll() const;

    /// \brief The version in use of \a model; empty if that is not known.
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

    OrderAnswer load(const LoadedModel &model, Core::TimePoint now);
    OrderAnswer unload(const LoadedModel &model);
    void removeOthers(const LoadedModel &model);

    const EngineOptions &m_options;
    bool m_isServingAll;
    std::vector<LoadedModel> m_loaded;
    std::vector<Loading> m_loading;
    std::string m_role = "both";
    std::uint64_t m_highestFencing = 0;
};

} // namespace Verbena::Standin
