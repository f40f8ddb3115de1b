#pragma once

#include "requestmemory.h"

#include <decisions/relay/relayconfiguration.h>
#include <http/messagereader.h>
#include <http/outgoingmessage.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Relay {

/// \brief Reads a caller's requests, one at a time, and holds the one that is being read.
class RequestReader : private Http::MessageSink
{
public:
    explicit RequestReader(const Decisions::RelayLimits &limits);
    ~RequestReader() override;

    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /// \brief Reads \a data of a request whose body may have \a bodyBound bytes. Returns what makes the request unreadable, if anything does.
    std::optional<Http::MessageFault> feed(std::string_view data, std::uint64_t bodyBound);

    /// \brief Returns whether any byte of the request has come; empty lines before it are none.
    bool hasBegun() const;

    bool isHeadDone() const;
    bool isDone() const;

    /// \brief Returns whether any byte of the body has come.
    bool hasBody() const;

    /// \brief Drops the bytes behind a request that was read whole, and returns their number.
    std::size_t dropSurplus();

    /// \brief Returns the head; empty before it was read.
    const Http::MessageHead &head() const;

    /// \brief Makes room for a body whose length the head names.
    void reserveBody();

    /// \brief Takes the head from a request that was read whole.
    Http::MessageHead takeHead();

    /// \brief Takes the body from a request that was read whole; null if it has none.
    Http::SharedBody takeBody();

    /// \brief Returns how much was read of the request, whose body may have \a bodyBound bytes.
    RequestExtent extent(std::uint64_t bodyBound) const;

    /// \brief Frees what was read of a request that will not be read to its end.
    void discard();

    /// \brief Begins the next request.
    void next();

private:
    void receiveHead(Http::MessageHead head) override;
    void receiveBody(std::string_view data) override;
    void receiveEnd() override;

    Http::MessageReader m_reader;
    Http::MessageHead m_head;
    std::string m_body;
    std::uint64_t m_bodyBound = 0; ///< Bytes that the body may have, at the last feed().
};

} // namespace Verbena::Relay
