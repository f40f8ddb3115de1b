#pragma once

#include <observe/event.h>

namespace Verbena::Agent {

using Observe::Event;
using Observe::Severity;

inline constexpr Event backendUp{3000, Severity::Info, "backend_up", "The backend server answers."};
inline constexpr Event backendDown{3001, Severity::Error, "backend_down", "The backend server cannot be reached or does not answer; everything is refused."};
inline constexpr Event backendIncarnation{
    3002, Severity::Info, "backend_incarnation", "The backend server is at a new incarnation; nothing of its cache is relied on."};
inline constexpr Event routerLost{3003, Severity::Warning, "router_lost", "A router is gone; its requests are cancelled."};
inline constexpr Event agentLeaving{3004, Severity::Info, "agent_leaving", "New requests are refused, and the running ones finish."};
inline constexpr Event agentStaying{3005, Severity::Info, "agent_staying", "New requests are taken again."};
inline constexpr Event agentMessageInvalid{3006, Severity::Warning, "agent_message_invalid", "A router sent something that is no message of this protocol."};
inline constexpr Event allowedKeysRead{3007, Severity::Info, "allowed_keys_read", "The keys of the routers that may connect were read."};
inline constexpr Event allowedKeysInvalid{
    3008, Severity::Error, "allowed_keys_invalid", "The keys of the routers that may connect cannot be read; those read before stay in use."};
inline constexpr Event agentSettingsInvalid{
    3009, Severity::Error, "agent_settings_invalid", "The settings tree cannot be read; what was read before stays in force."};
inline constexpr Event orderTaken{3010, Severity::Info, "order_taken", "The engine took an order to load or unload weights."};
inline constexpr Event orderFailed{3011, Severity::Warning, "order_failed", "The engine did not take an order, or its answer was lost; it is repeated."};
inline constexpr Event runsGivenUp{3012, Severity::Warning, "runs_given_up", "The agent ends; what is left is cancelled or cut, and its routers are told."};

} // namespace Verbena::Agent
