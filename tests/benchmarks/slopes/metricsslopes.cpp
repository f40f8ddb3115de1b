#include "measure.h"
#include "slopelist.h"

#include <observe/metrics.h>

#include <memory>

namespace Verbena::Bench {

namespace {

double bytesOfMetrics(int tenants)
{
    return heapBytesOf([tenants] {
        auto metrics = std::make_unique<Observe::Metrics>(static_cast<std::size_t>(tenants));
        for (int i = 0; i < tenants; ++i) {
            const Observe::TenantLabel tenant{"organisation" + std::to_string(i), "urgent"};
            for (int sample = 1; sample < 2'000; ++sample) {
                metrics->recordDuration("time_to_first_token_seconds", tenant, std::chrono::microseconds(sample * sample));
            }
        }
        return metrics;
    });
}

} // namespace

std::vector<Slope> metricsSlopes()
{
    return {measureSlope({"metrics_memory", "tenant histograms", "bytes", {}}, {64, 128, 256}, bytesOfMetrics)};
}

} // namespace Verbena::Bench
