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
};

/// \brief What becomes of a call; the functions are called on the client's loop.
class HttpReceiver
{
public:
    virtual ~HttpReceiver() = default;

    /// \brief A part of the body has come; \a status is the answer's status code.
    virtual void receiveData(int status, std::string_view data) = 0;

    /// \brief The call is over: the status code of a whole answer, or what went wrong.
    ///
    /// The error code is Unavailable only if the request cannot have reached the peer; Unknown after that.
    virtual void finish(Core::Result<int> status) = 0;
};

} // namespace Verbena::Http
