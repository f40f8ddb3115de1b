#pragma once

#include <core/result.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Operator {

/// \brief A log line in JSON.
struct LogLine
{
    std::string time; ///< Time by the clock of the process, in a form that sorts as text.
    std::string process;
    std::string event;
    std::string request; ///< Id of the request that the line concerns; empty if there is none.
    std::string server; ///< Id of the backend server that the line concerns; empty if there is none.
    std::string details; ///< All other fields, as name=value.

    /// \brief Decodes one line. Errors: InvalidArgument, if it is no log line.
    static Core::Result<LogLine> fromText(std::string_view text);
};

/// \brief The log lines of several processes that concern one request and its backend servers.
///
/// The logs are read twice: first for the request's own lines, then for changes of its backend servers around that time.
class RequestStory
{
public:
    explicit RequestStory(std::string requestId);

    /// \brief Adds a line in the first pass.
    void takeOwn(const LogLine &line);

    /// \brief Adds a line in the second pass.
    void takeAround(const LogLine &line);

    /// \brief Returns whether any line concerns the request.
    bool isKnown() const;

    /// \brief Returns the events, one per line, ordered by the clocks of the processes.
    std::string render() const;

private:
    bool isAround(const std::string &time) const;

    std::string m_requestId;
    std::vector<LogLine> m_lines;
    std::set<std::string> m_servers; ///< Backend servers to which the request was sent.
    std::string m_first; ///< Time of its first line.
    std::string m_last; ///< Time of its last line.
};

/// \brief Returns the events of the request \a id from the log files \a paths. Errors: NotFound, if no line concerns it or a file cannot be opened.
Core::Result<std::string> tellRequest(const std::string &id, const std::vector<std::string> &paths);

} // namespace Verbena::Operator
