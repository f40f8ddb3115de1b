#include "storedoor.h"

namespace Verbena::Test {

StoreDoor::StoreDoor(EventLoop::Loop &loop, StoreStandin &store)
    : m_store(store)
    , m_server(std::move(Http::HttpServer::create(loop, {}, *this).value()))
{
}

std::string StoreDoor::address() const
{
    return "127.0.0.1:" + std::to_string(m_server->port());
}

void StoreDoor::close()
{
    m_isOpen = false;
}

void StoreDoor::open()
{
    m_isOpen = true;
}

void StoreDoor::handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    if (m_isOpen) {
        m_store.handleRequest(exchange);
    } else {
        m_unanswered.push_back(exchange);
    }
}

} // namespace Verbena::Test
