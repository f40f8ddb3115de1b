#pragma once

#include "promptoutline.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Decisions {

/// \brief The parts of a request by which two requests are the same.
struct RequestContent
{
    std::string_view organisation; ///< Organisation of the caller; empty if the request has no API key.
    std::string_view method;
    std::string_view host;
    std::string_view path; ///< Path without the query.
    std::string_view body;
};

/// \brief What may have crashed a backend server: a whole request, or a part of a prompt that different requests share.
///
/// A digest that is equal on all routers. It is collision-resistant and computed over the organisation too, so no caller can make a request or a part that is
/// taken for one of another organisation.
class CrashSubject
{
public:
    enum class Kind : std::uint8_t {
        Request,
        PromptPart,
    };

    /// \brief Creates a subject that equals none of those made from content.
    CrashSubject() = default;

    /// \brief Returns the subject for whole requests with \a content.
    static CrashSubject ofRequest(const RequestContent &content);

    /// \brief Returns the subject for the part \a partId of prompts of \a organisation.
    static CrashSubject ofPromptPart(std::string_view organisation, std::string_view partId);

    /// \brief Parses the result of text(); returns nothing for any other text.
    static std::optional<CrashSubject> parse(std::string_view text);

    /// \brief Returns a stable text without dots, for logs and keys of rows.
    std::string text() const;

    Kind kind() const;

    bool operator==(const CrashSubject &) const = default;

    bool operator<(const CrashSubject &other) const
    {
        return m_kind != other.m_kind ? m_kind < other.m_kind : m_digest < other.m_digest;
    }

private:
    static constexpr std::size_t digestBytes = 16;

    CrashSubject(Kind kind, const std::vector<std::string_view> &content);
    explicit CrashSubject(Kind kind);

    Kind m_kind = Kind::Request;
    std::array<unsigned char, digestBytes> m_digest{};
};

/// \brief Returns the parts of \a prompt that other requests may share, in order, without those beyond a limit; \a prompt may be null.
std::vector<PromptPart> sharedParts(const PromptOutline *prompt);

/// \brief Returns what may crash a server that runs a request: the request with \a content, then the sharedParts() of its \a prompt, which may be null.
std::vector<CrashSubject> crashSubjects(const RequestContent &content, const PromptOutline *prompt);

} // namespace Verbena::Decisions
