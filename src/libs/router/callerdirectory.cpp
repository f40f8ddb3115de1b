#include "callerdirectory.h"

#include <sodium.h>

#include <array>
#include <optional>

namespace Verbena::Router {

namespace {

constexpr std::string_view bearer = "Bearer ";

// The bucket lookup is not constant-time. From its timing a caller learns at most this many characters of the hash of a key that it guessed.
constexpr std::size_t bucketCharacters = 6;

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> hash{};
    crypto_hash_sha256(hash.data(), reinterpret_cast<const unsigned char *>(text.data()), text.size());
    std::array<char, 2 * crypto_hash_sha256_BYTES + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
    return hex.data();
}

} // namespace

void CallerDirectory::setSettings(std::shared_ptr<const Settings::InForceSettings> settings)
{
    m_settings = std::move(settings);
    m_entries.clear();
    for (const auto &[organisationName, organisation] : m_settings->organisations) {
        for (const auto &[teamName, team] : organisation->teams) {
            for (const std::string &sha256 : team.keySha256) {
                m_entries[sha256.substr(0, bucketCharacters)].push_back({sha256, &team});
            }
        }
    }
}

const Settings::TeamSettings *CallerDirectory::find(const std::string &authorization) const
{
    if (!authorization.starts_with(bearer)) {
        return nullptr;
    }
    const std::string hash = sha256Hex(std::string_view(authorization).substr(bearer.size()));
    const auto bucket = m_entries.find(hash.substr(0, bucketCharacters));
    if (bucket == m_entries.end()) {
        return nullptr;
    }
    const Settings::TeamSettings *team = nullptr;
    for (const Entry &entry : bucket->second) {
        if (entry.sha256.size() == hash.size() && sodium_memcmp(entry.sha256.data(), hash.data(), hash.size()) == 0) {
            team = entry.team;
        }
    }
    return team;
}

} // namespace Verbena::Router
