#include "hostfiles.h"

#include <utility>

namespace Verbena::Soak {

std::string HostFiles::write(const HostSettings &settings, bool isCompleteLater)
{
    const std::string text = hostFileText(settings);
    const std::string name = settings.name + ".yaml";
    if (!isCompleteLater) {
        return m_folder.write(name, text);
    }
    m_incomplete[name] = text;
    return m_folder.write(name, text.substr(0, text.size() / 2));
}

void HostFiles::complete()
{
    for (const auto &[name, text] : std::exchange(m_incomplete, {})) {
        m_folder.write(name, text);
    }
}

} // namespace Verbena::Soak
