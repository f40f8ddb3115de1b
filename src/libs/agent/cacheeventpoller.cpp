#include "cacheeventpoller.h"

#include <eventloop/loop.h>
#include <json/jsontext.h>

namespace Verbena::Agent {

namespace {

using nlohmann::json;

constexpr std::size_t maximumAttempts = 4096;
// Between two tries with an engine that tells nothing.
constexpr std::chrono::seconds silentInterval{1};

} // namespace

CacheEventPoller::CacheEventPoller(
    EventLoop::Loop &loop, Http::HttpClient &client, const BackendWatchOptions &options, BackendWatch &watch, BackendListener &listener)
    : m_loop(loop)
    , m_client(client)
    , m_options(options)
    , m_watch(watch)
    , m_listener(listener)
    , m_timer(loop, [this] { ask(); })
{
}

void CacheEventPoller::start()
{
    ask();
}

void CacheEventPoller::noteRunStarted(const Decisions::RequestRef &ref)
{
    if (m_attempts.insert_or_assign(ref.request, ref.attempt).second) {
        m_attemptOrder.push_back(ref.request);
    }
    if (m_attemptOrder.size() > maximumAttempts) {
        m_attempts.erase(m_attemptOrder.front());
        m_attemptOrder.pop_front();
    }
}

void CacheEventPoller::ask()
{
    if (m_askedIncarnation != m_watch.incarnation()) {
        m_askedIncarnation = m_watch.incarnation();
        m_next = 1;
    }
    Http::HttpCall call;
    call.url = m_options.url + "/cache_events?since=" + std::to_string(m_next);
    call.deadline = m_loop.now() + m_options.hangTimeout;
    m_client.start(call, std::make_shared<Http::BodyCollector>([this](const Core::Result<Http::HttpReply> &reply) { receive(reply); }));
}

void CacheEventPoller::receive(const Core::Result<Http::HttpReply> &reply)
{
    const bool isTelling = reply && reply.value().status == 200;
    m_timer.startAt(m_loop.now() + (isTelling ? m_options.eventsInterval : silentInterval));
    if (isTelling) {
        readEvents(reply.value().body);
    }
}

void CacheEventPoller::readEvents(const std::string &body)
{
    const auto parsed = JsonText::parse(body);
    if (!parsed) {
        return;
    }
    const json &root = parsed.value();
    if (!root.is_object() || !root.contains("events") || !root["events"].is_array()) {
        return;
    }
    const std::uint64_t told = JsonText::wholeNumberOr(root, "incarnation", 0);
    m_watch.noteIncarnation(told);
    if (m_askedIncarnation != m_watch.incarnation()) {
        // Asked of an earlier life: the numbers do not fit.
        return;
    }
    std::uint64_t last = m_next - 1;
    for (const json &entry : root["events"]) {
        if (!entry.is_object()) {
            continue;
        }
        Decisions::CacheEvent event;
        event.incarnation = m_askedIncarnation;
        event.sequence = JsonText::wholeNumberOr(entry, "sequence", 0);
        event.kind = JsonText::textOrEmpty(entry, "kind") == "removed" ? Decisions::CacheEvent::Kind::Removed : Decisions::CacheEvent::Kind::Stored;
        event.blocks = {Decisions::BlockId(JsonText::wholeNumberOr(entry, "piece", 0))};
        event.firstPiece = static_cast<std::uint32_t>(JsonText::wholeNumberOr(entry, "position", 0));
        event.request = refOf(JsonText::textOrEmpty(entry, "request"));
        last = std::max(last, event.sequence);
        m_listener.receiveCacheEvent(event);
    }
    const std::uint64_t next = std::max(JsonText::wholeNumberOr(root, "next", 0), last + 1);
    if (next > last + 1) {
        // The engine counted events that it did not tell; an empty one in the place of the last makes the gap known at once.
        Decisions::CacheEvent gap;
        gap.incarnation = m_askedIncarnation;
        gap.sequence = next - 1;
        m_listener.receiveCacheEvent(gap);
    }
    m_next = next;
}

Decisions::RequestRef CacheEventPoller::refOf(const std::string &request) const
{
    const auto found = m_attempts.find(request);
    return {request, found == m_attempts.end() ? 1 : found->second};
}

} // namespace Verbena::Agent
