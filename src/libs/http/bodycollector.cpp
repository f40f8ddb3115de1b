#include "bodycollector.h"

namespace Verbena::Http {

BodyCollector::BodyCollector(Callback callback, std::size_t maximumBytes)
    : m_callback(std::move(callback))
    , m_maximumBytes(maximumBytes)
{
}

void BodyCollector::receiveData(int, std::string_view data)
{
    m_isTooLong = m_isTooLong || data.size() > m_maximumBytes - m_body.size();
    if (!m_isTooLong) {
        m_body += data;
    }
}

void BodyCollector::receiveUnframedEnd()
{
    m_isUnframed = true;
}

void BodyCollector::finish(Core::Result<int> status)
{
    if (!status) {
        m_callback(status.error());
    } else if (m_isTooLong) {
        m_callback(Core::Error{Core::ErrorCode::ResourceExhausted, "http.call", "", "The response body is too long."});
    } else {
        m_callback(HttpReply{status.value(), std::move(m_body), m_isUnframed});
    }
}

} // namespace Verbena::Http
