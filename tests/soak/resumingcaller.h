#pragma once

#include "ledger.h"
#include "outcome.h"

#include <decisions/spread/randomsource.h>
#include <eventloop/deferredcall.h>
#include <eventloop/timer.h>
#include <http/messagereader.h>
#include <http/tcpchannel.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief A caller of streams that may go on elsewhere: it leaves some in the middle, resumes what ended too soon at any router, and checks that all parts
/// together are one stream.
class ResumingCaller : public Http::ChannelObserver, public Http::MessageSink
{
public:
    /// \brief Function that is called when a request has ended that the caller did not leave itself.
    using Listener = std::function<void(const Outcome &outcome)>;

    ResumingCaller(
        EventLoop::Loop &loop, std::vector<Http::Endpoint> routers, std::string name, Ledger &ledger, Decisions::RandomSource &random, Listener listener);

    ResumingCaller(const ResumingCaller &) = delete;
    ResumingCaller &operator=(const ResumingCaller &) = delete;

    /// \brief Drops the present stream and counts anew.
    void startAnew();

    /// \brief Number of streams that were resumed and became whole.
    int resumed() const;

private:
    void receiveBytes(std::string_view data) override;
    void receiveEnd(Http::ChannelEnd end) override;
    void receiveHead(Http::MessageHead head) override;
    void receiveBody(std::string_view data) override;
    void receiveEnd() override;
    void begin();
    void send();
    void sendAgainAfter(std::chrono::milliseconds span);
    std::string resumeFields() const;
    int drawLeaving();
    void takeWholeEvents();
    void finish();
    void checkStatus();
    bool isGoodEnd() const;

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
    Http::MessageHead m_head;
    std::size_t m_router = 0;
    std::string m_path;
    std::string m_token;
    std::string m_id; ///< Of the present attempt.
    std::string m_begunBy; ///< Attempt that brought the first event; empty if none did.
    std::string m_text; ///< Whole events of all attempts.
    std::string m_rest; ///< Of the present attempt, what is no whole event yet.
    int m_events = 0;
    int m_leaveAfter = 0; ///< Event after which the caller leaves; 0 for none.
    int m_attempts = 0;
    int m_count = 0;
    int m_resumed = 0;
    Core::TimePoint m_sentAt;
    bool m_isWaiting = false;
    bool m_isWhole = false;
    bool m_hasReceived = false; ///< Whether any byte of the present attempt's answer has come.
};

} // namespace Verbena::Soak
