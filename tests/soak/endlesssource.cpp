#include "endlesssource.h"

#include <support/chunk.h>

#include <cmath>

namespace Verbena::Soak {

using Test::chunk;

namespace {

constexpr std::size_t largestPiece = 65'536;
constexpr std::chrono::milliseconds longestPause{20};

// A source that has sent so much stops sending and leaves its message open.
constexpr std::size_t mostBytes = 400 * 1024 * 1024;

// What the peer has not taken waits here, so that a peer that reads slowly costs the soak little.
constexpr std::size_t mostBuffered = 1024 * 1024;

constexpr int answerParts = static_cast<int>(EndlessPart::AfterTheWhole) + 1;
constexpr int requestParts = static_cast<int>(EndlessPart::NoHttp);

// A message that begins with \a start, its first line and fields, and whose body is \a body.
EndlessMessage withoutEnd(EndlessPart part, const std::string &start, const std::string &body)
{
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string much(largestPiece, 'x');
    switch (part) {
    case EndlessPart::HeadField:
        return {part, start + "X: ", "x"};
    case EndlessPart::HeadFields:
        return {part, start, "X: y\r\n"};
    case EndlessPart::Chunks:
        return {part, chunked, chunk(much)};
    case EndlessPart::TinyChunks:
        return {part, chunked, chunk("x")};
    case EndlessPart::ChunkSize:
        return {part, chunked + chunk(body), "0"};
    case EndlessPart::ChunkExtension:
        return {part, chunked + chunk(body) + "5;a=", "x"};
    case EndlessPart::TrailerField:
        return {part, chunked + chunk(body) + "0\r\nX: ", "x"};
    case EndlessPart::TrailerFields:
        return {part, chunked + chunk(body) + "0\r\n", "X: y\r\n"};
    case EndlessPart::NoHttp:
        return {part, "", "x"};
    case EndlessPart::InterimHeads:
        return {part, "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"};
    case EndlessPart::BodyByLength:
        return {part, start + "Content-Length: 99999999999\r\n\r\n", "x"};
    case EndlessPart::BodyToTheClose:
        return {part, start + "\r\n", "x"};
    case EndlessPart::AfterTheWhole:
        break;
    }
    return {part, start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, "x"};
}

std::size_t drawSize(Decisions::RandomSource &random)
{
    const bool isLarge = random.uniform() < 0.5;
    return isLarge ? largestPiece : static_cast<std::size_t>(std::pow(static_cast<double>(largestPiece), random.uniform()));
}

std::chrono::milliseconds drawPause(Decisions::RandomSource &random)
{
    const bool isSlow = random.uniform() < 0.3;
    return std::chrono::milliseconds(isSlow ? 1 + static_cast<int>(random.uniform() * static_cast<double>(longestPause.count())) : 1);
}

} // namespace

EndlessMessage drawEndlessAnswer(Decisions::RandomSource &random, const std::string &fields, const std::string &body)
{
    return withoutEnd(static_cast<EndlessPart>(random.next() % answerParts), "HTTP/1.1 200 OK\r\n" + fields, body);
}

EndlessMessage drawEndlessRequest(Decisions::RandomSource &random, const std::string &fields)
{
    return withoutEnd(static_cast<EndlessPart>(random.next() % requestParts), "POST /safe/x HTTP/1.1\r\n" + fields, "endless");
}

EndlessSource::EndlessSource(EventLoop::Loop &loop, Http::TcpChannel &channel, EndlessMessage message, Decisions::RandomSource &random)
    : m_loop(loop)
    , m_channel(channel)
    , m_message(std::move(message))
    , m_pieceBytes(drawSize(random))
    , m_pause(drawPause(random))
    , m_timer(loop, [this] { sendPiece(); })
{
    m_channel.write(m_message.begin);
    m_timer.startAt(m_loop.now());
}

// Pieces end anywhere in what is repeated.
void EndlessSource::sendPiece()
{
    if (m_channel.bufferedBytes() < mostBuffered) {
        const std::string &unit = m_message.unit;
        std::string piece = unit.substr(m_sent % unit.size());
        while (piece.size() < m_pieceBytes) {
            piece += unit;
        }
        piece.resize(m_pieceBytes);
        m_channel.write(piece);
        m_sent += m_pieceBytes;
    }
    if (m_sent < mostBytes) {
        m_timer.startAt(m_loop.now() + m_pause);
    }
}

} // namespace Verbena::Soak
