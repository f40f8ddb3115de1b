#pragma once

#include <core/result.h>
#include <http/endpoint.h>
#include <store/tableservice.h>
#include <wire/datagramsocket.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Relay {

/// \brief Sends crash records to other routers by datagram, in addition to the store's table, so that they arrive while the store is slow or unavailable.
class CrashGossip
{
public:
    /// \brief Called with each row that another router sends.
    using Receiver = std::function<void(const Store::TableRow &row)>;

    /// \brief Binds to \a address; the other routers use the same port on their hosts. Errors: Unavailable.
    static Core::Result<std::unique_ptr<CrashGossip>> create(EventLoop::Loop &loop, const Http::Endpoint &address, Receiver receiver);

    CrashGossip(const CrashGossip &) = delete;
    CrashGossip &operator=(const CrashGossip &) = delete;

    /// \brief Sends \a rows to the routers at the IP addresses \a peers, without acknowledgement.
    void send(const std::vector<std::string> &peers, const std::vector<Store::TableRow> &rows);

private:
    explicit CrashGossip(const Http::Endpoint &address);

    Http::Endpoint m_address;
    std::unique_ptr<Wire::DatagramSocket> m_socket;
};

} // namespace Verbena::Relay
