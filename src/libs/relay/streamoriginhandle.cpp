#include "streamoriginhandle.h"

#include <utility>

namespace Verbena::Relay {

StreamOriginHandle::StreamOriginHandle(StreamOriginControl *control)
    : m_control(control)
{
}

StreamOriginHandle::~StreamOriginHandle()
{
    end(false);
}

bool StreamOriginHandle::isEnabled() const
{
    return m_control != nullptr;
}

void StreamOriginHandle::find(const OriginRequest &request, StreamOriginControl::Callback done)
{
    const auto handle = [this, done = std::move(done)](const std::optional<Decisions::StreamOrigin> &origin) {
        m_inquiryNumber = 0;
        done(origin);
    };
    if (const std::uint64_t number = m_control->find(request, handle); number != 0) {
        m_inquiryNumber = number;
    }
}

void StreamOriginHandle::begin(const RunningStream &stream)
{
    if (m_control != nullptr && !stream.key.attemptId.empty()) {
        m_streamNumber = m_control->recordBegun(stream);
    }
}

void StreamOriginHandle::end(bool isWhole)
{
    if (m_inquiryNumber != 0) {
        m_control->withdraw(std::exchange(m_inquiryNumber, 0));
    }
    if (m_streamNumber != 0) {
        m_control->recordEnded(std::exchange(m_streamNumber, 0), isWhole);
    }
}

} // namespace Verbena::Relay
