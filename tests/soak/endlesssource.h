#pragma once

#include <decisions/spread/randomsource.h>
#include <eventloop/loop.h>
#include <eventloop/timer.h>
#include <http/tcpchannel.h>

#include <string>

namespace Verbena::Soak {

/// \brief The part of a message that has no end.
enum class EndlessPart {
    HeadField,
    HeadFields,
    Chunks,
    TinyChunks,
    ChunkSize,
    ChunkExtension,
    TrailerField,
    TrailerFields,
    NoHttp, ///< This and the following are parts of answers only.
    InterimHeads,
    BodyByLength,
    BodyToTheClose,
    AfterTheWhole,
};

/// \brief A message that begins well and has a part without end: its first bytes, and what comes again and again.
struct EndlessMessage
{
    EndlessPart part;
    std::string begin;
    std::string unit;
};

/// \brief Draws an answer with the header lines \a fields that carries \a body as far as its part lets it.
EndlessMessage drawEndlessAnswer(Decisions::RandomSource &random, const std::string &fields, const std::string &body);

/// \brief Draws a request with the header lines \a fields.
EndlessMessage drawEndlessRequest(Decisions::RandomSource &random, const std::string &fields);

/// \brief Writes a message to a channel, in pieces and with pauses of drawn size, until it is told to stop or much has been sent.
class EndlessSource
{
public:
    /// \brief Starts at once; \a channel must outlive it.
    EndlessSource(EventLoop::Loop &loop, Http::TcpChannel &channel, EndlessMessage message, Decisions::RandomSource &random);

private:
    void sendPiece();

    EventLoop::Loop &m_loop;
    Http::TcpChannel &m_channel;
    EndlessMessage m_message;
    std::size_t m_pieceBytes;
    std::chrono::milliseconds m_pause;
    std::size_t m_sent = 0;
    EventLoop::Timer m_timer;
};

} // namespace Verbena::Soak
