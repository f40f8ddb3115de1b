#include "requestmeter.h"

#include <core/boundedspan.h>

#include <algorithm>

namespace Verbena::Router {

namespace {

const std::string timeToFirstToken = "time_to_first_token_seconds";
const std::string timeBetweenTokens = "time_between_tokens_seconds";
const std::string queueWait = "queue_wait_seconds";
const std::string recomputedTokens = "recomputed_tokens";
const std::string cachedTokens = "cached_tokens";

} // namespace

RequestMeter::RequestMeter(Observe::Metrics &metrics, Observe::TenantLabel tenant, Core::TimePoint startTime)
    : m_metrics(metrics)
    , m_tenant(std::move(tenant))
    , m_lastTokensAt(startTime)
{
}

void RequestMeter::recordTokens(std::uint32_t count, Core::TimePoint now)
{
    const auto since = std::chrono::duration_cast<std::chrono::microseconds>(now - m_lastTokensAt);
    m_lastTokensAt = now;
    if (!m_hasTokens) {
        m_hasTokens = true;
        m_metrics.recordDuration(timeToFirstToken, m_tenant, since);
    } else if (count > 0) {
        m_metrics.recordDuration(timeBetweenTokens, m_tenant, since / count);
    }
}

void RequestMeter::recordEnd(const verbena::wire::Ended &ended)
{
    m_metrics.recordDuration(queueWait, m_tenant, Core::boundedSpan<std::chrono::microseconds>(ended.queue_wait_us()));
    const std::uint32_t cached = std::min(ended.cached_tokens(), ended.prompt_tokens());
    m_metrics.recordAmount(cachedTokens, m_tenant, cached);
    m_metrics.recordAmount(recomputedTokens, m_tenant, ended.prompt_tokens() - cached);
}

} // namespace Verbena::Router
