#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

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

/// \brief A digest that identifies equal requests on all routers.
///
/// Collision-resistant and computed over the organisation too, so no caller can make a request that is taken for one of another organisation.
class RequestIdentity
{
public:
    /// \brief Returns the identity of requests with \a content.
    static RequestIdentity of(const RequestContent &content);

    /// \brief Parses the result of text(); returns nothing for any other text.
    static std::optional<RequestIdentity> parse(std::string_view text);

    /// \brief Returns the digest as hexadecimal digits, for logs and keys of rows.
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
