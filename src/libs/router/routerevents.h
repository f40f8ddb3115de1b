#pragma once

#include <observe/event.h>

namespace Verbena::Router {

using Observe::Event;
using Observe::Severity;

inline constexpr Event agentReached{2000, Severity::Info, "agent_reached", "The connection to an agent stands."};
inline constexpr Event agentLost{2001, Severity::Warning, "agent_lost", "An agent is silent, cut off or back as a new incarnation."};
inline constexpr Event agentMisnamed{2002, Severity::Error, "agent_misnamed", "At the endpoint of a backend server the agent of another one answers."};
inline constexpr Event garbageFromAgent{2003, Severity::Warning, "garbage_from_agent", "An agent sent something that is no message."};
inline constexpr Event requestFailed{2004, Severity::Warning, "request_failed", "A request was given up."};
inline constexpr Event shutdownBegun{2005, Severity::Info, "shutdown_begun", "The router is no longer ready; running requests go on."};
inline constexpr Event listenerClosed{2006, Severity::Info, "listener_closed", "The router takes no new connections."};
inline constexpr Event settingsFollowed{2007, Severity::Info, "settings_followed", "The router follows a new revision of the settings."};
inline constexpr Event certificateReloaded{2008, Severity::Info, "certificate_reloaded", "New connections get the certificate that was read again."};
inline constexpr Event certificateRefused{2009, Severity::Error, "certificate_refused", "The certificate could not be read again; the old one stays."};

} // namespace Verbena::Router
