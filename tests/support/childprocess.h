#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace Verbena::Test {

/// \brief A program of the project that a test starts and ends by its process id.
class ChildProcess
{
public:
    /// \brief Starts \a program from the build's bin folder.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// \brief Waits for a line on standard output that begins with \a prefix and returns the rest; empty if the output ends.
    std::string waitForLine(const std::string &prefix);

    /// \brief What has come on standard output and was not waited for, without waiting for more.
    std::string takeOutput();

    void sendSignal(int signalNumber) const;

    /// \brief Waits for the end; the exit status, or minus the number of the signal.
    int waitForExit();

    pid_t pid() const;

private:
    pid_t m_pid = -1;
    int m_output = -1;
    std::string m_buffer;
};

} // namespace Verbena::Test
