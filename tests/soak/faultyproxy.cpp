#include "faultyproxy.h"

#include <eventloop/loop.h>

#include <deque>
#include <vector>

namespace Verbena::Soak {

namespace {

constexpr std::chrono::milliseconds delayTime{120};

// A side that has sent so much that the other has not taken is not read on.
constexpr std::size_t mostWaiting = 1024 * 1024;

} // namespace

// One connection through the proxy.
class FaultyProxy::Link
{
public:
    Link(FaultyProxy &proxy, int descriptor)
        : m_proxy(proxy)
        , m_fromCaller(*this, true)
        , m_fromTarget(*this, false)
        , m_caller(Http::TcpChannel::adopt(proxy.m_loop, descriptor, m_fromCaller))
        , m_timer(proxy.m_loop, [this] { deliverDue(); })
    {
        const auto endpoint = Http::Endpoint::parse(proxy.m_target);
        auto target = Http::TcpChannel::connect(proxy.m_loop, endpoint.value(), m_fromTarget);
        if (target) {
            m_target = std::move(target.value());
        }
    }

    void reset()
    {
        m_caller->resetOnClose();
        if (m_target != nullptr) {
            m_target->resetOnClose();
        }
    }

    // Goes on with what was held up.
    void deliverDue()
    {
        if (m_proxy.m_mode == Mode::Silence) {
            return;
        }
        const Core::TimePoint now = m_proxy.m_loop.now();
        while (!m_held.empty() && m_held.front().at <= now && !(m_proxy.m_mode == Mode::MuteAnswers && !m_held.front().isFromCaller)) {
            const Held held = std::move(m_held.front());
            m_held.pop_front();
            if (held.isEnd) {
                m_proxy.m_links.erase(this);
                return;
            }
            Http::TcpChannel *to = held.isFromCaller ? m_target.get() : m_caller.get();
            if (to != nullptr) {
                to->write(held.bytes);
            }
        }
        if (!m_held.empty()) {
            m_timer.startAt(m_held.front().at);
        }
        updateReading();
    }

private:
    struct Held
    {
        Core::TimePoint at;
        bool isFromCaller;
        bool isEnd;
        std::string bytes;
    };

    // One end of the link.
    class Side : public Http::ChannelObserver
    {
    public:
        Side(Link &link, bool isCaller)
            : m_link(link)
            , m_isCaller(isCaller)
        {
        }

        void receiveBytes(std::string_view data) override
        {
            m_link.hold(m_isCaller, false, std::string(data));
        }

        void receiveEnd(Http::ChannelEnd) override
        {
            m_link.hold(m_isCaller, true, "");
        }

        void outputSent() override
        {
            m_link.updateReading();
        }

    private:
        Link &m_link;
        bool m_isCaller;
    };

    void hold(bool isFromCaller, bool isEnd, std::string bytes)
    {
        const Core::TimePoint now = m_proxy.m_loop.now();
        m_held.push_back({m_proxy.m_mode == Mode::Delay ? now + delayTime : now, isFromCaller, isEnd, std::move(bytes)});
        deliverDue();
    }

    std::size_t waiting(bool isFromCaller) const
    {
        const Http::TcpChannel *to = isFromCaller ? m_target.get() : m_caller.get();
        std::size_t bytes = to == nullptr ? 0 : to->bufferedBytes();
        for (const Held &held : m_held) {
            bytes += held.isFromCaller == isFromCaller ? held.bytes.size() : 0;
        }
        return bytes;
    }

    void updateReading()
    {
        m_caller->setReading(waiting(true) < mostWaiting);
        if (m_target != nullptr) {
            m_target->setReading(waiting(false) < mostWaiting);
        }
    }

    FaultyProxy &m_proxy;
    Side m_fromCaller;
    Side m_fromTarget;
    std::unique_ptr<Http::TcpChannel> m_caller;
    std::unique_ptr<Http::TcpChannel> m_target;
    std::deque<Held> m_held;
    EventLoop::Timer m_timer;
};

FaultyProxy::FaultyProxy(EventLoop::Loop &loop, const std::string &address, const std::string &target)
    : m_loop(loop)
    , m_target(target)
    , m_listener(std::move(Http::TcpListener::create(loop, Http::Endpoint::parse(address).value(), [this](int descriptor) { accept(descriptor); }).value()))
{
}

FaultyProxy::~FaultyProxy() = default;

std::string FaultyProxy::address() const
{
    return m_listener->endpoint().toString();
}

void FaultyProxy::setTarget(const std::string &target)
{
    m_target = target;
    resetAll();
}

void FaultyProxy::setMode(Mode mode)
{
    m_mode = mode;
    if (mode == Mode::Reset) {
        resetAll();
        return;
    }
    std::vector<Link *> links;
    for (const auto &[link, owned] : m_links) {
        links.push_back(link);
    }
    for (Link *link : links) {
        link->deliverDue();
    }
}

void FaultyProxy::accept(int descriptor)
{
    auto link = std::make_unique<Link>(*this, descriptor);
    if (m_mode == Mode::Reset) {
        link->reset();
        return;
    }
    Link *raw = link.get();
    m_links.emplace(raw, std::move(link));
}

void FaultyProxy::resetAll()
{
    for (const auto &[link, owned] : m_links) {
        link->reset();
    }
    m_links.clear();
}

} // namespace Verbena::Soak
