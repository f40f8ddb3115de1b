#pragma once

#include "httpexchange.h"

#include <core/result.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Http {

/// \brief What stands before the body of a request or an answer.
struct MessageHead
{
    std::string method; ///< Of a request.
    std::string target; ///< Of a request: path and query as they were written.
    int status = 0; ///< Of an answer.
    bool isVersion11 = true; ///< False for HTTP/1.0.
    bool isKeptAlive = true; ///< Whether the sender means to use the connection again.
    bool isChunked = false;
    bool isEndedByClose = false; ///< An answer without a length: its body lasts as long as the connection.
    std::optional<std::uint64_t> contentLength;
    std::vector<HttpField> fields; ///< In the order of the message.

    /// \brief The value of the first field called \a name, whose case does not matter, or nothing.
    const std::string *field(std::string_view name) const;

    /// \brief How often the field \a name stands in the head.
    std::size_t fieldCount(std::string_view name) const;
};

/// \brief Compares two field names; case does not matter.
bool isSameFieldName(std::string_view left, std::string_view right);

/// \brief Takes the parts of messages in the order in which they come.
class MessageSink
{
public:
    virtual ~MessageSink() = default;
    virtual void receiveHead(MessageHead head) = 0;
    virtual void receiveBody(std::string_view data) = 0;
    virtual void receiveEnd() = 0;
};

/// \brief How large the parts of a message may be.
struct MessageLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::optional<std::uint64_t> bodyBytes; ///< Nothing: no limit.
};

/// \brief Why a message cannot be read further.
enum class MessageFault {
    Malformed, ///< It is no proper HTTP, or its length can be understood in two ways.
    HeaderTooLarge,
    BodyTooLarge,
    Truncated, ///< The connection ended before the message did.
};

/// \brief Cuts the bytes of one connection into HTTP/1.1 messages, strictly.
///
/// Anything that two implementations could understand differently is a fault: both kinds of length, a length that is given twice, a transfer coding
/// other than chunked, folded fields, bare line feeds.
class MessageReader
{
public:
    enum class Kind { Requests, Answers };

    MessageReader(Kind kind, MessageSink &sink, const MessageLimits &limits);
    ~MessageReader();

    MessageReader(const MessageReader &) = delete;
    MessageReader &operator=(const MessageReader &) = delete;

    /// \brief Takes the next bytes and reads on until the message ends; what follows it is kept.
    std::optional<MessageFault> feed(std::string_view data);

    /// \brief The peer has closed its side.
    std::optional<MessageFault> feedEnd();

    /// \brief Begins the next message with the bytes that were kept.
    std::optional<MessageFault> next();

    /// \brief The answer that comes has no body whatever its head says, as after HEAD.
    void expectNoBody();

    /// \brief Whether any byte of the present message has come.
    bool hasBegun() const;

    /// \brief Whether the present message is whole.
    bool isDone() const;

    /// \brief Whether the head of the present message is whole.
    bool isHeadDone() const;

    /// \brief For logs: what was wrong with the message that could not be read.
    const std::string &faultDetail() const;

    /// \brief Bytes kept that belong to no message yet.
    std::size_t surplusBytes() const;

private:
    class Parser;
    template<bool isRequest>
    class TypedParser;

    std::unique_ptr<Parser> makeParser();
    std::optional<MessageFault> parse();

    Kind m_kind;
    MessageSink &m_sink;
    MessageLimits m_limits;
    std::unique_ptr<Parser> m_parser;
    std::string m_buffer;
    std::string m_faultDetail;
};

} // namespace Verbena::Http
