#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Verbena::Decisions {

/// \brief What makes two requests the same one, whenever and wherever they come.
struct RequestContent
{
    std::string_view organisation; ///< Of the caller; empty if it shows no key.
    std::string_view method;
    std::string_view host;
    std::string_view path; ///< Without the query.
    std::string_view body;
};

/// \brief A digest by which all routers know a request again.
///
/// Collision-resistant, and the organisation is part of it: no caller can make a request that is taken for another organisation's.
class RequestIdentity
{
public:
    /// \brief The identity of requests with \a content.
    static RequestIdentity of(const RequestContent &content);

    /// \brief Reads what text() gave; nothing if it is something else.
    static std::optional<RequestIdentity> parse(std::string_view text);

    /// \brief Hexadecimal digits, for logs and keys of rows.
    std::string text() const;

    bool operator==(const RequestIdentity &) const = default;

    bool operator<(const RequestIdentity &other) const
    {
        return m_digest < other.m_digest;
    }

private:
    static constexpr std::size_t digestBytes = 16;

    std::array<unsigned char, digestBytes> m_digest{};
};

} // namespace Verbena::Decisions
