#pragma once

#include <core/result.h>
#include <core/time.h>

#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Http {

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

    /// \brief Receives the information that only the end of the connection ended the body, so that it may be incomplete. Called before finish().
    virtual void receiveUnframedEnd();

    /// \brief Receives the end of the call: the status code of a complete response, or the error.
    ///
    /// The error code is Unavailable only if the request cannot have reached the peer, and Unknown otherwise.
    virtual void finish(Core::Result<int> status) = 0;
};

} // namespace Verbena::Http
