#pragma once

#include "callerdirectory.h"
#include "callerrequest.h"
#include "requestcontext.h"
#include "requestplan.h"
#include "requesttask.h"

#include <http/httpexchange.h>

#include <memory>
#include <optional>
#include <string>

namespace Verbena::Router {

/// \brief Turns what callers send into requests: checks key, header fields, body and limits, or answers what is wrong.
class RequestFactory
{
public:
    RequestFactory(const RequestContext &context, const RouterSettings &settings);

    /// \brief Takes the settings in force.
    void setSettings(std::shared_ptr<const Settings::InForceSettings> settings);

    /// \brief The task of a completion; null if the exchange was answered.
    std::shared_ptr<RequestTask> createCompletion(const std::shared_ptr<Http::HttpExchange> &exchange, CallerInterface interface);

    /// \brief The task of a call of a plain service; null if the exchange was answered.
    std::shared_ptr<RequestTask> createServiceCall(const std::shared_ptr<Http::HttpExchange> &exchange);

    /// \brief Answers with the models that the caller may call.
    void listModels(Http::HttpExchange &exchange) const;

    /// \brief Answers where a completion would go, with the reasons, without running it.
    void explain(Http::HttpExchange &exchange) const;

private:
    const Settings::TeamSettings *authenticate(Http::HttpExchange &exchange) const;
    Core::Result<RequestOptions> readOptions(const Http::HttpExchange &exchange, const Settings::TeamSettings &team) const;
    Core::Result<Core::TimePoint> readDeadline(const Http::HttpExchange &exchange) const;
    Core::Result<RequestPlan> planCompletion(const Http::HttpExchange &exchange, const CallerRequest &request, const Settings::TeamSettings &team) const;
    bool acquireSlot(Http::HttpExchange &exchange, const Settings::TeamSettings &team, RequestPlan &plan);

    RequestContext m_context;
    const RouterSettings &m_settings;
    std::shared_ptr<const Settings::InForceSettings> m_inForce;
    CallerDirectory m_callers;
    TeamLimits m_limits;
};

} // namespace Verbena::Router
