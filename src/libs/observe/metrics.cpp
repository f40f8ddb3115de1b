#include "metrics.h"

#include "logarithmichistogram.h"
#include "prometheustext.h"

#include <cmath>
#include <set>

namespace Verbena::Observe {

namespace {

constexpr const char *namePrefix = "verbena_";
const TenantLabel otherTenants{"other", "other"};

using TenantHistograms = std::map<TenantLabel, LogarithmicHistogram>;

std::string labelsOf(const TenantLabel &tenant)
{
    return "organisation=\"" + escapePrometheusLabel(tenant.organisation) + "\",class=\"" + escapePrometheusLabel(tenant.requestClass) + '"';
}

void appendValue(std::string &text, const std::string &name, const char *type, const std::string &value)
{
    text += "# TYPE ";
    text.append(namePrefix).append(name).append(" ").append(type).append("\n");
    text.append(namePrefix).append(name).append(" ").append(value).append("\n");
}

void appendHistograms(std::string &text, const std::map<std::string, TenantHistograms> &histograms)
{
    for (const auto &[name, tenants] : histograms) {
        text += "# TYPE " + (namePrefix + name) + " histogram\n";
        for (const auto &[tenant, histogram] : tenants) {
            histogram.appendPrometheus(text, namePrefix + name, labelsOf(tenant));
        }
    }
}

} // namespace

struct Metrics::Internals
{
    std::size_t maximumTenants = 0;
    std::set<TenantLabel> tenants;
    std::map<std::string, TenantHistograms> durations;
    std::map<std::string, TenantHistograms> amounts;
    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;

    /// Returns \a tenant, or a common label beyond the maximum. Callers choose the class names, so without a limit they could exhaust the memory.
    const TenantLabel &boundedTenant(const TenantLabel &tenant)
    {
        if (tenants.contains(tenant)) {
            return tenant;
        }
        if (tenants.size() >= maximumTenants) {
            return otherTenants;
        }
        return *tenants.insert(tenant).first;
    }

    void record(std::map<std::string, TenantHistograms> &histograms, const BinLayout &bins, const std::string &name, const TenantLabel &tenant, double value)
    {
        histograms[name].try_emplace(boundedTenant(tenant), bins).first->second.record(value);
    }
};

Metrics::Metrics(std::size_t maximumTenants)
    : m_internals(std::make_unique<Internals>())
{
    m_internals->maximumTenants = maximumTenants;
}

Metrics::~Metrics() = default;

void Metrics::recordDuration(const std::string &name, const TenantLabel &tenant, std::chrono::microseconds duration)
{
    m_internals->record(m_internals->durations, durationBins, name, tenant, std::chrono::duration<double>(duration).count());
}

void Metrics::recordAmount(const std::string &name, const TenantLabel &tenant, std::uint64_t amount)
{
    m_internals->record(m_internals->amounts, amountBins, name, tenant, static_cast<double>(amount));
}

void Metrics::count(const std::string &name, std::uint64_t amount)
{
    m_internals->counters[name] += amount;
}

void Metrics::setGauge(const std::string &name, double value)
{
    m_internals->gauges[name] = value;
}

std::string Metrics::renderPrometheus() const
{
    std::string text;
    for (const auto &[name, value] : m_internals->counters) {
        appendValue(text, name, "counter", std::to_string(value));
    }
    for (const auto &[name, value] : m_internals->gauges) {
        appendValue(text, name, "gauge", prometheusNumber(value));
    }
    appendHistograms(text, m_internals->durations);
    appendHistograms(text, m_internals->amounts);
    return text;
}

std::chrono::microseconds Metrics::quantile(const std::string &name, double q) const
{
    const auto found = m_internals->durations.find(name);
    if (found == m_internals->durations.end()) {
        return std::chrono::microseconds(0);
    }
    LogarithmicHistogram all(durationBins);
    for (const auto &[tenant, histogram] : found->second) {
        all.add(histogram);
    }
    return std::chrono::microseconds(std::llround(all.quantile(q) * 1e6));
}

} // namespace Verbena::Observe
