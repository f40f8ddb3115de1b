#pragma once

#include "backendserver.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Decisions {

/// \brief Names one prompt prefix of one organisation under one version of weights.
enum class PrefixKey : std::uint64_t {};

/// \brief What a prefix key is rooted in: entries of another scope can never have the same key, but for hash collisions.
struct PrefixScope
{
    std::string organisation;
    ModelVersion version;
};

/// \brief Keys of the prefixes of a prompt, from shallow to deep; key i stands for pieces 0 to i.
class PrefixChain
{
public:
    /// \brief Cuts \a prompt every \a pieceBytes bytes; a last part that is shorter gets no key, as engines keep whole pieces only.
    static PrefixChain fromText(const PrefixScope &scope, std::string_view prompt, std::size_t pieceBytes);

    /// \brief Cuts token ids every \a pieceTokens tokens.
    static PrefixChain fromTokens(const PrefixScope &scope, std::span<const std::uint32_t> tokens, std::size_t pieceTokens);

    const std::vector<PrefixKey> &keys() const;

    /// \brief Key of the scope itself, for prompts without a whole piece.
    PrefixKey root() const;

private:
    explicit PrefixChain(PrefixKey root);

    PrefixKey m_root;
    std::vector<PrefixKey> m_keys;
};

} // namespace Verbena::Decisions
