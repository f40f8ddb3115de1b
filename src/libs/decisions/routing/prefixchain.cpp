#include "prefixchain.h"

#include <xxhash.h>

namespace Verbena::Decisions {

namespace {

PrefixKey chainBytes(PrefixKey parent, const void *data, std::size_t size)
{
    return PrefixKey(XXH3_64bits_withSeed(data, size, static_cast<std::uint64_t>(parent)));
}

// Hashes each text with its length, so that the sequences "ab", "c" and "a", "bc" get different keys.
PrefixKey chainText(PrefixKey parent, const std::string &text)
{
    const std::uint64_t size = text.size();
    return chainBytes(chainBytes(parent, &size, sizeof size), text.data(), text.size());
}

PrefixKey rootOf(const PrefixScope &scope)
{
    PrefixKey key = chainText(PrefixKey{}, scope.organisation);
    key = chainText(key, scope.version.model);
    key = chainText(key, scope.version.adapter);
    return chainText(key, scope.version.weightsVersion);
}

} // namespace

BackendServerId backendServerId(const std::string &name)
{
    return BackendServerId(XXH3_64bits(name.data(), name.size()));
}

PrefixChain::PrefixChain(PrefixKey root)
    : m_root(root)
{
}

PrefixChain PrefixChain::fromText(const PrefixScope &scope, std::string_view prompt, std::size_t pieceBytes)
{
    PrefixChain result(rootOf(scope));
    PrefixKey key = result.m_root;
    for (std::size_t begin = 0; begin + pieceBytes <= prompt.size(); begin += pieceBytes) {
        key = chainBytes(key, prompt.data() + begin, pieceBytes);
        result.m_keys.push_back(key);
    }
    return result;
}

PrefixChain PrefixChain::fromTokens(const PrefixScope &scope, std::span<const std::uint32_t> tokens, std::size_t pieceTokens)
{
    PrefixChain result(rootOf(scope));
    PrefixKey key = result.m_root;
    for (std::size_t begin = 0; begin + pieceTokens <= tokens.size(); begin += pieceTokens) {
        key = chainBytes(key, tokens.data() + begin, pieceTokens * sizeof(std::uint32_t));
        result.m_keys.push_back(key);
    }
    return result;
}

const std::vector<PrefixKey> &PrefixChain::keys() const
{
    return m_keys;
}

PrefixKey PrefixChain::root() const
{
    return m_root;
}

} // namespace Verbena::Decisions
