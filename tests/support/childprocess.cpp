#include "childprocess.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <fcntl.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Verbena::Test {

namespace {

std::string binFolder()
{
    const char *folder = std::getenv("VERBENA_BIN");
    return folder == nullptr ? "build/bin" : folder;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::optional<rlimit> &descriptors)
{
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
        std::abort();
    }
    m_output = ends[0];
    const std::string path = binFolder() + "/" + program;
    std::vector<char *> words{const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments) {
        words.push_back(const_cast<char *>(argument.c_str()));
    }
    words.push_back(nullptr);
    m_pid = fork();
    if (m_pid == 0) {
        (void)dup2(ends[1], STDOUT_FILENO);
        (void)signal(SIGPIPE, SIG_DFL);
        if (descriptors.has_value()) {
            (void)setrlimit(RLIMIT_NOFILE, &*descriptors);
        }
        execv(path.c_str(), words.data());
        dprintf(STDERR_FILENO, "%s cannot be run; VERBENA_BIN names the folder of the programs.\n", path.c_str());
        _exit(notExecutedStatus);
    }
    close(ends[1]);
}

ChildProcess::~ChildProcess()
{
    sendSignal(SIGCONT);
    sendSignal(SIGKILL);
    waitForExit();
    closeOutput();
}

void ChildProcess::closeOutput()
{
    if (m_output >= 0) {
        close(m_output);
        m_output = -1;
    }
}

std::string ChildProcess::waitForLine(const std::string &prefix)
{
    for (;;) {
        std::size_t end = m_buffer.find('\n');
        while (end != std::string::npos) {
            const std::string line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 1);
            if (line.starts_with(prefix)) {
                return line.substr(prefix.size());
            }
            end = m_buffer.find('\n');
        }
        std::array<char, 4096> part{};
        const ssize_t count = read(m_output, part.data(), part.size());
        if (count <= 0) {
            return {};
        }
        m_buffer.append(part.data(), static_cast<std::size_t>(count));
    }
}

std::string ChildProcess::takeOutput()
{
    std::array<char, 65536> part{};
    pollfd ready{m_output, POLLIN, 0};
    while (poll(&ready, 1, 0) == 1 && (ready.revents & POLLIN) != 0) {
        const ssize_t count = read(m_output, part.data(), part.size());
        if (count <= 0) {
            break;
        }
        m_buffer.append(part.data(), static_cast<std::size_t>(count));
    }
    std::string output;
    output.swap(m_buffer);
    return output;
}

void ChildProcess::sendSignal(int signalNumber) const
{
    if (m_pid > 0) {
        kill(m_pid, signalNumber);
    }
}

int ChildProcess::waitForExit()
{
    if (m_pid <= 0) {
        return m_exitStatus;
    }
    int status = 0;
    waitpid(m_pid, &status, 0);
    recordExit(status);
    return m_exitStatus;
}

bool ChildProcess::isRunning()
{
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        recordExit(status);
    }
    return m_pid > 0;
}

void ChildProcess::recordExit(int status)
{
    m_pid = -1;
    m_exitStatus = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

pid_t ChildProcess::pid() const
{
    return m_pid;
}

} // namespace Verbena::Test
