#pragma once

#include <eventloop/timer.h>
#include <http/tcpchannel.h>
#include <http/tcplistener.h>

#include <map>
#include <memory>
#include <string>

namespace Verbena::Soak {

/// \brief A TCP proxy on loopback that does to connections what networks do.
class FaultyProxy
{
public:
    enum class Mode {
        Pass,
        Delay, ///< Everything comes late.
        Silence, ///< Nothing comes through, either way, and nobody is told.
        MuteAnswers, ///< What the caller sends comes through, answers do not.
        Reset, ///< Connections are reset, new ones at once.
    };

    /// \brief Listens at \a address, IP:PORT, for \a target.
    FaultyProxy(EventLoop::Loop &loop, const std::string &address, const std::string &target);
    ~FaultyProxy();

    FaultyProxy(const FaultyProxy &) = delete;
    FaultyProxy &operator=(const FaultyProxy &) = delete;

    std::string address() const;

    /// \brief Sends connections elsewhere from now on; those that are open are reset.
    void setTarget(const std::string &target);

    void setMode(Mode mode);

private:
    class Link;

    void accept(int descriptor);
    void resetAll();

    EventLoop::Loop &m_loop;
    std::string m_target;
    Mode m_mode = Mode::Pass;
    std::map<Link *, std::unique_ptr<Link>> m_links;
    std::unique_ptr<Http::TcpListener> m_listener;
};

} // namespace Verbena::Soak
