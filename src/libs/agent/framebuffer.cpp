#include "framebuffer.h"

namespace Verbena::Agent {

namespace {

// One read of the HTTP client can add its own buffer of 16 KiB to this.
constexpr std::size_t fullSize = 16 * 1024;

} // namespace

FrameBuffer::FrameBuffer(std::uint32_t credit)
    : m_isLimited(credit > 0)
    , m_credit(credit)
{
}

void FrameBuffer::push(std::string_view text, std::uint32_t tokens)
{
    m_text += text;
    m_tokens += tokens;
}

void FrameBuffer::grant(std::uint32_t frames)
{
    m_credit += frames;
}

bool FrameBuffer::isReady() const
{
    return !isEmpty() && (!m_isLimited || m_credit > 0);
}

const std::string &FrameBuffer::text() const
{
    return m_text;
}

std::uint32_t FrameBuffer::tokens() const
{
    return m_tokens;
}

std::uint64_t FrameBuffer::sequence() const
{
    return m_sequence;
}

void FrameBuffer::pop()
{
    ++m_sequence;
    clear();
    if (m_isLimited) {
        --m_credit;
    }
}

void FrameBuffer::clear()
{
    m_text.clear();
    m_tokens = 0;
}

bool FrameBuffer::isEmpty() const
{
    return m_text.empty() && m_tokens == 0;
}

bool FrameBuffer::isFull() const
{
    return m_text.size() >= fullSize;
}

} // namespace Verbena::Agent
