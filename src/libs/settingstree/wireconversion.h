#pragma once

#include <decisions/spread/settingsdelta.h>

#include <verbena.pb.h>

namespace Verbena::SettingsTree {

verbena::wire::SettingsDigest toWire(const Decisions::SettingsDigest &digest);
verbena::wire::SettingsPush toWire(const Decisions::SettingsDelta &delta);
Decisions::SettingsDigest fromWire(const verbena::wire::SettingsDigest &digest);
Decisions::SettingsDelta fromWire(const verbena::wire::SettingsPush &push);

} // namespace Verbena::SettingsTree
