#pragma once

#include "resendqueue.h"

#include <decisions/relay/loadshedder.h>
#include <decisions/relay/memorybudget.h>
#include <decisions/relay/relayfleet.h>
#include <decisions/relay/resendbudget.h>
#include <decisions/spread/randomsource.h>

#include <chrono>
#include <functional>
#include <optional>

namespace Verbena::EventLoop {
class Loop;
}

namespace Verbena::Observe {
class Metrics;
}

namespace Verbena::Relay {

class CrashControl;
class RelayProtocol;
class RelayShutdown;
class ServerConnections;
class StreamOriginControl;
class UsageControl;

/// \brief State that all requests of one relay share.
struct RelayContext
{
    EventLoop::Loop &loop;
    const RelayProtocol &protocol;
    Decisions::RelayFleet &fleet;
    Decisions::ResendBudget &budget;
    Decisions::LoadShedder &shedder;
    ResendQueue &resendQueue;
    Decisions::RandomSource &random;
    Observe::Metrics &metrics;
    std::chrono::milliseconds configurationTime; ///< Time within which a change of the configuration has to be in force.
    std::function<std::optional<std::chrono::milliseconds>()> configurationAge = {}; ///< Returns the age of the configuration; empty if it is not available.
    UsageControl *usage = nullptr; ///< Null if no usage caps are enforced.
    CrashControl *crashes = nullptr; ///< Null if crashes are not tracked.
    StreamOriginControl *origins = nullptr; ///< Null if streams may be resumed at any backend server.
    Decisions::MemoryBudget *memory = nullptr; ///< Null if bytes held are not counted.
    ServerConnections *connections = nullptr; ///< Null if each call opens a connection of its own.
    RelayShutdown *shutdown = nullptr; ///< Knows which requests can end in time while this router ends; never null for a request.
};

} // namespace Verbena::Relay
