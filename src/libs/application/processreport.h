#pragma once

#include "exitstatus.h"

#include <core/error.h>
#include <observe/eventlog.h>
#include <settings/settingsreader.h>

#include <functional>
#include <string>

namespace Verbena::Application {

/// \brief Logs why the settings of \a process are wrong and prints the reason on standard error; returns the exit status.
int reportSettingsError(const std::string &process, const Core::Error &error);

/// \brief Logs why the process could not start and prints the reason on standard error; returns the exit status.
int reportStartFailure(const Core::Error &error);

/// \brief Logs that the process listens on \a endpoint, with its version and process id.
void reportStart(const std::string &version, const std::string &endpoint);

/// \brief Logs that the process received the signal \a signalNumber.
void reportSignal(int signalNumber);

/// \brief Logs that the process ends.
void reportStop();

/// \brief Logs the end of a process that was asked to end before it had started; returns its exit status.
int reportEndBeforeStart();

/// \brief Prints all settings keys that \a read requests as a Markdown table; returns the exit status.
int printSettingsDescription(const std::function<void(Settings::SettingsReader &)> &read);

} // namespace Verbena::Application
