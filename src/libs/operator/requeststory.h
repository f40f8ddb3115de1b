#pragma once

#include <core/result.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Operator {

/// \brief A line that a process has logged as JSON.
struct LogLine
{
    std::string time; ///< Of the process's clock; sorts as text.
    std::string process;
    std::string event;
    std::string request; ///< Id of the request that it is about; empty if it is about none.
    std::string server; ///< Id of the backend server that it is about; empty if it is about none.
    std::string details; ///< All else that it says, as name=value.

    /// \brief Reads one line. Errors: InvalidArgument, if it is no such line.
    static Core::Result<LogLine> fromText(std::string_view text);
};

/// \brief What the logs of several processes say of one request, and of the backend servers that it met.
///
/// The logs are read twice: first for the request's own lines, then for what changed with its backend servers around that time.
class RequestStory
{
public:
    explicit RequestStory(std::string requestId);

    /// \brief First reading.
    void takeOwn(const LogLine &line);

    /// \brief Second reading.
    void takeAround(const LogLine &line);

    /// \brief Whether any line is about the request.
    bool isKnown() const;

    /// \brief The story, a line an event, in the order of the processes' clocks.
    std::string render() const;

private:
    bool isAround(const std::string &time) const;

    std::string m_requestId;
    std::vector<LogLine> m_lines;
    std::set<std::string> m_servers; ///< That the request met.
    std::string m_first; ///< Time of its first line.
    std::string m_last; ///< Time of its last line.
};

/// \brief The story of the request \a id by the log files \a paths. Errors: NotFound, if no line is about it or a file cannot be opened.
Core::Result<std::string> tellRequest(const std::string &id, const std::vector<std::string> &paths);

} // namespace Verbena::Operator
