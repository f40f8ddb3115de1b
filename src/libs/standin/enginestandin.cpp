#include "enginestandin.h"

#include "answertext.h"

#include <nlohmann/json.hpp>

namespace Verbena::Standin {

namespace {

using nlohmann::json;

std::string event(const json &value)
{
    return "data: " + value.dump() + "\n\n";
}

} // namespace

Core::Result<std::unique_ptr<EngineStandin>> EngineStandin::create(EventLoop::Loop &loop, std::uint16_t port)
{
    std::unique_ptr<EngineStandin> engine(new EngineStandin);
    Http::HttpServerOptions options;
    options.port = port;
    BOOST_OUTCOME_TRY(opened, Http::HttpServer::create(loop, options, *engine));
    engine->m_server = std::move(opened);
    return engine;
}

std::uint16_t EngineStandin::port() const
{
    return m_server->port();
}

void EngineStandin::handleRequest(const std::shared_ptr<Http::HttpExchange> &exchange)
{
    const json request = json::parse(exchange->body(), nullptr, false);
    if (exchange->path() != "/v1/completions" || !request.is_object() || !request.contains("prompt")) {
        exchange->respond(400, {{"Content-Type", "application/json"}}, R"({"error":{"message":"This is not a completion request."}})");
        return;
    }
    const std::string prompt = request["prompt"].is_string() ? request["prompt"].get<std::string>() : request["prompt"].dump();
    const auto count = request.value("max_tokens", 16U);
    const AnswerText answer(prompt);
    exchange->beginStream(200, {{"Content-Type", "text/event-stream"}});
    for (std::uint32_t i = 0; i < count; ++i) {
        exchange->write(event({{"choices", json::array({{{"index", 0}, {"text", answer.token(i)}, {"finish_reason", nullptr}}})}}));
    }
    exchange->write(event({{"choices", json::array({{{"index", 0}, {"text", ""}, {"finish_reason", "length"}}})},
        {"usage", {{"prompt_tokens", prompt.size() / 4}, {"completion_tokens", count}, {"cached_tokens", 0}}}}));
    exchange->write("data: [DONE]\n\n");
    exchange->endStream();
}

} // namespace Verbena::Standin
