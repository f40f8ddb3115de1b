#pragma once

#include <core/result.h>
#include <decisions/routing/backendserver.h>
#include <http/httpserver.h>
#include <observe/eventlog.h>

#include <string>
#include <vector>

namespace Verbena::Settings {
class SettingsReader;
}

namespace Verbena::Router {

/// \brief A caller's key by its hash, and whom it stands for.
struct CallerKeySetting
{
    std::string sha256; ///< Lower-case hexadecimal.
    std::string organisation;
    std::string team;
};

/// \brief The settings of one router process.
struct RouterSettings
{
    std::string name;
    std::string failureDomain;
    Http::HttpServerOptions listen;
    std::size_t pieceBytes = 8192; ///< Bytes of text that stand for one piece of the engines' cache.
    std::size_t pieceTokens = 2048;
    std::vector<CallerKeySetting> callerKeys;
    std::vector<Decisions::BackendServer> backendServers;

    Observe::LogOptions log;

    /// \brief Reads and checks a file. Errors name file, line and key of every problem.
    static Core::Result<RouterSettings> fromFile(const std::string &path);

    /// \brief Asks \a reader for every key and finishes it.
    static Core::Result<RouterSettings> read(Settings::SettingsReader &reader);
};

} // namespace Verbena::Router
