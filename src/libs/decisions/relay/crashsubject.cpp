#include "crashsubject.h"

#include <sodium.h>

#include <algorithm>

namespace Verbena::Decisions {

namespace {

constexpr std::string_view partPrefix = "part-";

// Prompts have a handful of parts; a caller that names more must not fill the records.
constexpr std::size_t maximumSharedParts = 16;

// Adds \a part with its length before it, so that no two lists of parts give the same bytes.
void add(crypto_generichash_state &state, std::string_view part)
{
    const std::uint64_t size = part.size();
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&size), sizeof size);
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(part.data()), part.size());
}

} // namespace

CrashSubject::CrashSubject(Kind kind)
    : m_kind(kind)
{
}

CrashSubject::CrashSubject(Kind kind, const std::vector<std::string_view> &content)
    : m_kind(kind)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, digestBytes);
    for (const std::string_view part : content) {
        add(state, part);
    }
    crypto_generichash_final(&state, m_digest.data(), digestBytes);
}

CrashSubject CrashSubject::ofRequest(const RequestContent &content)
{
    return {Kind::Request, {content.organisation, content.method, content.host, content.path, content.body}};
}

// The number of digested texts tells the two kinds apart as well. Neither the model nor the service counts: a part that crashes servers may come with any of
// them.
CrashSubject CrashSubject::ofPromptPart(std::string_view organisation, std::string_view partId)
{
    return {Kind::PromptPart, {organisation, partId}};
}

std::optional<CrashSubject> CrashSubject::parse(std::string_view text)
{
    CrashSubject subject(text.starts_with(partPrefix) ? Kind::PromptPart : Kind::Request);
    text.remove_prefix(subject.m_kind == Kind::PromptPart ? partPrefix.size() : 0);
    std::size_t size = 0;
    const int status = sodium_hex2bin(subject.m_digest.data(), digestBytes, text.data(), text.size(), nullptr, &size, nullptr);
    return status == 0 && size == digestBytes && text.size() == 2 * digestBytes ? std::optional(subject) : std::nullopt;
}

std::string CrashSubject::text() const
{
    std::string digits(2 * digestBytes + 1, '\0');
    sodium_bin2hex(digits.data(), digits.size(), m_digest.data(), digestBytes);
    digits.pop_back(); // The terminating null character.
    return m_kind == Kind::PromptPart ? std::string(partPrefix) + digits : digits;
}

CrashSubject::Kind CrashSubject::kind() const
{
    return m_kind;
}

// The last part belongs to one request or session.
std::vector<PromptPart> sharedParts(const PromptOutline *prompt)
{
    if (prompt == nullptr || prompt->parts.empty()) {
        return {};
    }
    const std::size_t count = std::min(prompt->parts.size() - 1, maximumSharedParts);
    return {prompt->parts.begin(), prompt->parts.begin() + static_cast<std::ptrdiff_t>(count)};
}

std::vector<CrashSubject> crashSubjects(const RequestContent &content, const PromptOutline *prompt)
{
    std::vector<CrashSubject> subjects{CrashSubject::ofRequest(content)};
    for (const PromptPart &part : sharedParts(prompt)) {
        subjects.push_back(CrashSubject::ofPromptPart(content.organisation, part.id));
    }
    return subjects;
}

} // namespace Verbena::Decisions
