#pragma once

#include <decisions/spread/randomsource.h>
#include <eventloop/timer.h>
#include <http/tcpchannel.h>
#include <http/tcplistener.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief A TCP proxy on loopback that does to connections what networks do.
class FaultyProxy
{
public:
    enum class Mode {
        Pass,
        Delay, ///< Everything comes late.
        Lossy, ///< Packets are lost: pieces stall for the time of a retransmission, then all behind them comes at once; some links break within a piece.
        Silence, ///< Nothing comes through, either way, and nobody is told.
        MuteAnswers, ///< What the caller sends comes through, answers do not.
        Reset, ///< Connections are reset, new ones at once.
    };

    /// \brief Listens at \a address, IP:PORT, for \a target.
    FaultyProxy(EventLoop::Loop &loop, const std::string &address, const std::string &target, Decisions::RandomSource &random);
    ~FaultyProxy();

    FaultyProxy(const FaultyProxy &) = delete;
    FaultyProxy &operator=(const FaultyProxy &) = delete;

    std::string address() const;

    void setMode(Mode mode);

    /// \brief Returns whether the target refused the connection of the request with this header line, so that nothing of it reached the target.
    bool hasRefused(const std::string &headerLine) const;

private:
    class Link;

    void accept(int descriptor);
    void resetAll();

    EventLoop::Loop &m_loop;
    Decisions::RandomSource &m_random;
    std::string m_target;
    Mode m_mode = Mode::Pass;
    std::vector<std::string> m_refused; ///< Beginnings of the requests whose connections the target refused.
    std::map<Link *, std::unique_ptr<Link>> m_links;
    std::unique_ptr<Http::TcpListener> m_listener;
};

} // namespace Verbena::Soak
