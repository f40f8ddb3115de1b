#pragma once

#include "relaycontext.h"
#include "relayprotocol.h"
#include "requestfacts.h"
#include "streamoriginhandle.h"
#include "usagereservation.h"

#include <functional>
#include <optional>
#include <string>

namespace Verbena::Relay {

/// \brief What has to be known before an admitted request is sent: the software version that began its stream, and that its organisation's usage cap allows it.
class RequestPreparation
{
public:
    /// \brief Called with nothing once the request may be sent, or with why it is refused.
    using Callback = std::function<void(const std::optional<Refusal> &refusal)>;

    /// \brief \a facts outlive this; their service is set to the one that began the stream.
    RequestPreparation(const RelayContext &context, RequestFacts &facts, Callback done);

    RequestPreparation(const RequestPreparation &) = delete;
    RequestPreparation &operator=(const RequestPreparation &) = delete;

    /// \brief Begins; the callback may be called before this returns.
    void start();

    /// \brief Returns the software version at which the stream has to go on; nothing before its first event.
    const std::optional<std::string> &softwareVersion() const;

    /// \brief Returns whether the stream has to go on at a software version of which no backend server is left.
    bool isSoftwareGone() const;

    /// \brief Records that a stream of \a softwareVersion begins, which other routers are told if it may be resumed.
    void beginStream(const std::string &softwareVersion);

    /// \brief Records that the request ended; \a isWhole is whether its caller got the whole stream.
    void endStream(bool isWhole);

    /// \brief Gives back what the usage cap had granted, as the request has not run.
    void releaseUsage();

private:
    void findOrigin();
    void handleOrigin(const std::optional<Decisions::StreamOrigin> &origin);
    void claimUsage();
    void refuse(int status, const std::string &message, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);

    const RelayContext &m_context;
    RequestFacts &m_facts;
    Callback m_done;
    UsageReservation m_usage;
    StreamOriginHandle m_origin;
    std::optional<std::string> m_softwareVersion;
};

} // namespace Verbena::Relay
