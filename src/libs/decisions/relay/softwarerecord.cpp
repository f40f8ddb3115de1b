#include "softwarerecord.h"

#include <charconv>
#include <string_view>

namespace Verbena::Decisions {

namespace {

constexpr char separator = '.';

} // namespace

void SoftwareRecord::set(const std::set<ServiceSoftware> &recorded, const std::set<ServiceSoftware> &registered, Core::TimePoint now)
{
    m_entries.clear();
    for (const ServiceSoftware &software : recorded) {
        m_entries[software] = {now, registered.contains(software)};
    }
}

std::vector<SoftwareChange> SoftwareRecord::changes(const std::set<ServiceSoftware> &registered, std::chrono::milliseconds longestStream, Core::TimePoint now)
{
    std::vector<SoftwareChange> changes;
    for (const ServiceSoftware &software : registered) {
        Entry &entry = m_entries[software];
        // A version that comes back is written again, as another process may have removed it meanwhile.
        if (!entry.isRegistered) {
            changes.push_back({software, false});
        }
        entry = {now, true};
    }
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        entry->second.isRegistered = registered.contains(entry->first);
        const bool isOver = !entry->second.isRegistered && now - entry->second.lastSeen >= longestStream;
        if (isOver) {
            changes.push_back({entry->first, true});
        }
        entry = isOver ? m_entries.erase(entry) : std::next(entry);
    }
    return changes;
}

// The size of the service's name leads, so that no two names give one key whatever characters they have.
std::string softwareRowKey(const ServiceSoftware &software)
{
    return std::to_string(software.service.size()) + separator + software.service + separator + software.version;
}

Core::Result<ServiceSoftware> decodeSoftwareRow(const std::string &key)
{
    const Core::Error error{Core::ErrorCode::InvalidArgument, "software.row", key, "The row holds no software version of a service."};
    std::size_t size = 0;
    const auto [end, status] = std::from_chars(key.data(), key.data() + key.size(), size);
    const std::string_view rest(end, static_cast<std::size_t>(key.data() + key.size() - end));
    if (status != std::errc() || size > key.size() || rest.size() < size + 2 || rest.front() != separator || rest[size + 1] != separator) {
        return error;
    }
    return ServiceSoftware{std::string(rest.substr(1, size)), std::string(rest.substr(size + 2))};
}

} // namespace Verbena::Decisions
