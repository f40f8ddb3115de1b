#pragma once

#include <observe/event.h>

namespace Verbena::Weights {

using Observe::Event;
using Observe::Severity;

inline constexpr Event weightsPlanned{3100, Severity::Info, "weights_planned", "Newer weights were named; the engine will load them when it is its turn."};
inline constexpr Event weightsOrdered{3101, Severity::Info, "weights_ordered", "The engine was ordered to load weights."};
inline constexpr Event weightsInPlace{3102, Severity::Info, "weights_in_place", "The engine runs the newest weights."};
inline constexpr Event engineSilent{3103, Severity::Warning, "engine_silent", "The engine beside this process does not say how it is."};
inline constexpr Event engineSpeaks{3104, Severity::Info, "engine_speaks", "The engine beside this process says again how it is."};
inline constexpr Event orderRowMissing{3105, Severity::Warning, "order_row_missing", "The store does not say who gives an engine its orders; the order waits."};
inline constexpr Event declarationsLost{3106, Severity::Warning, "declarations_lost", "The store does not answer; the weights that are known stay."};
inline constexpr Event declarationsRegained{3107, Severity::Info, "declarations_regained", "The store answers again."};
inline constexpr Event engineRestarted{
    3108, Severity::Warning, "engine_restarted", "The engine has started again under its id; nothing of before is believed."};
inline constexpr Event ordersTaken{3109, Severity::Info, "orders_taken", "This process gives an engine its orders from now on."};
inline constexpr Event orderWaits{
    3110, Severity::Info, "order_waits", "An engine's order is due, but waits until the host that gave it its orders before has been waited out."};
inline constexpr Event weightsTargetWithdrawn{
    3111, Severity::Warning, "weights_target_withdrawn", "A later row names an older version of a model's weights as the newest; it becomes the target."};

} // namespace Verbena::Weights
