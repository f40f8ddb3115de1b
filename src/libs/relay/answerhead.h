#pragma once

#include <http/httpexchange.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Relay {

/// \brief The interim answer, which asks for a body that is held back and changes nothing otherwise.
///
/// A client has to accept interim answers that it did not ask for (RFC 9110, 15.2), and some accept no other than this one.
inline constexpr std::string_view interimAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

/// \brief The head of an answer to a caller, with what it tells about its connection and its body.
class AnswerHead
{
public:
    AnswerHead(int status, const std::vector<Http::HttpField> &fields);

    /// \brief Announces how long the connection is kept without requests; nothing if it is closed after the answer.
    void setIdleTimeout(std::optional<std::chrono::seconds> timeout);

    void setBodyLength(std::uint64_t bytes);

    /// \brief Announces that the body comes in chunks.
    void setChunked();

    /// \brief Returns the head with the empty line that ends it.
    std::string text() const;

private:
    std::string m_text;
};

} // namespace Verbena::Relay
