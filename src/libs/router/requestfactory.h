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

/// \brief Creates request tasks from HTTP requests: checks the API key, header fields, body and limits, and answers invalid requests with an error.
class RequestFactory
{
public:
    RequestFactory(const RequestContext &context, const RouterSettings &settings);

    /// \brief Replaces the settings in force.
    void setSettings(std::shared_ptr<const Settings::InForceSettings> settings);

    /// \brief Returns the task for a completion; null if the exchange was answered with an error.
    std::shared_ptr<RequestTask> createCompletion(const std::shared_ptr<Http::HttpExchange> &exchange, CallerInterface interface);

    /// \brief Returns the task for a call of a plain service; null if the exchange was answered with an error.
    std::shared_ptr<RequestTask> createServiceCall(const std::shared_ptr<Http::HttpExchange> &exchange);

    /// \brief Answers with the models that the caller may call.
    void listModels(Http::HttpExchange &exchange) const;

    /// \brief Answers with the routing candidates of a completion and their scores, without running it.
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
