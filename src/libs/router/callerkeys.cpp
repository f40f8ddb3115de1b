#include "callerkeys.h"

#include <sodium.h>

#include <array>

namespace Verbena::Router {

namespace {

constexpr std::string_view bearer = "Bearer ";

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> hash{};
    crypto_hash_sha256(hash.data(), reinterpret_cast<const unsigned char *>(text.data()), text.size());
    std::array<char, 2 * crypto_hash_sha256_BYTES + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
    return hex.data();
}

} // namespace

CallerKeys::CallerKeys(std::vector<CallerKeySetting> keys)
    : m_keys(std::move(keys))
{
}

std::optional<Caller> CallerKeys::find(const std::string &authorization) const
{
    if (!authorization.starts_with(bearer)) {
        return std::nullopt;
    }
    const std::string hash = sha256Hex(std::string_view(authorization).substr(bearer.size()));
    for (const CallerKeySetting &key : m_keys) {
        if (key.sha256.size() == hash.size() && sodium_memcmp(key.sha256.data(), hash.data(), hash.size()) == 0) {
            return Caller{key.organisation, key.team};
        }
    }
    return std::nullopt;
}

} // namespace Verbena::Router
