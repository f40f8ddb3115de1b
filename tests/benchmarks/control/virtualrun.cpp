#include "virtualrun.h"

#include <support/settingssimulation.h>

#include <string>

namespace Verbena::Bench {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::microseconds changeInterval = std::chrono::microseconds(24h) / 60'000;
constexpr std::chrono::seconds settlingTime{20};
constexpr std::size_t peersEach = 10; // Drawn by each process and known both ways.
constexpr std::size_t contentBytes = 300; // Of the row of a team with two keys.

} // namespace

SpreadFigures runVirtually(int processes, int changes, std::uint64_t seed)
{
    Test::SettingsSimulationOptions options;
    options.processes = static_cast<std::size_t>(processes);
    options.peersEach = peersEach;
    options.seed = seed;
    options.isHistoryKept = false;
    Test::SettingsSimulation spread(options);
    spread.commit({{"settings/models/first", "{}"}});
    spread.run(settlingTime);
    const std::uint64_t messages = spread.messages;
    const std::uint64_t bytes = spread.messageBytes;
    const std::uint64_t reads = spread.tableReads;
    std::vector<Core::TimePoint> acceptedAt;
    const std::uint64_t first = spread.tableRevision() + 1;
    for (int i = 0; i < changes; ++i) {
        const std::string path = "settings/organisations/organisation" + std::to_string(i) + "/teams/team";
        spread.commit({{path, std::string(contentBytes, 'x')}});
        acceptedAt.push_back(spread.now());
        spread.run(changeInterval);
    }
    const double seconds = std::chrono::duration<double>(changeInterval * changes).count();
    SpreadFigures figures;
    figures.processes = processes;
    figures.changes = changes;
    figures.bytesPerProcessSecond = static_cast<double>(spread.messageBytes - bytes) / seconds / processes;
    figures.messagesPerProcessSecond = static_cast<double>(spread.messages - messages) / seconds / processes;
    figures.tableReadsPerSecond = static_cast<double>(spread.tableReads - reads) / seconds;
    spread.run(settlingTime);
    for (std::size_t process = 0; process < options.processes; ++process) {
        for (std::size_t i = 0; i < acceptedAt.size(); ++i) {
            const auto inForceAt = spread.inForceAt(process, first + i);
            // A change that never came into force counts as one that took as long as the run.
            const auto delay = inForceAt.value_or(Core::TimePoint::max()) - acceptedAt[i];
            figures.delays.push_back(std::chrono::duration_cast<std::chrono::microseconds>(delay));
        }
    }
    return figures;
}

} // namespace Verbena::Bench
