#include "childprocess.h"

#include <array>
#include <csignal>
#include <cstdlib>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
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

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments)
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
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    const int status = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    if (status != 0) {
        m_pid = -1;
    }
}

ChildProcess::~ChildProcess()
{
    sendSignal(SIGCONT);
    sendSignal(SIGKILL);
    waitForExit();
    close(m_output);
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
        return 0;
    }
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

pid_t ChildProcess::pid() const
{
    return m_pid;
}

} // namespace Verbena::Test
