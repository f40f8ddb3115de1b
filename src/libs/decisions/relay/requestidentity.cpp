#include "requestidentity.h"

#include <sodium.h>

#include <cstdint>

namespace Verbena::Decisions {

namespace {

// Adds \a part with its length before it, so that no two lists of parts give the same bytes.
void add(crypto_generichash_state &state, std::string_view part)
{
    const std::uint64_t size = part.size();
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&size), sizeof size);
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(part.data()), part.size());
}

} // namespace

RequestIdentity RequestIdentity::of(const RequestContent &content)
{
    RequestIdentity identity;
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, digestBytes);
    for (const std::string_view part : {content.organisation, content.method, content.host, content.path, content.body}) {
        add(state, part);
    }
    crypto_generichash_final(&state, identity.m_digest.data(), digestBytes);
    return identity;
}

std::optional<RequestIdentity> RequestIdentity::parse(std::string_view text)
{
    RequestIdentity identity;
    std::size_t size = 0;
    const int status = sodium_hex2bin(identity.m_digest.data(), digestBytes, text.data(), text.size(), nullptr, &size, nullptr);
    return status == 0 && size == digestBytes && text.size() == 2 * digestBytes ? std::optional(identity) : std::nullopt;
}

std::string RequestIdentity::text() const
{
    std::string digits(2 * digestBytes + 1, '\0');
    sodium_bin2hex(digits.data(), digits.size(), m_digest.data(), digestBytes);
    digits.pop_back(); // The terminating null character.
    return digits;
}

} // namespace Verbena::Decisions
