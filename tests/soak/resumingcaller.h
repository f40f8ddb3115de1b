#pragma once

#include "connectedcaller.h"

#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief A caller of streams that may go on elsewhere: it leaves some in the middle, resumes what ended too soon at any router, and checks that all parts
/// together are one stream.
class ResumingCaller : public ConnectedCaller
{
public:
    /// \brief Creates a caller whose \a listener isn't called for requests that it left itself.
    ResumingCaller(
        EventLoop::Loop &loop, std::vector<Http::Endpoint> routers, std::string name, Ledger &ledger, Decisions::RandomSource &random, Listener listener);

    /// \brief Drops the present stream and counts anew.
    void startAnew();

    /// \brief Number of streams that were resumed and became whole.
    int resumed() const;

private:
    void receiveBody(std::string_view data) override;
    void ask() override;
    bool hasEnough() const override;
    void conclude(bool isTimedOut) override;
    void begin();
    std::string resumeFields() const;
    int drawLeaving();
    void takeWholeEvents();
    void checkStatus();

    std::string m_begunBy; ///< Attempt that brought the first event; empty if none did.
    std::string m_text; ///< Whole events of all attempts.
    std::string m_rest; ///< Of the present attempt, what is no whole event yet.
    int m_events = 0;
    int m_leaveAfter = 0; ///< Event after which the caller leaves; 0 for none.
    int m_attempts = 0;
    int m_resumed = 0;
};

} // namespace Verbena::Soak
