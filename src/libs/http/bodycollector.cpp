#include "bodycollector.h"

namespace Verbena::Http {

BodyCollector::BodyCollector(Callback callback)
    : m_callback(std::move(callback))
{
}

void BodyCollector::receiveData(int, std::string_view data)
{
    m_body += data;
}

void BodyCollector::receiveUnframedEnd()
{
    m_isUnframed = true;
}

void BodyCollector::finish(Core::Result<int> status)
{
    if (!status) {
        m_callback(status.error());
    } else {
        m_callback(HttpReply{status.value(), std::move(m_body), m_isUnframed});
    }
}

} // namespace Verbena::Http
