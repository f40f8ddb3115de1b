#pragma once

#include "relayprotocol.h"

#include <core/time.h>
#include <decisions/relay/fleetchoice.h>
#include <decisions/relay/relaydirectory.h>
#include <decisions/relay/streamorigins.h>
#include <http/outgoingmessage.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Verbena::Relay {

/// \brief What is known of a request once it has been admitted. Nothing of it changes while the request is sent and answered.
struct RequestFacts
{
    std::shared_ptr<const Decisions::RelayDirectory> directory; ///< Configuration that applies to the request; null if there is none yet.
    Http::MessageHead head;
    Http::SharedBody sharedBody; ///< Kept until the end, since the request may be sent again.
    Core::TimePoint arrival;
    Core::TimePoint deadline{}; ///< Deadline of the final answer.
    RelayQuery query = {};
    const Decisions::RelayRoute *route = nullptr;
    const Decisions::RelayOrganisation *organisation = nullptr; ///< Null if the request needs no key.
    std::string service = {};

    /// \brief Sets the deadline by what the route and the caller allow.
    void setDeadline();

    /// \brief Returns the time until the deadline at \a now; negative after it.
    std::chrono::microseconds remainingTime(Core::TimePoint now) const;

    std::string_view body() const;

    /// \brief Returns the name of the organisation; empty if the request needs no key.
    std::string organisationName() const;

    /// \brief Returns the prompt, or null for a plain call.
    const Decisions::PromptOutline *prompt() const;

    /// \brief Returns the priority that backend servers are told; 0 is the most urgent.
    std::uint32_t priority() const;

    /// \brief Returns whether the request asks for the rest of a stream.
    bool isResumption() const;

    /// \brief Returns under which key other routers know the stream of the request.
    Decisions::StreamKey streamKey() const;

    /// \brief Returns the requirements of the request on a backend server, besides those of its earlier calls.
    Decisions::FleetQuery fleetQuery() const;
};

} // namespace Verbena::Relay
