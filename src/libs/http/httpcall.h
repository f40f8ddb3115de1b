#pragma once

#include <core/result.h>
#include <core/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Http {

/// \brief How much the answer to a call may consist of. A longer one ends the call and closes its connection.
struct AnswerLimits
{
    /// \brief A page of rows or events. Longer than any other answer of an engine or of the users' store.
    static constexpr std::uint64_t defaultBodyBytes = 4 * 1024 * 1024;

    /// \brief A status or the answer to an order.
    static constexpr std::uint64_t statusBodyBytes = 1024 * 1024;

    std::optional<std::uint64_t> bodyBytes = defaultBodyBytes; ///< Maximum size of the body; no value if the receiver passes it on under back-pressure.
    std::uint64_t otherBytes = 64 * 1024; ///< Maximum size of heads, trailers and framing together, besides a share of the body for the framing of chunks.
};

/// \brief A request to be sent by an HttpClient.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> fields; ///< Complete header lines, for instance "Content-Type: application/json".
    std::string body;
    Core::TimePoint deadline; ///< Time by which the response must be complete.

    /// True if the call may be sent a second time when a reused connection turns out to be closed. Otherwise the call gets a new
    /// connection, because libcurl resends a request if a reused connection is closed before the first byte of the response.
    /// Calls with the methods GET and HEAD may always be sent again.
    bool isRepeatable = false;

    AnswerLimits limits;
};

/// \brief Interface that receives the response to a call. The functions are called on the client's event loop.
class HttpReceiver
{
public:
    virtual ~HttpReceiver() = default;

    /// \brief Receives a header field of the response; \a name is spelled as the peer sent it.
    virtual void receiveField(std::string_view name, std::string_view value);

    /// \brief Receives a part of the response body; \a status is the status code of the response.
    virtual void receiveData(int status, std::string_view data) = 0;

    /// \brief Returns false once the receiver has no use for the rest of the body; the call then ends with an error.
    virtual bool isTakingMore() const;

    /// \brief Receives the information that only the end of the connection ended the body, so that it may be incomplete. Called before finish().
    virtual void receiveUnframedEnd();

    /// \brief Receives the end of the call: the status code of a complete response, or the error.
    ///
    /// The error code is Unavailable only if the request cannot have reached the peer; ResourceExhausted if the answer to a GET or HEAD exceeds the call's
    /// limits; and Unknown otherwise, as a request with an answer that is too long may have had its effect.
    virtual void finish(Core::Result<int> status) = 0;
};

} // namespace Verbena::Http
