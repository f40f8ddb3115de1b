#include "claimrecord.h"

#include "latestexpiry.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <vector>

namespace Verbena::Decisions {

namespace {

constexpr std::string_view claimedState = "claimed";
constexpr std::string_view doneState = "done";
constexpr std::size_t claimedLines = 4;
constexpr std::size_t doneLines = 6;

Core::Error invalidRowError()
{
    return {Core::ErrorCode::InvalidArgument, "claims.decode", "", "The row does not hold a claim."};
}

template<typename T>
std::optional<T> parseNumber(const std::string &text)
{
    T number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

// Returns the first \a count lines of \a text, followed by one item with the remaining text.
std::vector<std::string> splitLines(const std::string &text, std::size_t count)
{
    std::vector<std::string> items;
    std::size_t begin = 0;
    while (items.size() < count) {
        const std::size_t end = text.find('\n', begin);
        if (end == std::string::npos) {
            return items;
        }
        items.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    items.push_back(text.substr(begin));
    return items;
}

} // namespace

std::string ClaimRecord::encode() const
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(expiry.time_since_epoch()).count();
    std::string text = token + '\n' + std::to_string(requestHash) + '\n' + std::to_string(seconds) + '\n';
    text += outcome ? doneState : claimedState;
    text += '\n';
    if (outcome) {
        text += std::to_string(outcome->status) + '\n' + outcome->contentType + '\n' + outcome->body;
    }
    return text;
}

Core::Result<ClaimRecord> ClaimRecord::decode(const std::string &text)
{
    const std::vector<std::string> lines = splitLines(text, claimedLines);
    if (lines.size() <= claimedLines) {
        return invalidRowError();
    }
    const auto hash = parseNumber<std::uint64_t>(lines[1]);
    const auto seconds = parseNumber<std::int64_t>(lines[2]);
    if (!hash || !seconds || *seconds < 0 || std::chrono::seconds(*seconds) > latestExpiry || (lines[3] != claimedState && lines[3] != doneState)) {
        return invalidRowError();
    }
    ClaimRecord record{lines[0], *hash, Core::WallTime(std::chrono::seconds(*seconds)), std::nullopt};
    if (lines[3] == claimedState) {
        return record;
    }
    const std::vector<std::string> all = splitLines(text, doneLines);
    const auto status = all.size() > doneLines ? parseNumber<int>(all[claimedLines]) : std::nullopt;
    if (!status) {
        return invalidRowError();
    }
    record.outcome = ClaimOutcome{*status, all[claimedLines + 1], all[doneLines]};
    return record;
}

std::string claimRowKey(const std::string &organisation, const std::string &team, const std::string &idempotencyKey)
{
    const XXH128_hash_t hash = XXH3_128bits(idempotencyKey.data(), idempotencyKey.size());
    std::array<char, 33> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64), static_cast<unsigned long long>(hash.low64));
    return "claims/" + organisation + "/" + team + "/" + hex.data();
}

} // namespace Verbena::Decisions
