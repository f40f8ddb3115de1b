#include "bodycollector.h"

namespace Verbena::Agent {

namespace {

constexpr std::size_t maximumBodyBytes = 4 * 1024 * 1024;

} // namespace

BodyCollector::BodyCollector(Callback callback)
    : m_callback(std::move(callback))
{
}

void BodyCollector::receiveData(int, std::string_view data)
{
    m_body += data.substr(0, maximumBodyBytes - m_body.size());
}

void BodyCollector::finish(Core::Result<int> status)
{
    if (status) {
        m_callback(HttpReply{status.value(), std::move(m_body)});
    } else {
        m_callback(status.error());
    }
}

} // namespace Verbena::Agent
