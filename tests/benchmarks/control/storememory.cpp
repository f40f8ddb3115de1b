#include "storememory.h"

#include "../slopes/measure.h"

#include <decisions/spread/settingsstore.h>
#include <settingstree/inforcebuilder.h>

#include <memory>
#include <string>

namespace Verbena::Bench {

namespace {

using namespace SettingsTree;

constexpr int teamsEach = 2;
constexpr int changes = 20;

Decisions::SettingsRow teamRow(const std::string &organisation, int number, std::uint64_t revision, double share)
{
    Settings::TeamSettings team;
    team.share = share;
    team.maximumConcurrent = 40;
    team.keySha256 = {std::string(64, 'a'), std::string(64, 'b')};
    team.models = {"analyst", "analyst:wall", "verdict"};
    team.services = {"register"};
    team.classMarks = {{"urgent", 0}, {"batch", 6}};
    const TreePath path{RowKind::Team, "team" + std::to_string(number), organisation};
    return {path.toString(), encodeRow(team), revision, false};
}

Decisions::SettingsDelta treeOf(int organisations)
{
    Decisions::SettingsDelta delta;
    delta.rows = treeRows(0, organisations);
    delta.covered = delta.rows.back().revision;
    delta.highest = delta.covered;
    return delta;
}

/// Rows and what is in force of them.
struct Copy
{
    Decisions::SettingsStore store;
    InForceBuilder builder;

    void take(const Decisions::SettingsDelta &delta)
    {
        const Decisions::MergeResult result = store.merge(delta);
        std::vector<ChangedRow> rows;
        for (const Decisions::SettingsRow &row : result.changed) {
            rows.push_back({row.path, row.content, row.revision, row.isDeleted});
        }
        keep(builder.apply(rows, store.revision()));
    }
};

} // namespace

std::vector<Decisions::SettingsRow> treeRows(int first, int end)
{
    std::vector<Decisions::SettingsRow> rows;
    std::uint64_t revision = 0;
    for (int i = first; i < end; ++i) {
        const std::string name = "organisation" + std::to_string(i);
        const TreePath path{RowKind::Organisation, name, {}};
        rows.push_back({path.toString(), encodeRow(OrganisationRow{name, 1.0}), ++revision, false});
        for (int j = 0; j < teamsEach; ++j) {
            rows.push_back(teamRow(name, j, ++revision, 1.0));
        }
    }
    return rows;
}

StoreFigures measureStore(int organisations)
{
    const Decisions::SettingsDelta tree = treeOf(organisations);
    StoreFigures figures;
    figures.organisations = organisations;
    for (const Decisions::SettingsRow &row : tree.rows) {
        figures.rowBytes += static_cast<double>(row.path.size() + row.content.size());
    }
    figures.storeHeapBytes = heapBytesOf([&tree] {
        auto store = std::make_unique<Decisions::SettingsStore>();
        store->merge(tree);
        return store;
    });
    auto copy = std::make_unique<Copy>();
    const double before = heapBytes();
    copy->take(tree);
    figures.inForceHeapBytes = heapBytes() - before - figures.storeHeapBytes;
    std::uint64_t revision = tree.highest;
    figures.changeNanoseconds = processorNanoseconds([&] {
        for (int i = 0; i < changes; ++i) {
            ++revision;
            copy->take({revision - 1, revision, revision, {teamRow("organisation7", 0, revision, static_cast<double>(revision))}, false});
        }
    }) / changes;
    figures.startNanoseconds = processorNanoseconds([&tree] { Copy().take(tree); });
    return figures;
}

} // namespace Verbena::Bench
