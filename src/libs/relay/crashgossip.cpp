#include "crashgossip.h"

#include <algorithm>

namespace Verbena::Relay {

namespace {

// With their keys and values, this many rows fit into one packet.
constexpr std::size_t rowsPerDatagram = 8;

// In larger fleets, the remaining routers read crashes from the store's table.
constexpr std::size_t maximumPeers = 256;

} // namespace

Core::Result<std::unique_ptr<CrashGossip>> CrashGossip::create(EventLoop::Loop &loop, const Http::Endpoint &address, Receiver receiver)
{
    std::unique_ptr<CrashGossip> gossip(new CrashGossip(address));
    const auto receive = [receiver = std::move(receiver)](const sockaddr_in &, const verbena::wire::Envelope &message) {
        if (message.has_settings_push()) {
            for (const verbena::wire::SettingsRow &row : message.settings_push().rows()) {
                receiver({row.path(), row.content(), row.revision(), row.deleted()});
            }
        }
    };
    auto socket = Wire::DatagramSocket::bind(loop, address.address, receive);
    if (!socket) {
        return socket.error();
    }
    gossip->m_socket = std::move(socket.value());
    return gossip;
}

CrashGossip::CrashGossip(const Http::Endpoint &address)
    : m_address(address)
{
}

void CrashGossip::send(const std::vector<std::string> &peers, const std::vector<Store::TableRow> &rows)
{
    for (std::size_t first = 0; first < rows.size(); first += rowsPerDatagram) {
        verbena::wire::Envelope message;
        for (std::size_t index = first; index < std::min(rows.size(), first + rowsPerDatagram); ++index) {
            verbena::wire::SettingsRow &row = *message.mutable_settings_push()->add_rows();
            row.set_path(rows[index].key);
            row.set_content(rows[index].value);
            row.set_revision(rows[index].revision);
            row.set_deleted(rows[index].isDeleted);
        }
        for (std::size_t index = 0; index < std::min(peers.size(), maximumPeers); ++index) {
            if (const auto peer = m_address.atPeer(peers[index])) {
                m_socket->send(peer->address, message);
            }
        }
    }
}

} // namespace Verbena::Relay
