#pragma once

#include "httpcall.h"

#include <functional>
#include <string>

namespace Verbena::Http {

/// \brief A complete response to an HTTP call.
struct HttpReply
{
    int status = 0;
    std::string body;
    bool isUnframed = false; ///< Whether only the end of the connection ended the body, so that it may be incomplete.
};

/// \brief Collects the response to one call and passes it to a callback. A body that is too long is reported as ResourceExhausted.
class BodyCollector : public HttpReceiver
{
public:
    using Callback = std::function<void(const Core::Result<HttpReply> &reply)>;

    /// \brief Larger than any response of an engine or of the users' store.
    static constexpr std::size_t defaultMaximumBytes = 4 * 1024 * 1024;

    /// \brief Passes a body of at most \a maximumBytes to \a callback.
    explicit BodyCollector(Callback callback, std::size_t maximumBytes = defaultMaximumBytes);

    void receiveData(int status, std::string_view data) override;
    void receiveUnframedEnd() override;
    void finish(Core::Result<int> status) override;

private:
    Callback m_callback;
    std::size_t m_maximumBytes;
    std::string m_body;
    bool m_isTooLong = false;
    bool m_isUnframed = false;
};

} // namespace Verbena::Http
