#pragma once

#include "foldscanner.h"
#include "httpexchange.h"
#include "messagebudget.h"
#include "messagefault.h"

#include <core/result.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Verbena::Http {

/// \brief Start line and header fields of a request or a response.
struct MessageHead
{
    std::string method; ///< Method; for requests only.
    std::string target; ///< Path and query, unchanged; for requests only.
    int status = 0; ///< Status code; for responses only.
    bool isVersion11 = true; ///< True for HTTP/1.1, false for HTTP/1.0.
    bool isKeptAlive = true; ///< True if the sender keeps the connection open for further messages.
    bool isChunked = false;
    bool isEndedByClose = false; ///< True for a response without a length, whose body ends when the connection is closed.
    std::optional<std::uint64_t> contentLength;
    std::vector<HttpField> fields; ///< Header fields in the order of the message.

    /// \brief Returns the value of the first field \a name (case-insensitive), or nullptr if there is none.
    const std::string *field(std::string_view name) const;

    /// \brief Returns how often the field \a name occurs in the head.
    std::size_t fieldCount(std::string_view name) const;
};

/// \brief Returns whether two field names are equal, ignoring case.
bool isSameFieldName(std::string_view left, std::string_view right);

/// \brief Interface that receives the parts of messages in order.
class MessageSink
{
public:
    virtual ~MessageSink() = default;
    virtual void receiveHead(MessageHead head) = 0;
    virtual void receiveBody(std::string_view data) = 0;
    virtual void receiveEnd() = 0;
};

/// \brief Maximum sizes of the parts of a message.
struct MessageLimits
{
    std::uint32_t headerBytes = 16 * 1024; ///< Maximum size of the head, and of every other part that is no body; see MessageBudget.
    std::optional<std::uint64_t> bodyBytes; ///< Maximum size of the body; no value means no limit.
};

/// \brief A strict parser that splits the bytes of one connection into HTTP/1.1 messages.
///
/// Rejects everything that two implementations could interpret differently: both Content-Length and Transfer-Encoding, a repeated length, a transfer
/// coding other than chunked, folded fields and bare line feeds.
///
/// A few empty lines before a request are skipped, as older clients send one after a body (RFC 9112, 2.2).
///
/// Interim answers (1xx) belong to the message that follows them and are skipped. All that arrives of a message is bounded, whatever part it belongs to. After
/// a fault nothing is read or held until next() or discard().
class MessageReader
{
public:
    enum class Kind { Requests, Answers };

    MessageReader(Kind kind, MessageSink &sink, const MessageLimits &limits);
    ~MessageReader();

    MessageReader(const MessageReader &) = delete;
    MessageReader &operator=(const MessageReader &) = delete;

    /// \brief Parses \a data up to the end of the current message; the bytes after it are buffered.
    std::optional<MessageFault> feed(std::string_view data);

    /// \brief Handles that the peer has closed its side of the connection.
    std::optional<MessageFault> feedEnd();

    /// \brief Starts the next message and parses the buffered bytes.
    std::optional<MessageFault> next();

    /// \brief Declares that the next response has no body regardless of its head, as after a HEAD request.
    void expectNoBody();

    /// \brief Returns whether any byte of the current message was received.
    bool hasBegun() const;

    /// \brief Returns whether the current message is complete.
    bool isDone() const;

    /// \brief Returns whether the head of the current message is complete.
    bool isHeadDone() const;

    /// \brief Returns the memory that the current message takes beside its body, as text that is not parsed yet and as header fields.
    std::size_t headBytes() const;

    /// \brief Frees what was received of the current message, which will not be read to its end.
    void discard();

    /// \brief Returns a description of the last parse error, for logs.
    const std::string &faultDetail() const;

    /// \brief Frees a few empty lines that follow a request that is read whole.
    void dropEmptyLines();

    /// \brief Returns the number of buffered bytes that were not parsed yet.
    std::size_t surplusBytes() const;

    /// \brief Frees the buffered bytes that were not parsed yet, which belong to no message that will be read.
    void dropSurplus();

private:
    class Parser;
    template<bool isRequest>
    class TypedParser;

    std::unique_ptr<Parser> makeParser();
    void startMessage();
    std::optional<MessageFault> parse();
    std::optional<MessageFault> parseBuffer(std::size_t &used);
    bool isFolded(std::size_t used);
    void endInterimHead(std::size_t used);
    std::optional<MessageFault> exceededBound(std::size_t used) const;
    MessageFault tooLongPart(std::string_view held) const;
    bool skipEmptyLines();
    void eraseEmptyLines();
    void fail(MessageFault fault);

    Kind m_kind;
    MessageSink &m_sink;
    MessageLimits m_limits;
    MessageBudget m_budget; ///< Of the current message.
    FoldScanner m_folds; ///< Of the current head.
    bool m_isBodyExpected = true; ///< Whether the current message may have a body.
    std::unique_ptr<Parser> m_parser;
    std::string m_buffer;
    std::size_t m_scannedBytes = 0; ///< Number of bytes at the start of m_buffer that were scanned for folds.
    std::size_t m_emptyLines = 0; ///< Number of empty lines that were skipped before and behind the current message.
    bool m_isLineOpen = false; ///< Whether m_buffer holds a line, or a part of several lines, that needs another line end before it can be parsed.
    std::optional<MessageFault> m_fault; ///< Of the current message.
    std::string m_faultDetail;
};

} // namespace Verbena::Http
