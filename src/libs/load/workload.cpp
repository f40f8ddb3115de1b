#include "workload.h"

#include <standin/servicestandin.h>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace Verbena::Load {

namespace {

using nlohmann::json;

constexpr std::size_t bytesPerToken = 4;
constexpr double zipfExponent = 1.1;

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

Workload::Workload(const WorkloadOptions &options)
    : m_options(options)
    , m_organisations(organisations(options.kind))
    , m_random(options.seed)
    , m_chooseOrganisation({30, 24, 16, 10, 8, 6, 4, 2})
{
}

std::vector<std::string> Workload::organisations(WorkloadKind kind)
{
    if (kind == WorkloadKind::Kessick) {
        return {"kessick", "inspectorate", "goldreach", "nickelsound", "westwall", "northpit", "tailingsboard", "quarryunion"};
    }
    return {"kalari", "kerala", "kochi", "thrissur", "kollam", "kannur", "idukki", "wayanad"};
}

std::string Workload::apiKey(const std::string &organisation)
{
    return organisation + "-caller-key";
}

std::string Workload::modelName(WorkloadKind kind)
{
    return kind == WorkloadKind::Kessick ? "analyst" : "verdict";
}

std::string Workload::serviceName(WorkloadKind kind)
{
    return kind == WorkloadKind::Kessick ? "register" : "roster";
}

std::string Workload::serviceCallName(WorkloadKind kind)
{
    return kind == WorkloadKind::Kessick ? "append" : "notify";
}

std::vector<Workload::Level> Workload::levels(WorkloadKind kind)
{
    if (kind == WorkloadKind::Kessick) {
        return {{"register", 4, 2}, {"site", 2, 8}, {"wall", 1, 6}};
    }
    return {{"rulebook", 8, 1}, {"district", 2, 14}, {"referee", 1, 40}};
}

LoadRequest Workload::next()
{
    ++m_count;
    const std::size_t organisation = m_chooseOrganisation(m_random);
    LoadRequest request = randomChance(m_options.serviceShare) ? serviceCall(organisation) : completion(organisation);
    request.organisation = organisation;
    request.fields.emplace_back("Content-Type: application/json");
    request.fields.emplace_back("Authorization: Bearer " + apiKey(m_organisations[organisation]));
    return request;
}

bool Workload::randomChance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

std::size_t Workload::sampleZipf(std::size_t count)
{
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= count; ++rank) {
        weights.push_back(1 / std::pow(static_cast<double>(rank), zipfExponent));
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
}

std::string Workload::prefix(std::size_t organisation)
{
    std::string text;
    // The first level of Kalari is a rulebook that all organisations share, so its path starts without an organisation.
    std::string path = m_options.kind == WorkloadKind::Kessick ? m_organisations[organisation] : "";
    for (const Level &level : levels(m_options.kind)) {
        path += std::string("/") + level.name + std::to_string(sampleZipf(level.siblings));
        text += levelText(path, level.pieces * m_options.pieceBytes);
    }
    return text;
}

std::string Workload::levelText(const std::string &path, std::size_t bytes) const
{
    std::string text = path + "\n";
    for (std::size_t line = 0; text.size() < bytes; ++line) {
        text += "entry " + std::to_string(hashOf(path + std::to_string(line))) + " reads " + std::to_string(line) + "\n";
    }
    text.resize(bytes);
    return text;
}

LoadRequest Workload::serviceCall(std::size_t organisation)
{
    LoadRequest request;
    const std::string unique = m_organisations[organisation] + "-" + std::to_string(m_options.seed) + "-" + std::to_string(m_count);
    request.kind = RequestKind::ServiceCall;
    request.isStream = false;
    request.path = "/v1/services/" + serviceName(m_options.kind) + "/" + serviceCallName(m_options.kind);
    request.fields = {"Idempotency-Key: " + unique, "Verbena-Idempotent: false"};
    request.body = json{{"entry", unique}}.dump();
    request.answer = Standin::AnswerText(request.body);
    request.answerTokens = Standin::ServiceStandin::answerTokens;
    return request;
}

LoadRequest Workload::completion(std::size_t organisation)
{
    LoadRequest request;
    const std::string question
        = "Question " + std::to_string(m_options.seed) + "-" + std::to_string(m_count) + ": is a trigger level passed? Answer with a short verdict.";
    const std::string prompt = prefix(organisation) + question;
    request.answerTokens = m_options.answerTokens;
    request.isStream = !randomChance(m_options.nonStreamedShare);
    if (randomChance(m_options.tokenShare)) {
        setTokenPrompt(request, prompt);
    } else {
        setTextPrompt(request, prompt, randomChance(m_options.chatShare) ? RequestKind::ChatCompletion : RequestKind::TextCompletion);
    }
    return request;
}

json Workload::commonBody(const LoadRequest &request) const
{
    json body{{"model", modelName(m_options.kind)}, {"max_tokens", request.answerTokens}, {"stream", request.isStream}};
    if (request.isStream) {
        body["stream_options"] = {{"include_usage", true}};
    }
    return body;
}

void Workload::setTextPrompt(LoadRequest &request, const std::string &prompt, RequestKind kind) const
{
    request.kind = kind;
    json body = commonBody(request);
    if (kind == RequestKind::ChatCompletion) {
        request.path = "/v1/chat/completions";
        body["messages"] = json::array({{{"role", "user"}, {"content", prompt}}});
        // The router converts a chat into this text before it sends it to the engine.
        request.answer = Standin::AnswerText("<|user|>\n" + prompt + "\n<|assistant|>\n");
    } else {
        request.path = "/v1/completions";
        body["prompt"] = prompt;
        request.answer = Standin::AnswerText(prompt);
    }
    request.body = body.dump();
}

void Workload::setTokenPrompt(LoadRequest &request, const std::string &prompt) const
{
    request.kind = RequestKind::TokenCompletion;
    request.path = "/v1/completions";
    json tokens = json::array();
    for (std::size_t begin = 0; begin < prompt.size(); begin += bytesPerToken) {
        tokens.push_back(static_cast<std::uint32_t>(hashOf(std::string_view(prompt).substr(begin, bytesPerToken)) % 50'000));
    }
    request.answer = Standin::AnswerText(tokens.dump());
    json body = commonBody(request);
    body["prompt"] = std::move(tokens);
    request.body = body.dump();
}

} // namespace Verbena::Load
