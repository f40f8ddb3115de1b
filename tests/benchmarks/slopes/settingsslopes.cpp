#include "measure.h"
#include "slopelist.h"

#include <decisions/spread/settingsstore.h>
#include <observe/metrics.h>
#include <settingstree/inforcebuilder.h>

#include <memory>

namespace Verbena::Bench {

namespace {

using namespace SettingsTree;

constexpr int teamsPerOrganisation = 2;

ChangedRow changedRow(const std::string &path, const RowContent &content, std::uint64_t revision)
{
    return {path, encodeRow(content), revision, false};
}

Settings::TeamSettings team(const std::string &organisation, int number)
{
    Settings::TeamSettings settings;
    settings.organisation = organisation;
    settings.name = "team" + std::to_string(number);
    settings.share = 1.5;
    settings.maximumConcurrent = 40;
    settings.keySha256 = {std::string(64, 'a'), std::string(64, 'b')};
    settings.models = {"analyst", "analyst:wall", "verdict"};
    settings.services = {"register"};
    settings.classMarks = {{"urgent", 0}, {"batch", 6}};
    return settings;
}

std::vector<ChangedRow> organisationRows(int organisations)
{
    std::vector<ChangedRow> rows;
    std::uint64_t revision = 0;
    for (int i = 0; i < organisations; ++i) {
        const std::string name = "organisation" + std::to_string(i);
        const std::string path = "settings/organisations/" + name;
        rows.push_back(changedRow(path, OrganisationRow{name, 1.0}, ++revision));
        for (int j = 0; j < teamsPerOrganisation; ++j) {
            rows.push_back(changedRow(path + "/teams/team" + std::to_string(j), team(name, j), ++revision));
        }
    }
    return rows;
}

double bytesInForce(int organisations)
{
    const std::vector<ChangedRow> rows = organisationRows(organisations);
    return heapBytesOf([&rows] {
        auto builder = std::make_unique<InForceBuilder>();
        keep(builder->apply(rows, rows.back().revision));
        return builder;
    });
}

/// What every process holds of the tree besides what is in force.
double bytesOfStore(int organisations)
{
    const std::vector<ChangedRow> rows = organisationRows(organisations);
    return heapBytesOf([&rows] {
        auto store = std::make_unique<Decisions::SettingsStore>();
        Decisions::SettingsDelta delta;
        delta.covered = rows.back().revision;
        delta.highest = delta.covered;
        for (const ChangedRow &row : rows) {
            delta.rows.push_back({row.path, row.content, row.revision, false});
        }
        keep(store->merge(std::move(delta)));
        return store;
    });
}

double bytesOfRows(int organisations)
{
    double bytes = 0;
    for (const ChangedRow &row : organisationRows(organisations)) {
        bytes += static_cast<double>(row.path.size() + row.content.size());
    }
    return bytes;
}

/// One changed team comes into force in a tree of this size.
double timeOfChange(int organisations)
{
    constexpr int changes = 20;
    const std::vector<ChangedRow> rows = organisationRows(organisations);
    InForceBuilder builder;
    std::uint64_t revision = rows.back().revision;
    keep(builder.apply(rows, revision));
    return processorNanoseconds([&] {
        for (int i = 0; i < changes; ++i) {
            ChangedRow row = rows[2];
            row.revision = ++revision;
            keep(builder.apply({row}, revision));
        }
    }) / changes;
}

double timeOfWholeTree(int organisations)
{
    const std::vector<ChangedRow> rows = organisationRows(organisations);
    return processorNanoseconds([&rows] {
        InForceBuilder builder;
        keep(builder.apply(rows, rows.back().revision));
    });
}

double bytesOfMetrics(int tenants)
{
    return heapBytesOf([tenants] {
        auto metrics = std::make_unique<Observe::Metrics>(static_cast<std::size_t>(tenants));
        for (int i = 0; i < tenants; ++i) {
            const Observe::TenantLabel tenant{"organisation" + std::to_string(i), "urgent"};
            for (int sample = 1; sample < 2'000; ++sample) {
                metrics->recordSpan("time_to_first_token_seconds", tenant, std::chrono::microseconds(sample * sample));
            }
        }
        return metrics;
    });
}

} // namespace

std::vector<Slope> settingsSlopes()
{
    const std::vector<int> organisations{2'000, 4'000, 9'000, 18'000};
    return {
        measureSlope({"in_force_memory", "organisations", "bytes", {}}, organisations, bytesInForce),
        measureSlope({"settings_store_memory", "organisations", "bytes", {}}, organisations, bytesOfStore),
        measureSlope({"settings_row_bytes", "organisations", "bytes", {}}, organisations, bytesOfRows),
        measureSlope({"settings_change_time", "organisations", "ns a change", {}}, organisations, timeOfChange),
        measureSlope({"settings_load_time", "organisations", "ns", {}}, organisations, timeOfWholeTree),
        measureSlope({"metrics_memory", "tenant histograms", "bytes", {}}, {64, 128, 256}, bytesOfMetrics),
    };
}

} // namespace Verbena::Bench
