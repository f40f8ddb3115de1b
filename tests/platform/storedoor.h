#pragma once

#include "storestandin.h"

#include <http/httpserver.h>

#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief One host's way to the store, which a test can close: the store serves the others then, and this host hears nothing.
class StoreDoor : public Http::HttpHandler
{
public:
    StoreDoor(EventLoop::Loop &loop, StoreStandin &store);

    /// \brief IP:PORT, to be used in place of the store's.
    std::string address() const;

    /// \brief Keeps calls without an answer from now on; those that wait in the store are answered still.
    void close();

    /// \brief Lets calls through; those that were kept stay without an answer.
    void open();

    void handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange) override;

private:
    StoreStandin &m_store;
    bool m_isOpen = true;
    std::vector<std::shared_ptr<Http::HttpExchange>> m_unanswered;
    std::unique_ptr<Http::HttpServer> m_server;
};

} // namespace Verbena::Test
