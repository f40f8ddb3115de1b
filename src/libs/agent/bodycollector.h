#pragma once

#include <http/httpcall.h>

#include <functional>
#include <string>

namespace Verbena::Agent {

/// \brief A whole answer to an HTTP call.
struct HttpReply
{
    int status = 0;
    std::string body;
};

/// \brief Collects the answer to one call, up to a bound, and hands it over.
class BodyCollector : public Http::HttpReceiver
{
public:
    using Callback = std::function<void(const Core::Result<HttpReply> &reply)>;

    explicit BodyCollector(Callback callback);

    void receiveData(int status, std::string_view data) override;
    void finish(Core::Result<int> status) override;

private:
    Callback m_callback;
    std::string m_body;
};

} // namespace Verbena::Agent
