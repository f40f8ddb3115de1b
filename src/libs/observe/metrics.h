#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Verbena::Observe {

/// \brief Whom a measurement is about; part of the labels of every histogram per tenant or class.
struct TenantLabel
{
    std::string organisation;
    std::string requestClass;

    // The check takes the hidden 0 of the generated comparison for a pointer.
    auto operator<=>(const TenantLabel &) const = default; // NOLINT(modernize-use-nullptr)
};

/// \brief Counts and histograms of one process, in bounded memory: beyond a number of tenants, the rest share one.
class Metrics
{
public:
    explicit Metrics(std::size_t maximumTenants = 256);
    ~Metrics();

    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// \brief Notes one span, for instance "time_to_first_token_seconds".
    void recordSpan(const std::string &name, const TenantLabel &tenant, std::chrono::microseconds span);

    /// \brief Notes one amount, for instance "recomputed_tokens".
    void recordAmount(const std::string &name, const TenantLabel &tenant, std::uint64_t amount);

    /// \brief Adds to a counter without labels.
    void count(const std::string &name, std::uint64_t amount = 1);

    /// \brief Sets a gauge without labels.
    void setGauge(const std::string &name, double value);

    /// \brief Everything in the Prometheus text format; names get the prefix "verbena_".
    std::string renderPrometheus() const;

    /// \brief The upper edge of the bin that holds quantile \a q of a span histogram over all tenants.
    std::chrono::microseconds quantile(const std::string &name, double q) const;

private:
    struct Internals;
    std::unique_ptr<Internals> m_internals;
};

} // namespace Verbena::Observe
