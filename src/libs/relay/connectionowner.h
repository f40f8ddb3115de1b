#pragma once

#include "answersink.h"
#include "callerclose.h"
#include "relayprotocol.h"

#include <core/time.h>
#include <decisions/relay/relayconfiguration.h>
#include <http/messagereader.h>
#include <http/outgoingmessage.h>

#include <memory>
#include <string_view>
#include <vector>

namespace Verbena::Relay {

class BodyAdmission;
class CallerConnection;
class MemoryGuard;
class RelayedRequest;

/// \brief Interface of the task that owns a caller's connection.
class ConnectionOwner
{
public:
    virtual ~ConnectionOwner() = default;

    /// \brief Creates the handler of a complete request; its answer goes to \a sink.
    virtual std::unique_ptr<RelayedRequest> beginRequest(Http::MessageHead head, Http::SharedBody body, AnswerSink &sink) = 0;

    /// \brief Returns whether a request with \a head would be refused if it began now, whatever its body is.
    virtual bool isRefused(const Http::MessageHead &head) const = 0;

    /// \brief Returns the limits for this caller's requests.
    virtual Decisions::RelayLimits limits() const = 0;

    /// \brief Returns whether connections should be closed after their current answer, as this process ends or has too many.
    virtual bool isDraining() const = 0;

    /// \brief Returns the header fields of the answer to a request that was not read; \a head is empty if it is unknown.
    virtual std::vector<Http::HttpField> refusalFields(const Refusal &refusal, const Http::MessageHead &head) const = 0;

    /// \brief Reports a request that was refused with \a status as it exceeds the bound with the name \a bound.
    virtual void reportTooLong(std::string_view bound, int status) = 0;

    /// \brief Returns what counts the bytes that connections hold.
    virtual MemoryGuard &memory() = 0;

    /// \brief Returns what lets requests wait for memory.
    virtual BodyAdmission &bodies() = 0;

    /// \brief Returns until when the request with \a head may wait to be read; not later than now if it will be refused.
    virtual Core::TimePoint latestBodyStart(const Http::MessageHead &head) const = 0;

    /// \brief Destroys \a connection, which has ended for \a reason.
    virtual void connectionEnded(CallerConnection *connection, CloseReason reason) = 0;
};

} // namespace Verbena::Relay
