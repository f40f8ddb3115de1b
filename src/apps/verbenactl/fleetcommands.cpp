#include "fleetcommands.h"

#include "toolplatform.h"

#include <operator/fleetreport.h>
#include <operator/processclient.h>
#include <operator/requeststory.h>

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace Verbena::Tool {

namespace {

constexpr int okStatus = 200;

ExitStatus fail(const Core::Error &error)
{
    std::cerr << error.toString() << '\n';
    return exitStatusOf(error);
}

Operator::ProcessReport askProcess(Operator::ProcessClient &client, const std::string &url)
{
    const auto answer = client.get(url + "/status");
    if (!answer) {
        return {url, {}, 0, 0, std::nullopt, answer.error().message};
    }
    return Operator::readProcessReport(url, answer.value().body);
}

// What the table has accepted; nothing if it was not named or does not answer.
std::optional<std::uint64_t> acceptedRevision(const Arguments &arguments)
{
    if (arguments.platformUrl.empty()) {
        return std::nullopt;
    }
    const auto platform = ToolPlatform::create(arguments);
    const auto store = platform ? platform.value()->table().readTree() : Core::Result<Decisions::SettingsStore>(platform.error());
    if (!store) {
        std::cerr << "The table could not be asked: " << store.error().toString() << '\n';
        return std::nullopt;
    }
    return store.value().revision();
}

// A file that holds a JSON object is a whole request; anything else is the text of a prompt.
std::string requestBody(const Arguments &arguments, const std::string &text)
{
    if (nlohmann::json::parse(text, nullptr, false).is_object()) {
        return text;
    }
    const nlohmann::json body{{"model", arguments.model}, {"prompt", text}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

ExitStatus runStatus(const Arguments &arguments)
{
    const auto loop = EventLoop::Loop::create();
    if (!loop) {
        return fail(loop.error());
    }
    const auto client = Operator::ProcessClient::create(*loop.value(), arguments.timeout);
    if (!client) {
        return fail(client.error());
    }
    std::vector<Operator::ProcessReport> reports;
    for (const std::string &url : arguments.processUrls) {
        reports.push_back(askProcess(*client.value(), url));
    }
    std::cout << Operator::renderFleet(reports, acceptedRevision(arguments));
    return ExitStatus::Success;
}

ExitStatus runExplain(const Arguments &arguments, const std::string &promptFile)
{
    std::ifstream file(promptFile);
    if (!file || arguments.processUrls.size() != 1) {
        return fail({Core::ErrorCode::InvalidArgument, "explain", promptFile, "Give a prompt file that can be opened and one router with --process."});
    }
    std::ostringstream text;
    text << file.rdbuf();
    std::vector<std::string> fields{"Content-Type: application/json"};
    if (!arguments.apiKeyFile.empty()) {
        const auto key = readFirstLine(arguments.apiKeyFile);
        if (!key) {
            return fail(key.error());
        }
        fields.push_back("Authorization: Bearer " + key.value());
    }
    const auto loop = EventLoop::Loop::create();
    if (!loop) {
        return fail(loop.error());
    }
    const auto client = Operator::ProcessClient::create(*loop.value(), arguments.timeout);
    if (!client) {
        return fail(client.error());
    }
    const auto answer = client.value()->post(arguments.processUrls.front() + "/explain", fields, requestBody(arguments, text.str()));
    if (!answer) {
        return fail(answer.error());
    }
    const auto json = nlohmann::json::parse(answer.value().body, nullptr, false);
    std::cout << (json.is_discarded() ? answer.value().body : json.dump(2)) << '\n';
    return answer.value().status == okStatus ? ExitStatus::Success : ExitStatus::Failure;
}

ExitStatus runTell(const std::string &requestId, const std::vector<std::string> &logFiles)
{
    const auto story = Operator::tellRequest(requestId, logFiles);
    if (!story) {
        return fail(story.error());
    }
    std::cout << story.value();
    return ExitStatus::Success;
}

} // namespace Verbena::Tool
