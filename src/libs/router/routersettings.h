#pragma once

#include <core/result.h>
#include <http/httpserver.h>
#include <observe/eventlog.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Verbena::Settings {
class SettingsReader;
}

namespace Verbena::Router {

/// \brief Deadlines, attempts and retry budget of requests.
struct RequestSettings
{
    std::chrono::microseconds defaultDeadline = std::chrono::seconds(60);
    std::chrono::microseconds maximumDeadline = std::chrono::minutes(10);
    std::uint32_t maximumAttempts = 6;
    std::uint32_t defaultMark = 4; ///< Mark of requests without a class.
    double retryFraction = 0.1; ///< Retries added to the budget by each success.
    double retryCapacity = 200; ///< Maximum of the retry budget.
    double retryAtStart = 10; ///< Retry budget of a router at its start.
};

/// \brief Limits for buffering answers for callers that read slowly.
struct StreamSettings
{
    std::uint32_t frameCredit = 64; ///< Number of frames that an agent may send without new credit.
    std::size_t maximumBufferedBytes = 256 * 1024; ///< Unread bytes above which agents get no more credit.
    std::size_t maximumAnswerBytes = 8 * 1024 * 1024; ///< Maximum answer of a plain service, and maximum text that is kept of a completion.
};

/// \brief Settings of the connections to agents.
struct LinkSettings
{
    std::chrono::microseconds connectTimeout = std::chrono::milliseconds(250); ///< Time after which a request is sent to the next candidate.
    std::chrono::microseconds heartbeatInterval = std::chrono::milliseconds(500);
    std::chrono::microseconds heartbeatTimeout = std::chrono::seconds(3); ///< Time without a message after which an agent counts as lost.
    std::chrono::microseconds idleTimeout = std::chrono::minutes(2); ///< Time after which a connection without requests is closed.
    std::size_t maximumOpen = 512;
};

/// \brief An agent that a router asks for settings at its start, before it has any.
struct SettingsPeer
{
    std::string name;
    std::string endpoint;
    std::string agentPublicKey; ///< CURVE key; empty for no encryption.
};

/// Time between giving up requests and the end of the process, for their answers to be written and read.
inline constexpr std::chrono::milliseconds lastAnswersTime{500};

/// \brief The settings of one router process.
struct RouterSettings
{
    std::string name;
    std::string failureDomain;
    Http::HttpServerOptions listen;
    std::string certificateFile; ///< PEM; empty for plain HTTP.
    std::string privateKeyFile;
    std::string secretKeyFile; ///< CURVE key towards agents; empty for no encryption.
    std::string platformUrl; ///< URL of the platform's table and object store; empty if the settings tree comes from files.
    std::vector<SettingsPeer> settingsPeers;
    std::vector<std::string> treeFiles; ///< Files of the settings tree, for deployments without a table service.
    std::size_t pieceBytes = 8192; ///< Bytes of text that correspond to one piece of the engines' cache.
    std::size_t pieceTokens = 2048; ///< Tokens of one piece, for prompts of token ids.
    RequestSettings requests;
    StreamSettings streams;
    LinkSettings links;
    std::chrono::microseconds shutdownNotice = std::chrono::seconds(5); ///< Time after SIGTERM during which the router still accepts connections.
    std::chrono::microseconds shutdownGrace = std::chrono::seconds(80); ///< Time after SIGTERM within which the process ends.
    double recomputationWeight = 0; ///< Weight of recomputed tokens relative to the time to first token.

    Observe::LogOptions log;

    /// \brief Reads and validates a file. Errors name the file, line and key of every problem.
    static Core::Result<RouterSettings> fromFile(const std::string &path);

    /// \brief Reads every key from \a reader and finishes it.
    static Core::Result<RouterSettings> read(Settings::SettingsReader &reader);
};

} // namespace Verbena::Router
