#pragma once

#include <observe/event.h>

namespace Verbena::SettingsTree {

inline constexpr Observe::Event settingsInForce{4001, Observe::Severity::Info, "settings_in_force", "A later revision of the settings is in force."};
inline constexpr Observe::Event settingsRowMalformed{
    4002, Observe::Severity::Error, "settings_row_malformed", "A row of the settings cannot be read; what was in force of it stays in force."};
inline constexpr Observe::Event settingsDiverged{
    4003, Observe::Severity::Error, "settings_diverged", "A peer holds other settings than this process at the same revision."};
inline constexpr Observe::Event settingsTableFailed{
    4004, Observe::Severity::Warning, "settings_table_failed", "The table could not be polled for changes of the settings."};
inline constexpr Observe::Event settingsSnapshotFailed{
    4005, Observe::Severity::Warning, "settings_snapshot_failed", "The snapshot of the settings could not be read."};
inline constexpr Observe::Event settingsSnapshotWritten{
    4006, Observe::Severity::Info, "settings_snapshot_written", "This process wrote the snapshot of the settings."};
inline constexpr Observe::Event settingsSnapshotNotWritten{
    4007, Observe::Severity::Warning, "settings_snapshot_not_written", "The snapshot of the settings could not be written."};

} // namespace Verbena::SettingsTree
