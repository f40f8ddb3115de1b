#include "processlogs.h"

#include <fstream>

namespace Verbena::Soak {

namespace {

constexpr std::size_t mostBytes = 2 * 1024 * 1024;

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

void ProcessLogs::write(const std::string &folder) const
{
    for (const auto &[name, text] : m_texts) {
        std::string path = folder;
        path.append("/").append(name).append(".log");
        std::ofstream(path) << text;
    }
}

} // namespace Verbena::Soak
