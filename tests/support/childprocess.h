#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/resource.h>
#include <sys/types.h>

namespace Verbena::Test {

/// \brief A program of the project that a test starts and ends by its process id.
class ChildProcess
{
public:
    /// \brief The exit status of a process whose program could not be executed.
    static constexpr int notExecutedStatus = 127;

    /// \brief Starts \a program from the build's bin folder. It may open as many descriptors as this process may, or as \a descriptors says.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::optional<rlimit> &descriptors = std::nullopt);
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// \brief Waits for a line on standard output that begins with \a prefix and returns the rest; empty if the output ends.
    std::string waitForLine(const std::string &prefix);

    /// \brief Closes the reading end of standard output, as a log collector that ends.
    void closeOutput();

    /// \brief What has come on standard output and was not waited for, without waiting for more.
    std::string takeOutput();

    void sendSignal(int signalNumber) const;

    /// \brief Waits for the end; the exit status, or minus the number of the signal.
    int waitForExit();

    /// \brief Returns whether the process has not ended.
    bool isRunning();

    pid_t pid() const;

private:
    void recordExit(int status);

    pid_t m_pid = -1;
    int m_output = -1;
    int m_exitStatus = 0; ///< As waitForExit() returns it, once the process has ended.
    std::string m_buffer;
};

} // namespace Verbena::Test
