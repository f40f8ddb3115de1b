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

/// \brief Collects the response to one call, whose limits bound it, and passes it to a callback.
class BodyCollector : public HttpReceiver
{
public:
    using Callback = std::function<void(const Core::Result<HttpReply> &reply)>;

    explicit BodyCollector(Callback callback);

    void receiveData(int status, std::string_view data) override;
    void receiveUnframedEnd() override;
    void finish(Core::Result<int> status) override;

private:
    Callback m_callback;
    std::string m_body;
    bool m_isUnframed = false;
};

} // namespace Verbena::Http
