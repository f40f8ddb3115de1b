#pragma once

namespace Verbena::Application {

/// \brief The exit status of a program whose settings are wrong.
inline constexpr int invalidSettingsStatus = 2;

/// \brief The exit status of a program that could not start.
inline constexpr int startFailedStatus = 1;

} // namespace Verbena::Application
