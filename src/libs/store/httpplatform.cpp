#include "httpplatform.h"

#include "platformjson.h"

#include <eventloop/loop.h>
#include <http/bodycollector.h>

namespace Verbena::Store {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

// Many times the largest object that the product keeps in the store.
constexpr std::uint64_t maximumObjectBytes = 256 * 1024 * 1024;

// Pages have 500 rows of at most 64 KiB, which take up to twice as much as JSON text.
constexpr std::uint64_t maximumRowsBytes = 64 * 1024 * 1024;

// A kilobyte for each of the nodes and backend servers of the target.
constexpr std::uint64_t maximumHostsBytes = 16 * 1024 * 1024;

using Answer = Http::HttpReply;

// What the end of an answer's connection says of an answer without a length.
enum class Framing {
    Optional, ///< The content shows whether it is complete.
    Required, ///< An answer without a length may be incomplete.
};

using AnswerCallback = std::function<void(Core::Result<Answer>)>;

std::shared_ptr<Http::BodyCollector> makeCollector(AnswerCallback done, Framing framing = Framing::Optional)
{
    const auto handle = [done = std::move(done), framing](const Core::Result<Answer> &answer) {
        if (answer && answer.value().isUnframed && framing == Framing::Required) {
            done(Core::Error{Core::ErrorCode::Unknown, "platform.answer", "", "The answer has no length and may be incomplete."});
            return;
        }
        done(answer);
    };
    return std::make_shared<Http::BodyCollector>(handle);
}

Core::Error errorOf(int status, const char *step, const std::string &peer)
{
    switch (status) {
    case statusBadRequest:
        return {Core::ErrorCode::InvalidArgument, step, peer, "The platform rejected the request as invalid."};
    case statusNotFound:
        return {Core::ErrorCode::NotFound, step, peer, "The platform has no such entry."};
    case statusTooManyRequests:
        return {Core::ErrorCode::ResourceExhausted, step, peer, "The platform's budget is used up."};
    case statusUnavailable:
        return {Core::ErrorCode::Unavailable, step, peer, "The platform is unavailable."};
    default:
        return {Core::ErrorCode::Unknown, step, peer, "The platform answered with status " + std::to_string(status) + "."};
    }
}

// Returns the error because of which a response cannot be decoded, if there is one.
std::optional<Core::Error> failureOf(const Core::Result<Answer> &answer, const char *step, const std::string &peer)
{
    if (!answer) {
        return Core::Error{answer.error().code, step, peer, answer.error().message};
    }
    if (answer.value().status != statusOk) {
        return errorOf(answer.value().status, step, peer);
    }
    return std::nullopt;
}

template<typename Done, typename Decode>
AnswerCallback decodingCallback(const char *step, const std::string &peer, Done done, Decode decode)
{
    return [step, peer, done = std::move(done), decode](const Core::Result<Answer> &answer) {
        if (const auto failure = failureOf(answer, step, peer)) {
            done(*failure);
            return;
        }
        done(decode(answer.value().body));
    };
}

CommitAnswer notSent(const std::string &detail)
{
    return {CommitOutcome::NotSent, 0, {}, detail};
}

// Only the platform's own response, or a request that was never sent, proves that nothing was written.
CommitAnswer commitAnswerOf(const Core::Result<Answer> &answer, const std::string &peer)
{
    const char *step = "table.commit";
    if (!answer) {
        const bool hasLeft = answer.error().code != Core::ErrorCode::Unavailable;
        return {hasLeft ? CommitOutcome::Unknown : CommitOutcome::NotSent, 0, {}, answer.error().toString()};
    }
    const int status = answer.value().status;
    if (status == statusOk) {
        const auto revision = decodeRevision(answer.value().body);
        return revision ? CommitAnswer{CommitOutcome::Committed, revision.value(), {}, {}}
                        : CommitAnswer{CommitOutcome::Unknown, 0, {}, revision.error().toString()};
    }
    const std::string detail = errorOf(status, step, peer).toString();
    if (status == statusConflict) {
        const auto rows = decodeRows(answer.value().body);
        return {CommitOutcome::Conflict, 0, rows ? rows.value() : std::vector<TableRow>{}, "A row stands at another revision."};
    }
    const bool isRefused = status == statusBadRequest || status == statusTooManyRequests || status == statusUnavailable;
    return isRefused ? notSent(detail) : CommitAnswer{CommitOutcome::Unknown, 0, {}, detail};
}

bool isObjectName(const std::string &name)
{
    const auto isAllowed = [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.' || letter == '/';
    };
    return !name.empty() && std::all_of(name.begin(), name.end(), isAllowed);
}

Core::Error wrongObjectName(const char *step, const std::string &peer)
{
    return {Core::ErrorCode::InvalidArgument, step, peer, "An object name may contain only letters, digits and the characters - _ . /."};
}

Http::HttpCall makeCall(const std::string &method, const std::string &url, std::uint64_t maximumBytes, Core::TimePoint deadline)
{
    Http::HttpCall call;
    call.method = method;
    call.url = url;
    call.deadline = deadline;
    call.limits.bodyBytes = maximumBytes;
    return call;
}

Http::HttpCall putCall(const std::string &url, std::string body, Core::TimePoint deadline)
{
    Http::HttpCall call = makeCall("PUT", url, Http::AnswerLimits::statusBodyBytes, deadline);
    call.fields = {"Content-Type: application/octet-stream"};
    call.body = std::move(body);
    return call;
}

// A commit that conflicts is answered with rows.
Http::HttpCall rowsCall(const std::string &url, std::string body, Core::TimePoint deadline)
{
    Http::HttpCall call = makeCall("POST", url, maximumRowsBytes, deadline);
    call.fields = {"Content-Type: application/json"};
    call.body = std::move(body);
    return call;
}

} // namespace

Core::Result<std::unique_ptr<HttpPlatform>> HttpPlatform::create(EventLoop::Loop &loop, const std::string &url)
{
    VERBENA_TRY(client, Http::HttpClient::create(loop));
    return std::unique_ptr<HttpPlatform>(new HttpPlatform(loop, url, std::move(client)));
}

HttpPlatform::HttpPlatform(EventLoop::Loop &loop, std::string url, std::unique_ptr<Http::HttpClient> client)
    : m_loop(loop)
    , m_url(std::move(url))
    , m_client(std::move(client))
    , m_runLater(loop, [this] { runLater(); })
{
}

void HttpPlatform::callLater(std::function<void()> callback)
{
    m_later.push_back(std::move(callback));
    m_runLater.schedule();
}

void HttpPlatform::runLater()
{
    std::vector<std::function<void()>> callbacks;
    callbacks.swap(m_later);
    for (const auto &callback : callbacks) {
        callback();
    }
}

void HttpPlatform::get(const std::vector<std::string> &keys, Core::TimePoint deadline, RowsCallback done)
{
    auto callback = decodingCallback("table.get", m_url, std::move(done), &decodeRows);
    m_client->start(rowsCall(m_url + "/table/get", encodeKeys(keys), deadline), makeCollector(std::move(callback)));
}

void HttpPlatform::scan(const std::string &prefix, std::uint64_t sinceRevision, std::size_t limit, Core::TimePoint deadline, RowsCallback done)
{
    auto callback = decodingCallback("table.scan", m_url, std::move(done), &decodeRows);
    const std::string body = encodeScan({prefix, sinceRevision, limit});
    m_client->start(rowsCall(m_url + "/table/scan", body, deadline), makeCollector(std::move(callback)));
}

void HttpPlatform::commit(const std::vector<RowWrite> &writes, Core::TimePoint deadline, CommitCallback done)
{
    if (deadline <= m_loop.now()) {
        callLater([done, url = m_url] { done(notSent("table.commit [" + url + "]: The deadline passed before anything was sent.")); });
        return;
    }
    if (!isEncodable(writes)) {
        callLater([done, url = m_url] { done(notSent("table.commit [" + url + "]: A row is not UTF-8 text.")); });
        return;
    }
    auto callback = [peer = m_url, done = std::move(done)](const Core::Result<Answer> &answer) {
        done(commitAnswerOf(answer, peer));
    };
    m_client->start(rowsCall(m_url + "/table/commit", encodeWrites(writes), deadline), makeCollector(std::move(callback)));
}

void HttpPlatform::get(const std::string &name, Core::TimePoint deadline, GetCallback done)
{
    if (!isObjectName(name)) {
        callLater([done, url = m_url] { done(wrongObjectName("objects.get", url)); });
        return;
    }
    auto callback = decodingCallback("objects.get", m_url, std::move(done), [](const std::string &body) { return Core::Result<std::string>(body); });
    m_client->start(makeCall("GET", m_url + "/objects/" + name, maximumObjectBytes, deadline), makeCollector(std::move(callback), Framing::Required));
}

void HttpPlatform::put(const std::string &name, const std::string &content, Core::TimePoint deadline, PutCallback done)
{
    if (!isObjectName(name)) {
        callLater([done, url = m_url] { done(wrongObjectName("objects.put", url)); });
        return;
    }
    auto callback = decodingCallback("objects.put", m_url, std::move(done), [](const std::string &) { return Core::Result<void>(Core::success()); });
    m_client->start(putCall(m_url + "/objects/" + name, content, deadline), makeCollector(std::move(callback)));
}

void HttpPlatform::fetch(Core::TimePoint deadline, ListCallback done)
{
    auto callback = decodingCallback("hosts.fetch", m_url, std::move(done), &decodeHosts);
    m_client->start(makeCall("GET", m_url + "/hosts", maximumHostsBytes, deadline), makeCollector(std::move(callback)));
}

} // namespace Verbena::Store
