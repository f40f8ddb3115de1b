#include "backendwatch.h"

#include <eventloop/loop.h>
#include <json/jsontext.h>

namespace Verbena::Agent {

namespace {

using nlohmann::json;

void readModels(const json &root, BackendReport &report)
{
    const auto models = root.find("models");
    if (models == root.end() || !models->is_array()) {
        return;
    }
    report.hasModels = true;
    for (const json &model : *models) {
        if (model.is_object()) {
            report.models.push_back({JsonText::textOrEmpty(model, "model"), JsonText::textOrEmpty(model, "adapter"), JsonText::textOrEmpty(model, "version")});
        }
    }
}

// Differs from that of the agent's last life, so that routers do not take the one for the other.
std::uint64_t firstIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace

BackendWatch::BackendWatch(EventLoop::Loop &loop, Http::HttpClient &client, const BackendWatchOptions &options, BackendListener &listener)
    : m_loop(loop)
    , m_client(client)
    , m_options(options)
    , m_listener(listener)
    , m_timer(loop, [this] { askLoad(); })
    , m_incarnation(firstIncarnation())
{
}

void BackendWatch::start()
{
    m_listener.incarnationChanged(m_incarnation);
    m_hungAt = m_loop.now() + m_options.hangTimeout;
    askLoad();
}

void BackendWatch::noteUnreachable(const Core::Error &error)
{
    if (m_isUp && !m_hasTold) {
        beginIncarnation();
    }
    setUp(false, error);
}

void BackendWatch::noteIncarnation(std::uint64_t incarnation)
{
    if (m_hasTold && m_toldIncarnation == incarnation) {
        return;
    }
    const bool isFirst = !m_hasTold;
    m_hasTold = true;
    m_toldIncarnation = incarnation;
    if (!isFirst) {
        beginIncarnation();
    }
}

bool BackendWatch::isUp() const
{
    return m_isUp;
}

std::uint64_t BackendWatch::incarnation() const
{
    return m_incarnation;
}

bool BackendWatch::isPresent(std::uint64_t incarnation) const
{
    return m_hasTold && m_toldIncarnation == incarnation;
}

void BackendWatch::askLoad()
{
    Http::HttpCall call;
    call.url = m_options.url + "/load";
    call.deadline = m_loop.now() + m_options.hangTimeout;
    call.limits.bodyBytes = Http::AnswerLimits::statusBodyBytes;
    m_client.start(call, std::make_shared<Http::BodyCollector>([this](const Core::Result<Http::HttpReply> &reply) { receiveLoad(reply); }));
}

void BackendWatch::receiveLoad(const Core::Result<Http::HttpReply> &reply)
{
    const Core::TimePoint now = m_loop.now();
    m_timer.startAt(now + m_options.loadInterval);
    if (reply) {
        m_hungAt = now + m_options.hangTimeout;
        readReport(reply.value().body);
        setUp(true, {});
        return;
    }
    if (reply.error().code == Core::ErrorCode::Unavailable) {
        noteUnreachable(reply.error());
    } else if (now >= m_hungAt) {
        setUp(false, reply.error());
    }
}

void BackendWatch::readReport(const std::string &body)
{
    const auto parsed = JsonText::parse(body);
    if (!parsed) {
        return;
    }
    const json &root = parsed.value();
    if (!root.is_object()) {
        return;
    }
    const std::uint64_t incarnation = JsonText::wholeNumberOr(root, "incarnation", 0);
    if (incarnation != 0) {
        noteIncarnation(incarnation);
    }
    BackendReport report;
    report.incarnation = m_incarnation;
    report.load.running = static_cast<std::uint32_t>(JsonText::wholeNumberOr(root, "running", 0));
    report.load.waiting = static_cast<std::uint32_t>(JsonText::wholeNumberOr(root, "queued", 0));
    report.role = JsonText::textOrEmpty(root, "role");
    readModels(root, report);
    m_listener.receiveReport(report);
}

void BackendWatch::setUp(bool isUp, const Core::Error &reason)
{
    if (m_isUp != isUp) {
        m_isUp = isUp;
        m_listener.availabilityChanged(isUp, reason);
    }
}

void BackendWatch::beginIncarnation()
{
    ++m_incarnation;
    m_listener.incarnationChanged(m_incarnation);
}

} // namespace Verbena::Agent
