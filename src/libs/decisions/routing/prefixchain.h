#pragma once

#include "backendserver.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Decisions {

/// \brief Identifies a prompt prefix of one organisation for one model version.
enum class PrefixKey : std::uint64_t {};

/// \brief Organisation and model version to which a prefix key belongs; keys of different scopes differ, except for hash collisions.
struct PrefixScope
{
    std::string organisation;
    ModelVersion version;
};

/// \brief Keys of all prefixes of a prompt, from the shortest to the longest; key i covers the pieces 0 to i.
class PrefixChain
{
public:
    /// \brief Returns the keys for \a prompt in pieces of \a pieceBytes bytes.
    ///
    /// A shorter last piece gets no key, as engines cache whole pieces only.
    static PrefixChain fromText(const PrefixScope &scope, std::string_view prompt, std::size_t pieceBytes);

    /// \brief Returns the keys for the token ids \a tokens in pieces of \a pieceTokens tokens; a shorter last piece gets no key.
    static PrefixChain fromTokens(const PrefixScope &scope, std::span<const std::uint32_t> tokens, std::size_t pieceTokens);

    const std::vector<PrefixKey> &keys() const;

    /// \brief Returns the key of the scope itself, which stands in for prompts without a whole piece.
    PrefixKey root() const;

private:
    explicit PrefixChain(PrefixKey root);

    PrefixKey m_root;
    std::vector<PrefixKey> m_keys;
};

} // namespace Verbena::Decisions
