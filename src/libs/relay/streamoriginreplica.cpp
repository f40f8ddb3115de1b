#include "streamoriginreplica.h"

#include "streamorigincodec.h"

#include <eventloop/loop.h>
#include <http/endpoint.h>

#include <algorithm>
#include <chrono>

namespace Verbena::Relay {

using std::chrono::milliseconds;

namespace {

// Longest time for which an origin is kept, whatever a message says.
constexpr milliseconds maximumLifetime{600'000};

} // namespace

Core::Result<std::unique_ptr<StreamOriginReplica>> StreamOriginReplica::create(EventLoop::Loop &loop, const sockaddr_in &address)
{
    std::unique_ptr<StreamOriginReplica> replica(new StreamOriginReplica(loop));
    const auto receive = [raw = replica.get()](const sockaddr_in &from, const verbena::wire::Envelope &message) {
        raw->receive(from, message);
    };
    auto socket = Wire::DatagramSocket::bind(loop, address, receive);
    if (!socket) {
        return socket.error();
    }
    replica->m_socket = std::move(socket.value());
    return replica;
}

StreamOriginReplica::StreamOriginReplica(EventLoop::Loop &loop)
    : m_loop(loop)
{
}

void StreamOriginReplica::setAnswerReceiver(AnswerReceiver receiver)
{
    m_answerReceiver = std::move(receiver);
}

void StreamOriginReplica::send(const sockaddr_in &address, const verbena::wire::Envelope &message)
{
    m_socket->send(address, message);
}

void StreamOriginReplica::receive(const sockaddr_in &from, const verbena::wire::Envelope &message)
{
    if (message.has_stream_origins()) {
        for (const verbena::wire::StreamOrigin &told : message.stream_origins().origins()) {
            record(told);
        }
    } else if (message.has_stream_origin_query()) {
        answer(from, message.stream_origin_query());
    } else if (message.has_stream_origin_answer() && m_answerReceiver) {
        m_answerReceiver(Http::Endpoint{from}.ipAddress(), message.stream_origin_answer());
    }
}

void StreamOriginReplica::record(const verbena::wire::StreamOrigin &told)
{
    const Core::TimePoint now = m_loop.now();
    const milliseconds lifetime = std::min(milliseconds(told.lifetime_ms()), maximumLifetime);
    m_origins.record(decodeKey(told), decodeOrigin(told), now + lifetime, now);
}

void StreamOriginReplica::answer(const sockaddr_in &from, const verbena::wire::StreamOriginQuery &query)
{
    const Decisions::StreamKey key{query.organisation(), query.attempt()};
    verbena::wire::Envelope message;
    *message.mutable_stream_origin_answer() = encodeAnswer(query.id(), key, m_origins.find(key, m_loop.now()));
    m_socket->send(from, message);
}

} // namespace Verbena::Relay
