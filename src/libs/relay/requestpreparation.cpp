#include "requestpreparation.h"

#include <decisions/relay/admission.h>
#include <eventloop/loop.h>
#include <observe/metrics.h>

#include <algorithm>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// Retry delay for a caller whose stream no server can continue, unless one of its software version is started.
constexpr milliseconds goneSoftwareDelay{1000};

} // namespace

RequestPreparation::RequestPreparation(const RelayContext &context, RequestFacts &facts, Callback done)
    : m_context(context)
    , m_facts(facts)
    , m_done(std::move(done))
    , m_usage(context.usage)
    , m_origin(context.origins)
{
}

void RequestPreparation::start()
{
    if (m_origin.isEnabled() && m_facts.isResumption()) {
        findOrigin();
    } else {
        claimUsage();
    }
}

void RequestPreparation::findOrigin()
{
    m_origin.find({m_facts.streamKey(), m_facts.service, Decisions::longestStream(*m_facts.route)},
        [this](const std::optional<Decisions::StreamOrigin> &origin) { handleOrigin(origin); });
}

void RequestPreparation::handleOrigin(const std::optional<Decisions::StreamOrigin> &origin)
{
    if (!origin.has_value()) {
        refuse(503, "It is not known here which software version began the stream; it has not run.");
        return;
    }
    const bool isServed = std::any_of(m_facts.route->services.begin(), m_facts.route->services.end(), [&origin](const Decisions::ServiceShare &share) {
        return share.service == origin->service;
    });
    if (!isServed || !m_context.fleet.hasSoftware(origin->service, origin->softwareVersion)) {
        const milliseconds retryAfter = Decisions::retryDelay(goneSoftwareDelay, m_facts.remainingTime(m_context.loop.now()));
        refuse(503, "No backend server of the software version that began the stream is left; it has not run.", retryAfter);
        return;
    }
    m_facts.service = origin->service;
    m_softwareVersion = origin->softwareVersion;
    claimUsage();
}

void RequestPreparation::claimUsage()
{
    if (m_facts.organisation == nullptr || !m_facts.organisation->usageCap.has_value() || !m_usage.isEnabled()) {
        m_done(std::nullopt);
        return;
    }
    const Decisions::UsageCap &cap = *m_facts.organisation->usageCap;
    const Decisions::UsageClaim claim{m_facts.organisation->name, cap, m_facts.directory->version(), usageCost(cap, m_facts.query.tokens), m_facts.priority()};
    m_usage.claim(claim, [this](const Decisions::UsageVerdict &verdict) {
        if (verdict.isGranted) {
            m_done(std::nullopt);
            return;
        }
        m_context.metrics.count("requests_over_cap_total");
        m_context.metrics.count("requests_over_cap_priority_" + std::to_string(m_facts.priority()) + "_total");
        refuse(429, "The usage cap of the organisation is reached; it has not run.", std::max(verdict.retryAfter, Decisions::minimumRetryDelay));
    });
}

void RequestPreparation::refuse(int status, const std::string &message, std::optional<milliseconds> retryAfter)
{
    m_done(Refusal{status, message, retryAfter});
}

const std::optional<std::string> &RequestPreparation::softwareVersion() const
{
    return m_softwareVersion;
}

// What servers of two software versions generate does not fit together.
bool RequestPreparation::isSoftwareGone() const
{
    return m_softwareVersion.has_value() && !m_context.fleet.hasSoftware(m_facts.service, *m_softwareVersion);
}

// Other routers have to know of the stream before its caller can resume it there.
void RequestPreparation::beginStream(const std::string &softwareVersion)
{
    m_softwareVersion = softwareVersion;
    if (m_facts.route->isResumable) {
        m_origin.begin({m_facts.streamKey(), {m_facts.service, softwareVersion}, Decisions::longestStream(*m_facts.route)});
    }
}

void RequestPreparation::endStream(bool isWhole)
{
    m_origin.end(isWhole);
}

void RequestPreparation::releaseUsage()
{
    m_usage.release();
}

} // namespace Verbena::Relay
