#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Agent {

/// \brief Buffers the output of one run until the router grants credit for frames.
class FrameBuffer
{
public:
    /// \brief Starts with credit for \a credit frames; 0 means no limit, and grants then have no effect.
    explicit FrameBuffer(std::uint32_t credit);

    void push(std::string_view text, std::uint32_t tokens);

    /// \brief Adds credit for \a frames more frames.
    void grant(std::uint32_t frames);

    /// \brief Returns whether a frame may be sent now.
    bool isReady() const;

    /// \brief Returns the content of the next frame: all buffered output.
    const std::string &text() const;
    std::uint32_t tokens() const;

    /// \brief Returns the sequence number of the next frame; the first one is 1.
    std::uint64_t sequence() const;

    /// \brief Records that the next frame was sent.
    void pop();

    /// \brief Discards the buffered output, which was never sent, so the sequence has no gap.
    void clear();

    bool isEmpty() const;

    /// \brief Returns whether so much is buffered that reading from the backend server must pause.
    bool isFull() const;

private:
    bool m_isLimited;
    std::uint64_t m_credit;
    std::uint64_t m_sequence = 1;
    std::string m_text;
    std::uint32_t m_tokens = 0;
};

} // namespace Verbena::Agent
