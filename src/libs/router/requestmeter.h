#pragma once

#include <core/time.h>
#include <observe/metrics.h>

#include <verbena.pb.h>

#include <cstdint>

namespace Verbena::Router {

/// \brief Records the latencies and token counts of one request in the histograms of its tenant.
class RequestMeter
{
public:
    RequestMeter(Observe::Metrics &metrics, Observe::TenantLabel tenant, Core::TimePoint startTime);

    /// \brief Records that \a count tokens were received from the agent at \a now.
    void recordTokens(std::uint32_t count, Core::TimePoint now);

    /// \brief Records the queue wait and the token counts of a complete answer.
    void recordEnd(const verbena::wire::Ended &ended);

private:
    Observe::Metrics &m_metrics;
    Observe::TenantLabel m_tenant;
    Core::TimePoint m_lastTokensAt; ///< Time of the last tokens; before the first, the start of the request.
    bool m_hasTokens = false;
};

} // namespace Verbena::Router
