#include "processclient.h"

#include <eventloop/loop.h>

#include <optional>

namespace Verbena::Operator {

namespace {

constexpr std::uint64_t maximumAnswerBytes = 16 * 1024 * 1024;

class AnswerCollector : public Http::HttpReceiver
{
public:
    void receiveData(int, std::string_view data) override
    {
        m_body.append(data);
    }

    void finish(Core::Result<int> status) override
    {
        if (status) {
            m_result = Core::Result<ProcessAnswer>(ProcessAnswer{status.value(), std::move(m_body)});
        } else {
            m_result = Core::Result<ProcessAnswer>(status.error());
        }
    }

    std::optional<Core::Result<ProcessAnswer>> &result()
    {
        return m_result;
    }

private:
    std::string m_body;
    std::optional<Core::Result<ProcessAnswer>> m_result;
};

} // namespace

Core::Result<std::unique_ptr<ProcessClient>> ProcessClient::create(EventLoop::Loop &loop, std::chrono::milliseconds timeout)
{
    VERBENA_TRY(client, Http::HttpClient::create(loop));
    return std::unique_ptr<ProcessClient>(new ProcessClient(loop, timeout, std::move(client)));
}

ProcessClient::ProcessClient(EventLoop::Loop &loop, std::chrono::milliseconds timeout, std::unique_ptr<Http::HttpClient> client)
    : m_loop(loop)
    , m_timeout(timeout)
    , m_client(std::move(client))
{
}

Core::Result<ProcessAnswer> ProcessClient::get(const std::string &url)
{
    Http::HttpCall call;
    call.url = url;
    return run(std::move(call));
}

Core::Result<ProcessAnswer> ProcessClient::post(const std::string &url, const std::vector<std::string> &fields, const std::string &body)
{
    Http::HttpCall call;
    call.method = "POST";
    call.url = url;
    call.fields = fields;
    call.body = body;
    return run(std::move(call));
}

Core::Result<ProcessAnswer> ProcessClient::run(Http::HttpCall call)
{
    call.deadline = m_loop.now() + m_timeout;
    call.limits.bodyBytes = maximumAnswerBytes;
    const auto collector = std::make_shared<AnswerCollector>();
    m_client->start(call, collector);
    while (!collector->result().has_value()) {
        m_loop.runOnce();
    }
    return *collector->result();
}

} // namespace Verbena::Operator
