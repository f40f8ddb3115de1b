#include "operatoridentity.h"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace Verbena::Operator {

namespace {

std::map<std::string, SettingsTree::OperatorSettings> declaredOperators(const Decisions::SettingsStore &current)
{
    std::map<std::string, SettingsTree::OperatorSettings> operators;
    for (const Decisions::SettingsRow &row : current.everything().rows) {
        const auto path = SettingsTree::TreePath::fromString(row.path);
        if (row.isDeleted || !path || path.value().kind != SettingsTree::RowKind::Operator) {
            continue;
        }
        // An operator whose row cannot be decoded counts as declared, without any grants.
        SettingsTree::OperatorSettings &declared = operators[path.value().name];
        const auto content = SettingsTree::decodeRow(path.value(), row.content);
        if (content) {
            declared = std::get<SettingsTree::OperatorSettings>(content.value());
        }
    }
    return operators;
}

Core::Error denied(const std::string &name, const std::string &message)
{
    return {Core::ErrorCode::PermissionDenied, "settings.grants", name, message};
}

} // namespace

std::string sha256Hex(const std::string &text)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> hash{};
    crypto_hash_sha256(hash.data(), reinterpret_cast<const unsigned char *>(text.data()), text.size());
    std::array<char, 2 * crypto_hash_sha256_BYTES + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
    return hex.data();
}

Core::Result<void> checkGrants(const Decisions::SettingsStore &current, const OperatorIdentity &identity, const std::vector<RowChange> &changes)
{
    const auto operators = declaredOperators(current);
    if (operators.empty() || changes.empty()) {
        return Core::success();
    }
    const auto found = operators.find(identity.name);
    const std::string hash = sha256Hex(identity.key);
    if (found == operators.end() || found->second.keySha256.size() != hash.size()
        || sodium_memcmp(found->second.keySha256.data(), hash.data(), hash.size()) != 0) {
        return denied(identity.name, "This tree declares its operators; give the name of one and the file with its key.");
    }
    for (const RowChange &change : changes) {
        const auto covers = [&change](const std::string &subtree) {
            return SettingsTree::isWithin(change.path, subtree);
        };
        if (!std::ranges::any_of(found->second.subtrees, covers)) {
            return denied(identity.name, "The operator was not given \"" + change.path + "\"; nothing was changed.");
        }
    }
    return Core::success();
}

} // namespace Verbena::Operator
