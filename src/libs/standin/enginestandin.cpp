#include "enginestandin.h"

#include "incarnation.h"

#include <eventloop/loop.h>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace Verbena::Standin {

namespace {

using nlohmann::json;

json jsonOf(const std::vector<LoadedModel> &models)
{
    json list = json::array();
    for (const LoadedModel &model : models) {
        list.push_back({{"model", model.model}, {"adapter", model.adapter}, {"version", model.version}});
    }
    return list;
}

json jsonOf(const CacheEvent &event)
{
    if (event.kind == CacheEvent::Kind::Removed) {
        return {{"sequence", event.sequence}, {"kind", "removed"}, {"piece", event.piece}};
    }
    return {{"sequence", event.sequence},
        {"kind", "stored"},
        {"piece", event.piece},
        {"parent", event.parent},
        {"position", event.position},
        {"request", event.request}};
}

std::vector<PieceHash> piecesOf(const std::string &body)
{
    const json root = json::parse(body, nullptr, false);
    std::vector<PieceHash> pieces;
    if (!root.is_object() || !root.contains("pieces") || !root["pieces"].is_array()) {
        return pieces;
    }
    for (const json &piece : root["pieces"]) {
        if (piece.is_number_unsigned()) {
            pieces.push_back(PieceHash(piece.get<std::uint64_t>()));
        }
    }
    return pieces;
}

} // namespace

Core::Result<std::unique_ptr<EngineStandin>> EngineStandin::create(EventLoop::Loop &loop, const EngineOptions &options)
{
    std::unique_ptr<EngineStandin> engine(new EngineStandin(loop, options));
    EngineStandin *self = engine.get();
    VERBENA_TRY(opened, FaultyServer::create(loop, options.port, options.faults, *engine));
    engine->m_server = std::move(opened);
    engine->m_batch = std::make_unique<EngineBatch>(loop, engine->m_options, engine->m_cache, engine->m_runs, engine->m_server->faults());
    engine->m_server->setChangedCallback([self] { self->m_batch->resume(); });
    engine->refreshLoadReport();
    return engine;
}

EngineStandin::EngineStandin(EventLoop::Loop &loop, const EngineOptions &options)
    : m_loop(loop)
    , m_options(options)
    , m_incarnation(newIncarnation())
    , m_cache(options.cachePieces)
    , m_models(m_options)
    , m_loadReportTimer(loop, [this] { refreshLoadReport(); })
    , m_importTimer(loop, [this] { finishImports(); })
{
}

std::uint16_t EngineStandin::port() const
{
    return m_server->port();
}

void EngineStandin::respond(Http::HttpExchange &exchange, int status, std::string body) const
{
    exchange.respond(status, {{"Content-Type", "application/json"}, {"Engine-Incarnation", std::to_string(m_incarnation)}}, std::move(body));
}

void EngineStandin::handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    m_models.completeLoads(m_loop.now());
    const std::string &path = exchange->path();
    if (path == "/v1/completions") {
        startCompletion(exchange);
    } else if (path == "/load") {
        respond(*exchange, 200, m_loadReport);
    } else if (path == "/cache_events") {
        handleCacheEvents(*exchange);
    } else if (path == "/runs") {
        respond(*exchange, 200, m_runs.toJson(m_incarnation));
    } else if (path == "/cancel") {
        handleCancel(*exchange);
    } else if (path == "/kv/export") {
        handleExport(*exchange);
    } else if (path == "/kv/import") {
        handleImport(exchange);
    } else if (path == "/orders") {
        OrderResponse response = m_models.handleOrder(exchange->body(), m_loop.now());
        respond(*exchange, response.status, std::move(response.body));
    } else {
        respond(*exchange, 404, R"({"error":{"message":"There is no such path."}})");
    }
}

void EngineStandin::startCompletion(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    Core::Result<CompletionRequest> request = CompletionRequest::fromJson(exchange->body(), m_options.pieceSize);
    if (!request) {
        respond(*exchange, 400, json{{"error", {{"message", request.error().message}}}}.dump());
        return;
    }
    if (!m_models.isServed(request.value().model)) {
        respond(*exchange, 404, R"({"error":{"message":"This model is not loaded."}})");
        return;
    }
    if (m_server->faults().crash == CrashPoint::BeforeAdmission) {
        std::_Exit(EXIT_FAILURE);
    }
    request.value().computePieces(m_models.versionOf(request.value().model));
    const RunId run = m_runs.start(*exchange);
    exchange->setClosedCallback([this, run] { m_batch->remove(run); });
    m_batch->add(std::make_unique<EngineSequence>(std::move(request.value()), run, exchange, m_incarnation));
}

void EngineStandin::handleCancel(Http::HttpExchange &exchange)
{
    const json root = json::parse(exchange.body(), nullptr, false);
    const bool isRequest = root.is_object() && root.contains("request") && root["request"].is_string();
    const bool isCancelled = isRequest && m_batch->cancel(root["request"].get<std::string>());
    respond(exchange, 200, json{{"cancelled", isCancelled}}.dump());
}

void EngineStandin::handleExport(Http::HttpExchange &exchange) const
{
    std::vector<PieceHash> found;
    for (const PieceHash piece : piecesOf(exchange.body())) {
        if (m_cache.contains(piece)) {
            found.push_back(piece);
        }
    }
    respond(exchange, 200, json{{"incarnation", m_incarnation}, {"pieces", found}}.dump());
}

void EngineStandin::handleImport(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    const json root = json::parse(exchange->body(), nullptr, false);
    const bool hasRoot = root.is_object() && root.contains("root") && root["root"].is_number_unsigned();
    const PieceHash rootHash = hasRoot ? PieceHash(root["root"].get<std::uint64_t>()) : PieceHash{};
    std::vector<PieceHash> pieces = piecesOf(exchange->body());
    // Imports share one network link, so each import starts when the one before it has finished.
    const Core::TimePoint begin = m_imports.empty() ? m_loop.now() : m_imports.back().readyAt;
    const Core::TimePoint readyAt = begin + m_options.importTimePerPiece * pieces.size();
    m_imports.push_back({exchange, rootHash, std::move(pieces), readyAt});
    m_importTimer.startAt(m_imports.front().readyAt);
}

void EngineStandin::finishImports()
{
    while (!m_imports.empty() && m_imports.front().readyAt <= m_loop.now()) {
        const Import &import = m_imports.front();
        m_cache.store(import.root, import.pieces, "", m_loop.now());
        respond(*import.exchange, 200, json{{"imported", import.pieces.size()}}.dump());
        m_imports.pop_front();
    }
    if (!m_imports.empty()) {
        m_importTimer.startAt(m_imports.front().readyAt);
    }
}

bool EngineStandin::isEventLost(const CacheEvent &event) const
{
    const std::uint64_t hash = XXH3_64bits_withSeed(&event.sequence, sizeof event.sequence, m_options.seed);
    return static_cast<double>(hash) < m_options.eventLossRate * static_cast<double>(UINT64_MAX);
}

void EngineStandin::handleCacheEvents(Http::HttpExchange &exchange) const
{
    const std::string text = exchange.queryArgument("since").value_or("");
    std::uint64_t next = 1;
    std::from_chars(text.data(), text.data() + text.size(), next);
    const Core::TimePoint newest = m_loop.now() - m_options.eventDelay;
    json events = json::array();
    const auto &recorded = m_cache.events();
    const std::uint64_t first = recorded.empty() ? 1 : recorded.front().sequence;
    next = std::max(next, first);
    for (std::size_t i = next - first; i < recorded.size() && recorded[i].recordedAt <= newest; ++i) {
        next = recorded[i].sequence + 1;
        if (!isEventLost(recorded[i])) {
            events.push_back(jsonOf(recorded[i]));
        }
    }
    respond(exchange, 200, json{{"incarnation", m_incarnation}, {"next", next}, {"events", std::move(events)}}.dump());
}

std::string EngineStandin::loadReportJson() const
{
    json report{{"incarnation", m_incarnation},
        {"running", m_batch->runningCount()},
        {"queued", m_batch->queuedCount()},
        {"cached_pieces", m_cache.size()},
        {"role", m_models.role()},
        {"loading", jsonOf(m_models.loading())}};
    // An engine that serves every model has no list of loaded models to report.
    if (!m_models.isServingAll()) {
        report["models"] = jsonOf(m_models.loaded());
    }
    return report.dump();
}

void EngineStandin::refreshLoadReport()
{
    m_models.completeLoads(m_loop.now());
    m_loadReport = loadReportJson();
    m_loadReportTimer.startAt(m_loop.now() + std::max(m_options.loadReportLag, std::chrono::milliseconds(1)));
}

} // namespace Verbena::Standin
