#pragma once

namespace Verbena::Weights {

/// \brief Name of the table whose rows name, by the address of an engine, the process that gives it orders.
inline constexpr const char *orderTable = "verbena_orders";

} // namespace Verbena::Weights
