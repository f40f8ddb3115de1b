#pragma once

#include "ledger.h"
#include "outcome.h"
#include "requestform.h"

#include <decisions/spread/randomsource.h>
#include <eventloop/deferredcall.h>
#include <eventloop/timer.h>
#include <http/messagereader.h>
#include <http/tcpchannel.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief A caller that asks one thing after the other, keeps its connection as long as it may, and checks every answer.
class SoakCaller : public Http::ChannelObserver, public Http::MessageSink
{
public:
    /// \brief Function that is called when a request has ended.
    using Listener = std::function<void(const Outcome &outcome)>;

    SoakCaller(EventLoop::Loop &loop,
        std::vector<Http::Endpoint> routers,
        const std::string &name,
        Ledger &ledger,
        Decisions::RandomSource &random,
        Listener listener);
    ~SoakCaller() override;

    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;

    /// \brief Asks for one path of one router only, again and again.
    void pinTo(std::size_t router, const std::string &path);

    /// \brief Asks for \a paths only.
    void askFor(std::vector<std::string> paths);

    /// \brief Sends nothing but requests whose answers have a part without end, to any router.
    void sendEndless();

    /// \brief Sends large bodies only.
    void sendLarge();

    /// \brief Sends nothing but requests that crash the backend servers that run them by \a cause, to any router.
    void sendCrashing(CrashCause cause);

    void stop();

private:
    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;
    void receiveHead(Http::MessageHead head) override;
    void receiveBody(std::string_view data) override;
    void receiveEnd() override;
    void ask();
    void finish(bool isWhole);
    void send();
    void sendHeldBody();
    std::string drawToken() const;
    std::string drawParts() const;
    void checkWhole();
    void checkPart() const;

    EventLoop::Loop &m_loop;
    std::vector<Http::Endpoint> m_routers;
    std::string m_name;
    Ledger &m_ledger;
    Decisions::RandomSource &m_random;
    Listener m_listener;
    EventLoop::Timer m_timer;
    EventLoop::DeferredCall m_finished;
    std::unique_ptr<Http::TcpChannel> m_channel;
    std::unique_ptr<Http::MessageReader> m_reader;
    std::size_t m_router = 0;
    std::vector<std::string> m_paths{"/safe/", "/once/", "/resume/"};
    std::string m_path;
    std::string m_pinnedPath;
    std::string m_id;
    Core::TimePoint m_sentAt;
    bool m_hasReceived = false; ///< Whether any byte of the current answer has come.
    std::string m_token;
    bool m_isBodyHeld = false; ///< Whether the body of the current request waits to be asked for.
    Http::MessageHead m_head;
    std::string m_body;
    int m_count = 0;
    bool m_isWaiting = false;
    bool m_isWhole = false;
    bool m_isStopped = false;
    bool m_isLarge = false; ///< Whether its bodies are large.
    bool m_isEndless = false; ///< Whether it asks for answers without end.
    std::optional<CrashCause> m_crashCause; ///< What its requests crash backend servers by; nothing if they don't.
};

} // namespace Verbena::Soak
