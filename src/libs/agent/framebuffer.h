#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Agent {

/// \brief The output of one run that waits for the router to allow frames.
class FrameBuffer
{
public:
    /// \brief Allows \a credit frames at first; 0 means without limit, and grants change nothing then.
    explicit FrameBuffer(std::uint32_t credit);

    void push(std::string_view text, std::uint32_t tokens);

    /// \brief Allows \a frames more.
    void grant(std::uint32_t frames);

    /// \brief True if a frame may be sent now.
    bool isReady() const;

    /// \brief What the next frame holds: all that waits.
    const std::string &text() const;
    std::uint32_t tokens() const;

    /// \brief The sequence number of the next frame, from 1 on.
    std::uint64_t sequence() const;

    /// \brief The next frame has been sent.
    void pop();

    /// \brief Drops what waits; it was never sent, so that the sequence has no gap.
    void clear();

    bool isEmpty() const;

    /// \brief True if so much waits that the backend server has to stop.
    bool isFull() const;

private:
    bool m_isLimited;
    std::uint64_t m_credit;
    std::uint64_t m_sequence = 1;
    std::string m_text;
    std::uint32_t m_tokens = 0;
};

} // namespace Verbena::Agent
