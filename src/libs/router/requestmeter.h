#pragma once

#include <core/time.h>
#include <observe/metrics.h>

#include <verbena.pb.h>

#include <cstdint>

namespace Verbena::Router {

/// \brief Measures one request for the histograms of its tenant.
class RequestMeter
{
public:
    RequestMeter(Observe::Metrics &metrics, Observe::TenantLabel tenant, Core::TimePoint startTime);

    /// \brief Tokens have come from the agent.
    void recordTokens(std::uint32_t count, Core::TimePoint now);

    /// \brief A completion is whole.
    void recordEnd(const verbena::wire::Ended &ended);

private:
    Observe::Metrics &m_metrics;
    Observe::TenantLabel m_tenant;
    Core::TimePoint m_lastTokensAt; ///< The startTime, or when tokens last came.
    bool m_hasTokens = false;
};

} // namespace Verbena::Router
