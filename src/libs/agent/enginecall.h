#pragma once

#include <http/httpcall.h>
#include <http/sseparser.h>

#include <verbena.pb.h>

#include <functional>
#include <string>

namespace Verbena::Agent {

/// \brief Takes what a backend server answers to one request.
class EngineCallListener
{
public:
    virtual ~EngineCallListener() = default;
    virtual void sendToRouter(const std::string &router, const verbena::wire::Envelope &message) = 0;
};

/// \brief One request at the engine: turns its events into numbered frames for the router.
class EngineCall : public Http::HttpReceiver
{
public:
    EngineCall(std::string router, std::string request, std::uint32_t attempt, EngineCallListener &listener);

    void receiveData(int status, std::string_view data) override;
    void finish(Core::Result<int> status) override;

private:
    void receiveEvent(std::string_view data);
    void sendFrame(const std::string &text);

    std::string m_router;
    std::string m_request;
    std::uint32_t m_attempt;
    EngineCallListener &m_listener;
    Http::SseParser m_parser;
    std::uint64_t m_lastSequence = 0;
    bool m_isDone = false;
    verbena::wire::Ended m_end;
};

} // namespace Verbena::Agent
