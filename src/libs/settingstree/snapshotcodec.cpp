#include "snapshotcodec.h"

#include "wireconversion.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace Verbena::SettingsTree {

namespace {

constexpr std::string_view formatLine = "verbena-settings-snapshot 1\n";

std::string hashLine(std::string_view body)
{
    const XXH128_hash_t hash = XXH3_128bits(body.data(), body.size());
    std::array<char, 40> line{};
    std::snprintf(line.data(), line.size(), "%016llx%016llx\n", static_cast<unsigned long long>(hash.high64), static_cast<unsigned long long>(hash.low64));
    return line.data();
}

Core::Error damaged(const char *message)
{
    return {Core::ErrorCode::InvalidArgument, "settings.snapshot.decode", "", message};
}

} // namespace

std::string encodeSnapshot(const Decisions::SettingsDelta &everything)
{
    const std::string body = toWire(everything).SerializeAsString();
    return std::string(formatLine) + hashLine(body) + body;
}

Core::Result<Decisions::SettingsDelta> decodeSnapshot(const std::string &bytes)
{
    std::string_view rest = bytes;
    if (!rest.starts_with(formatLine)) {
        return damaged("The snapshot has another format version, or is none.");
    }
    rest.remove_prefix(formatLine.size());
    const std::size_t end = rest.find('\n');
    if (end == std::string_view::npos || rest.substr(0, end + 1) != hashLine(rest.substr(end + 1))) {
        return damaged("The snapshot's hash does not match its content.");
    }
    const std::string_view body = rest.substr(end + 1);
    verbena::wire::SettingsPush push;
    if (!push.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
        return damaged("The snapshot's content cannot be read.");
    }
    return fromWire(push);
}

} // namespace Verbena::SettingsTree
