#include "processlogs.h"

#include <fstream>
#include <sstream>

namespace Verbena::Soak {

namespace {

// Of each process. The lines of a verdict that came early must still be there when the run ends.
constexpr std::size_t mostBytes = 16 * 1024 * 1024;

} // namespace

void ProcessLogs::collect(SupervisedProcess *process)
{
    if (process == nullptr) {
        return;
    }
    std::string &text = m_texts[process->terms().name];
    text += process->takeOutput();
    if (text.size() > mostBytes) {
        text.erase(0, text.size() - mostBytes / 2);
    }
}

std::vector<std::string> ProcessLogs::linesOf(const std::string &id, std::size_t most) const
{
    const std::string quoted = '"' + id + '"'; // As the lines have it; c3.1 alone would also be found in c3.16.
    std::vector<std::string> lines;
    for (const auto &[name, text] : m_texts) {
        std::istringstream stream(text);
        for (std::string line; lines.size() < most && std::getline(stream, line);) {
            if (line.find(quoted) != std::string::npos) {
                std::string &shown = lines.emplace_back(name);
                shown.append(": ").append(line);
            }
        }
    }
    return lines;
}

void ProcessLogs::write(const std::string &folder) const
{
    for (const auto &[name, text] : m_texts) {
        std::string path = folder;
        path.append("/").append(name).append(".log");
        std::ofstream(path) << text;
    }
}

} // namespace Verbena::Soak
