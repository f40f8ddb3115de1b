#pragma once

#include <core/result.h>
#include <core/time.h>

#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Http {

/// \brief A request that a client sends.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> fields; ///< Whole header lines, for instance "Content-Type: application/json".
    std::string body;
    Core::TimePoint deadline; ///< When the whole answer must have come.

    /// The call may be sent a second time if a kept connection turns out to be dead. Otherwise it gets a connection of its own,
    /// since libcurl repeats what it sent on a kept connection that is closed before the first byte of the answer. A call whose
    /// method is GET or HEAD may always be sent again.
    bool isRepeatable = false;
};

/// \brief What becomes of a call; the functions are called on the client's loop.
class HttpReceiver
{
public:
    virtual ~HttpReceiver() = default;

    /// \brief A header field of the answer has come; \a name is as the peer wrote it.
    virtual void receiveField(std::string_view name, std::string_view value);

    /// \brief A part of the body has come; \a status is the answer's status code.
    virtual void receiveData(int status, std::string_view data) = 0;

    /// \brief The call is over: the status code of a whole answer, or what went wrong.
    ///
    /// The error code is Unavailable only if the request cannot have reached the peer; Unknown after that.
    virtual void finish(Core::Result<int> status) = 0;
};

} // namespace Verbena::Http
