#pragma once

#include <core/error.h>
#include <observe/eventlog.h>
#include <settings/settingsreader.h>

#include <functional>
#include <string>

namespace Verbena::Application {

/// \brief The exit status of a program whose settings are wrong.
inline constexpr int settingsRefusedStatus = 2;

/// \brief The exit status of a program that could not start.
inline constexpr int startFailedStatus = 1;

/// \brief Tells people and the log why the settings of \a process were refused; returns the exit status.
int refuseSettings(const std::string &process, const Core::Error &error);

/// \brief Tells people and the log why the process could not start; returns the exit status.
int refuseStart(const Core::Error &error);

/// \brief Logs that the process listens on \a endpoint, with its version and process id.
void reportStart(const std::string &version, const std::string &endpoint);

/// \brief Logs that the process got the signal \a signalNumber.
void reportSignal(int signalNumber);

/// \brief Logs that the process ends.
void reportStop();

/// \brief Prints every key that \a read asks for as a Markdown table; returns the exit status.
int printSettingsDescription(const std::function<void(Settings::SettingsReader &)> &read);

} // namespace Verbena::Application
