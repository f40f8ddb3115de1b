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

/// \brief How long requests may take and how often they are tried.
struct RequestSettings
{
    std::chrono::microseconds defaultDeadline = std::chrono::seconds(60);
    std::chrono::microseconds maximumDeadline = std::chrono::minutes(10);
    std::uint32_t maximumAttempts = 6;
    std::uint32_t defaultMark = 4; ///< Of requests without a class.
    double retryFraction = 0.1; ///< Retries allowed for each success.
    double retryCapacity = 200; ///< Retries that can be saved up.
    double retryAtStart = 10; ///< Of those, what a router starts with.
};

/// \brief How much of an answer is kept for a caller that reads slowly.
struct StreamSettings
{
    std::uint32_t frameCredit = 64; ///< Frames that an agent may send ahead.
    std::size_t maximumBufferedBytes = 256 * 1024; ///< With more than this unread, agents get no more credit.
    std::size_t maximumAnswerBytes = 8 * 1024 * 1024; ///< Of a plain service.
};

/// \brief The connections to agents.
struct LinkSettings
{
    std::chrono::microseconds connectTimeout = std::chrono::milliseconds(250); ///< After this a request goes to the next candidate.
    std::chrono::microseconds heartbeatInterval = std::chrono::milliseconds(500);
    std::chrono::microseconds heartbeatTimeout = std::chrono::seconds(3); ///< An agent that is silent for so long is taken for dead.
    std::chrono::microseconds idleTimeout = std::chrono::minutes(2); ///< A connection without requests is closed after this.
    std::size_t maximumOpen = 512;
};

/// \brief An agent that a starting router asks for settings before it knows any.
struct SettingsPeer
{
    std::string name;
    std::string endpoint;
    std::string agentPublicKey; ///< CURVE key; empty without encryption.
};

/// \brief The settings of one router process.
struct RouterSettings
{
    std::string name;
    std::string failureDomain;
    Http::HttpServerOptions listen;
    std::string certificateFile; ///< PEM; empty for plain HTTP.
    std::string privateKeyFile;
    std::string secretKeyFile; ///< CURVE key towards agents; empty for no encryption.
    std::string platformUrl; ///< Of the platform's table and object store; empty if the tree comes from files.
    std::vector<SettingsPeer> settingsPeers;
    std::vector<std::string> treeFiles; ///< The settings tree, where there is no table service.
    std::size_t pieceBytes = 8192; ///< Bytes of text that stand for one piece of the engines' cache.
    std::size_t pieceTokens = 2048;
    RequestSettings requests;
    StreamSettings streams;
    LinkSettings links;
    std::chrono::microseconds shutdownNotice = std::chrono::seconds(5); ///< For so long the listener goes on after SIGTERM.
    double recomputationWeight = 0; ///< How much recomputed tokens count beside the time to first token.

    Observe::LogOptions log;

    /// \brief Reads and checks a file. Errors name file, line and key of every problem.
    static Core::Result<RouterSettings> fromFile(const std::string &path);

    /// \brief Asks \a reader for every key and finishes it.
    static Core::Result<RouterSettings> read(Settings::SettingsReader &reader);
};

} // namespace Verbena::Router
