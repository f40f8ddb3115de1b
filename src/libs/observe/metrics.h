#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Verbena::Observe {

/// \brief The organisation and request class of a measurement; the labels of every histogram.
struct TenantLabel
{
    std::string organisation;
    std::string requestClass;

    // clang-tidy mistakes the literal 0 in the generated comparison for a null pointer.
    auto operator<=>(const TenantLabel &) const = default; // NOLINT(modernize-use-nullptr)
};

/// \brief The counters, gauges and histograms of a process. Memory is bounded: tenants beyond a maximum number share one label.
class Metrics
{
public:
    explicit Metrics(std::size_t maximumTenants = 256);
    ~Metrics();

    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// \brief Records a duration in the histogram \a name, for instance "time_to_first_token_seconds".
    void recordDuration(const std::string &name, const TenantLabel &tenant, std::chrono::microseconds duration);

    /// \brief Records an amount in the histogram \a name, for instance "recomputed_tokens".
    void recordAmount(const std::string &name, const TenantLabel &tenant, std::uint64_t amount);

    /// \brief Adds \a amount to a counter without labels.
    void count(const std::string &name, std::uint64_t amount = 1);

    /// \brief Sets a gauge without labels.
    void setGauge(const std::string &name, double value);

    /// \brief Returns all metrics in the Prometheus text format; names get the prefix "verbena_".
    std::string renderPrometheus() const;

    /// \brief Returns the upper edge of the bin that contains quantile \a q (0 to 1) of the duration histogram \a name over all tenants; 0 without data.
    std::chrono::microseconds quantile(const std::string &name, double q) const;

private:
    struct Internals;
    std::unique_ptr<Internals> m_internals;
};

} // namespace Verbena::Observe
