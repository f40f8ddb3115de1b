#include "faultyproxy.h"

#include "heldqueue.h"
#include "lossdraw.h"

#include <eventloop/loop.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace Verbena::Soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds delayTime{120};

// An end of a side waits so long for the other to take what came before it, and is tried again after a moment.
constexpr milliseconds longestEnd{3000};
constexpr milliseconds retryTime{1};

// A request's head is within its first bytes.
constexpr std::size_t longestHead = 2048;

// A side that has sent so much that the other has not taken is not read on.
constexpr std::size_t mostWaiting = 1024 * 1024;

} // namespace

// One connection through the proxy.
class FaultyProxy::Link
{
public:
    Link(FaultyProxy &proxy, int descriptor)
        : m_proxy(proxy)
        , m_fromCaller(*this, m_toTarget)
        , m_fromTarget(*this, m_toCaller)
        , m_caller(Http::TcpChannel::adopt(proxy.m_loop, descriptor, m_fromCaller))
        , m_timer(proxy.m_loop, [this] { deliverDue(); })
    {
        const auto endpoint = Http::Endpoint::parse(proxy.m_target);
        auto target = Http::TcpChannel::connect(proxy.m_loop, endpoint.value(), m_fromTarget);
        if (target) {
            m_target = std::move(target.value());
        }
        m_isRefused = m_target == nullptr;
    }

    void reset()
    {
        m_caller->resetOnClose();
        if (m_target != nullptr) {
            m_target->resetOnClose();
        }
    }

    // Goes on with what was held up. The link may be gone afterwards.
    void deliverDue()
    {
        if (m_isRefused) {
            return;
        }
        const bool isSilent = m_proxy.m_mode == Mode::Silence;
        const bool isMute = isSilent || m_proxy.m_mode == Mode::MuteAnswers;
        if ((!isSilent && hasEnded(m_toTarget, *m_target)) || (!isMute && hasEnded(m_toCaller, *m_caller))) {
            m_proxy.m_links.erase(this);
            return;
        }
        startTimer(isSilent ? std::nullopt : m_toTarget.nextTime(), isMute ? std::nullopt : m_toCaller.nextTime());
        updateReading();
    }

private:
    // One end of the link.
    class Side : public Http::ChannelObserver
    {
    public:
        Side(Link &link, HeldQueue &held)
            : m_link(link)
            , m_held(held)
        {
        }

        void receiveBytes(std::string_view data) override
        {
            if (m_link.isRefusedWith(m_held, data)) {
                m_link.endRefused();
                return;
            }
            m_link.hold(m_held, HeldQueue::Kind::Bytes, data);
        }

        void receiveEnd(Http::ChannelEnd) override
        {
            if (m_link.isRefusedWith(m_held, {})) {
                m_link.endRefused();
                return;
            }
            m_link.hold(m_held, HeldQueue::Kind::End, {});
        }

        void outputSent() override
        {
            m_link.updateReading();
        }

    private:
        Link &m_link;
        HeldQueue &m_held;
    };

    // Returns whether the link ends as its target has refused it. Then it has waited until the caller has said what it wants, or has gone.
    bool isRefusedWith(const HeldQueue &held, std::string_view data)
    {
        const bool isFromCaller = &held == &m_toTarget;
        if (isFromCaller && m_begin.size() < longestHead) {
            m_begin.append(data);
        }
        m_isRefused = m_isRefused || m_target->isRefused();
        return m_isRefused && (isFromCaller || !m_begin.empty());
    }

    void endRefused()
    {
        m_proxy.m_refused.push_back(m_begin);
        reset();
        m_proxy.m_links.erase(this);
    }

    void hold(HeldQueue &held, HeldQueue::Kind kind, std::string_view bytes)
    {
        const Core::TimePoint at = m_proxy.m_loop.now() + drawDelay();
        const bool isCut = m_proxy.m_mode == Mode::Lossy && drawCut(m_proxy.m_random);
        held.add({at, kind, std::string(isCut ? bytes.substr(0, bytes.size() / 2) : bytes)});
        if (isCut) {
            held.add({at, HeldQueue::Kind::Cut, {}});
        }
        deliverDue();
    }

    milliseconds drawDelay()
    {
        switch (m_proxy.m_mode) {
        case Mode::Delay:
            return delayTime;
        case Mode::Lossy:
            return drawStall(m_proxy.m_random);
        default:
            return milliseconds(0);
        }
    }

    // Writes what is due, and returns whether the link ends with it. An end waits until what came before it is written.
    bool hasEnded(HeldQueue &held, Http::TcpChannel &to)
    {
        const Core::TimePoint now = m_proxy.m_loop.now();
        for (const HeldQueue::Item *item = held.due(now); item != nullptr; item = held.due(now)) {
            if (item->kind == HeldQueue::Kind::Cut) {
                reset();
                return true;
            }
            if (item->kind == HeldQueue::Kind::End) {
                return to.bufferedBytes() == 0 || now > item->at + longestEnd;
            }
            to.write(held.take().bytes);
        }
        return false;
    }

    void startTimer(std::optional<Core::TimePoint> one, std::optional<Core::TimePoint> other)
    {
        if (one.has_value() || other.has_value()) {
            const Core::TimePoint next = std::min(one.value_or(Core::TimePoint::max()), other.value_or(Core::TimePoint::max()));
            m_timer.startAt(std::max(next, m_proxy.m_loop.now() + retryTime));
        }
    }

    void updateReading()
    {
        m_caller->setReading(m_toTarget.bytes() + m_target->bufferedBytes() < mostWaiting);
        m_target->setReading(m_toCaller.bytes() + m_caller->bufferedBytes() < mostWaiting);
    }

    FaultyProxy &m_proxy;
    HeldQueue m_toTarget;
    HeldQueue m_toCaller;
    Side m_fromCaller;
    Side m_fromTarget;
    std::unique_ptr<Http::TcpChannel> m_caller;
    std::unique_ptr<Http::TcpChannel> m_target; ///< Null if the target refused at once.
    std::string m_begin; ///< What the caller has sent first.
    bool m_isRefused = false; ///< Whether the target refused the connection.
    EventLoop::Timer m_timer;
};

FaultyProxy::FaultyProxy(EventLoop::Loop &loop, const std::string &address, const std::string &target, Decisions::RandomSource &random)
    : m_loop(loop)
    , m_random(random)
    , m_target(target)
    , m_listener(std::move(Http::TcpListener::create(loop, Http::Endpoint::parse(address).value(), [this](int descriptor) { accept(descriptor); }).value()))
{
}

FaultyProxy::~FaultyProxy() = default;

std::string FaultyProxy::address() const
{
    return m_listener->endpoint().toString();
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

bool FaultyProxy::hasRefused(const std::string &headerLine) const
{
    return std::any_of(m_refused.begin(), m_refused.end(), [&](const std::string &begin) { return begin.find(headerLine + "\r\n") != std::string::npos; });
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
