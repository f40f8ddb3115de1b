#pragma once

#include "hostlist.h"
#include "objectstore.h"
#include "tableservice.h"

#include <eventloop/deferredcall.h>
#include <http/httpclient.h>

#include <memory>
#include <string>

namespace Verbena::Store {

/// \brief Adapter to the platform's table service, object store and host list over HTTP with JSON.
///
/// Callbacks are called from the event loop, never from within a call, and not after the adapter is destroyed.
///
/// Reads fail with ResourceExhausted if the platform's budget is used up, Unavailable in an outage, Unknown if the answer was lost.
class HttpPlatform : public TableService, public ObjectStore, public HostList
{
public:
    /// \brief Creates an adapter to the platform at \a url, for instance "http://127.0.0.1:8080".
    ///
    /// Errors: Internal, if the HTTP client cannot be created.
    static Core::Result<std::unique_ptr<HttpPlatform>> create(EventLoop::Loop &loop, const std::string &url);

    void get(const std::vector<std::string> &keys, Core::TimePoint deadline, RowsCallback done) override;
    void scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit, Core::TimePoint deadline, RowsCallback done) override;
    void commit(const std::vector<RowWrite> &writes, Core::TimePoint deadline, CommitCallback done) override;
    void get(const std::string &name, Core::TimePoint deadline, GetCallback done) override;
    void put(const std::string &name, const std::string &content, Core::TimePoint deadline, PutCallback done) override;
    void fetch(Core::TimePoint deadline, ListCallback done) override;

private:
    HttpPlatform(EventLoop::Loop &loop, std::string url, std::unique_ptr<Http::HttpClient> client);
    void callLater(std::function<void()> callback);
    void runLater();

    EventLoop::Loop &m_loop;
    std::string m_url;
    std::unique_ptr<Http::HttpClient> m_client;
    std::vector<std::function<void()>> m_later;
    EventLoop::DeferredCall m_runLater;
};

} // namespace Verbena::Store
