#pragma once

#include <core/result.h>
#include <http/httpclient.h>

#include <memory>
#include <string>
#include <vector>

namespace Verbena::Operator {

/// \brief The answer of a process.
struct ProcessAnswer
{
    int status = 0;
    std::string body;
};

/// \brief Blocking HTTP client for requests to processes.
class ProcessClient
{
public:
    /// \brief Creates a client whose calls take at most \a timeout. Errors: those of HttpClient.
    static Core::Result<std::unique_ptr<ProcessClient>> create(EventLoop::Loop &loop, std::chrono::milliseconds timeout);

    /// \brief Errors: those of the call, with the process as peer.
    Core::Result<ProcessAnswer> get(const std::string &url);
    Core::Result<ProcessAnswer> post(const std::string &url, const std::vector<std::string> &fields, const std::string &body);

private:
    ProcessClient(EventLoop::Loop &loop, std::chrono::milliseconds timeout, std::unique_ptr<Http::HttpClient> client);
    Core::Result<ProcessAnswer> run(Http::HttpCall call);

    EventLoop::Loop &m_loop;
    std::chrono::milliseconds m_timeout;
    std::unique_ptr<Http::HttpClient> m_client;
};

} // namespace Verbena::Operator
