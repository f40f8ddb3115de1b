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

/// \brief Tells other routers of crashes by datagrams, beside the store's table, so that they know while the store is away or slow.
class CrashGossip
{
public:
    /// \brief Called with each row that another router tells.
    using Receiver = std::function<void(const Store::TableRow &row)>;

    /// \brief Talks from \a address; the others are at the same port of their hosts. Errors: Unavailable.
    static Core::Result<std::unique_ptr<CrashGossip>> create(EventLoop::Loop &loop, const Http::Endpoint &address, Receiver receiver);

    CrashGossip(const CrashGossip &) = delete;
    CrashGossip &operator=(const CrashGossip &) = delete;

    /// \brief Sends \a rows to the routers at \a peers, IP numbers; nobody learns whether they arrive.
    void send(const std::vector<std::string> &peers, const std::vector<Store::TableRow> &rows);

private:
    explicit CrashGossip(const Http::Endpoint &address);

    Http::Endpoint m_address;
    std::unique_ptr<Wire::DatagramSocket> m_socket;
};

} // namespace Verbena::Relay
