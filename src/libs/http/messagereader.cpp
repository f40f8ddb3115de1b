#include "messagereader.h"

#include <core/freetext.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <limits>

namespace Verbena::Http {

namespace beast = boost::beast;

bool isSameFieldName(std::string_view left, std::string_view right)
{
    return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

const std::string *MessageHead::field(std::string_view name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const HttpField &field) { return isSameFieldName(field.name, name); });
    return found == fields.end() ? nullptr : &found->value;
}

std::size_t MessageHead::fieldCount(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(fields.begin(), fields.end(), [name](const HttpField &field) { return isSameFieldName(field.name, name); }));
}

namespace {

// Capacity that a reader keeps while it holds no bytes: enough for most heads, and little beside the other state of a connection.
constexpr std::size_t keptBufferBytes = 2 * 1024;

// Colon and line end.
constexpr std::size_t fieldMarkBytes = 3;

constexpr std::string_view lineEnd = "\r\n";

// Of one message; more are no habit of a client.
constexpr std::size_t maximumEmptyLines = 4;

constexpr int statusesPerClass = 100;
constexpr int interimClass = 1;
constexpr int lastClass = 5;

// Returns whether the head contains something that the parser accepts, but that proxies are known to interpret differently.
bool isAmbiguous(const MessageHead &head)
{
    if (head.fieldCount("Content-Length") > 1 || head.fieldCount("Transfer-Encoding") > 1 || head.fieldCount("Host") > 1) {
        return true;
    }
    const std::string *length = head.field("Content-Length");
    const auto isDigit = [](char c) {
        return c >= '0' && c <= '9';
    };
    if (length != nullptr && !std::all_of(length->begin(), length->end(), isDigit)) {
        return true;
    }
    const std::string *coding = head.field("Transfer-Encoding");
    return coding != nullptr && (!isSameFieldName(*coding, "chunked") || length != nullptr || !head.isVersion11);
}

MessageFault faultOf(const beast::error_code &error)
{
    if (error == beast::http::error::header_limit) {
        return MessageFault::HeaderTooLarge;
    }
    if (error == beast::http::error::body_limit) {
        return MessageFault::BodyTooLarge;
    }
    return error == beast::http::error::partial_message ? MessageFault::Truncated : MessageFault::Malformed;
}

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

/// \brief The parser of one message, independent of whether it is a request or a response.
class MessageReader::Parser
{
public:
    virtual ~Parser() = default;
    virtual std::size_t put(std::string_view data, beast::error_code &error) = 0;
    virtual void putEnd(beast::error_code &error) = 0;
    virtual void skipBody() = 0;
    virtual bool hasBegun() const = 0;
    virtual bool isDone() const = 0;
    virtual bool isHeadDone() const = 0;
    virtual bool isInterim() const = 0;
    virtual std::size_t fieldBytes() const = 0;
};

template<bool isRequest>
class MessageReader::TypedParser : public MessageReader::Parser, private beast::http::basic_parser<isRequest>
{
    using Base = beast::http::basic_parser<isRequest>;

public:
    TypedParser(MessageSink &sink, const MessageLimits &limits, MessageBudget &budget)
        : m_sink(sink)
        , m_budget(budget)
        , m_headerBytes(limits.headerBytes)
    {
        this->eager(true);
        this->header_limit(limits.headerBytes);
        if (limits.bodyBytes.has_value()) {
            this->body_limit(*limits.bodyBytes);
        } else {
            // Without a limit, this version of Boost.Beast rejects every body that ends with its connection as too long.
            this->body_limit(std::numeric_limits<std::uint64_t>::max());
        }
    }

    std::size_t put(std::string_view data, beast::error_code &error) override
    {
        return Base::put(boost::asio::const_buffer(data.data(), data.size()), error);
    }

    void putEnd(beast::error_code &error) override
    {
        Base::put_eof(error);
    }

    void skipBody() override
    {
        this->skip(true);
    }

    bool hasBegun() const override
    {
        return this->got_some();
    }

    bool isDone() const override
    {
        return this->is_done();
    }

    bool isHeadDone() const override
    {
        return this->is_header_done();
    }

    bool isInterim() const override
    {
        return m_isInterim;
    }

    std::size_t fieldBytes() const override
    {
        return m_fieldBytes;
    }

private:
    void on_request_impl(beast::http::verb, beast::string_view method, beast::string_view target, int version, beast::error_code &) override
    {
        m_head.method = view(method);
        m_head.target = view(target);
        m_head.isVersion11 = version == 11;
    }

    void on_response_impl(int code, beast::string_view, int version, beast::error_code &error) override
    {
        const int statusClass = code / statusesPerClass;
        if (statusClass < interimClass || statusClass > lastClass) {
            error = beast::http::error::bad_status;
            return;
        }
        m_head.status = code;
        m_isInterim = statusClass == interimClass;
        m_head.isVersion11 = version == 11;
    }

    // The parser bounds the fields that come together only. Those of a trailer are not passed on.
    void on_field_impl(beast::http::field, beast::string_view name, beast::string_view value, beast::error_code &error) override
    {
        if (this->is_header_done()) {
            return;
        }
        m_fieldTextBytes += name.size() + value.size() + fieldMarkBytes;
        if (m_fieldTextBytes > m_headerBytes) {
            error = beast::http::error::header_limit;
            return;
        }
        m_head.fields.push_back({std::string(view(name)), std::string(view(value))});
        m_fieldBytes += 2 * sizeof(HttpField) + name.size() + value.size(); // A vector that grows has room for twice its elements.
    }

    void on_header_impl(beast::error_code &error) override
    {
        m_head.isKeptAlive = this->keep_alive();
        m_head.isChunked = this->chunked();
        m_head.isEndedByClose = this->need_eof();
        if (const auto length = this->content_length()) {
            m_head.contentLength = *length;
        }
        if (isAmbiguous(m_head)) {
            error = beast::http::error::bad_transfer_encoding;
            return;
        }
        if (!m_isInterim) {
            m_sink.receiveHead(std::move(m_head));
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &, beast::error_code &) override
    {
    }

    std::size_t on_body_impl(beast::string_view body, beast::error_code &) override
    {
        m_budget.addBody(body.size());
        m_sink.receiveBody(view(body));
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code &) override
    {
        m_budget.addChunk();
    }

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view body, beast::error_code &) override
    {
        m_budget.addBody(body.size());
        m_sink.receiveBody(view(body));
        return body.size();
    }

    void on_finish_impl(beast::error_code &) override
    {
        if (!m_isInterim) {
            m_sink.receiveEnd();
        }
    }

    MessageSink &m_sink;
    MessageBudget &m_budget;
    std::size_t m_headerBytes;
    MessageHead m_head;
    bool m_isInterim = false;
    std::size_t m_fieldTextBytes = 0;
    std::size_t m_fieldBytes = 0;
};

MessageReader::MessageReader(Kind kind, MessageSink &sink, const MessageLimits &limits)
    : m_kind(kind)
    , m_sink(sink)
    , m_limits(limits)
    , m_budget(limits.headerBytes)
    , m_parser(makeParser())
{
}

MessageReader::~MessageReader() = default;

std::unique_ptr<MessageReader::Parser> MessageReader::makeParser()
{
    std::unique_ptr<Parser> parser;
    if (m_kind == Kind::Requests) {
        parser = std::make_unique<TypedParser<true>>(m_sink, m_limits, m_budget);
    } else {
        parser = std::make_unique<TypedParser<false>>(m_sink, m_limits, m_budget);
    }
    if (!m_isBodyExpected) {
        parser->skipBody();
    }
    return parser;
}

void MessageReader::startMessage()
{
    m_budget = MessageBudget(m_limits.headerBytes);
    m_folds = FoldScanner();
    m_scannedBytes = 0;
    m_emptyLines = 0;
    m_isLineOpen = false;
    m_isBodyExpected = true;
    m_fault.reset();
    m_parser = makeParser();
}

// While a line is open, only another line end lets the parser go on; it would look at parts of what it has each time.
std::optional<MessageFault> MessageReader::feed(std::string_view data)
{
    if (m_fault.has_value()) {
        return m_fault;
    }
    m_buffer.append(data);
    if (m_isLineOpen && data.find('\n') == std::string_view::npos) {
        if (const std::optional<MessageFault> fault = exceededBound(0)) {
            fail(*fault);
        }
        return m_fault;
    }
    return parse();
}

std::optional<MessageFault> MessageReader::next()
{
    startMessage();
    return parse();
}

std::optional<MessageFault> MessageReader::parse()
{
    std::size_t used = 0;
    m_isLineOpen = false;
    if (!skipEmptyLines()) {
        return std::nullopt;
    }
    if (const std::optional<MessageFault> fault = parseBuffer(used)) {
        fail(*fault);
        return m_fault;
    }
    m_buffer.erase(0, used);
    m_scannedBytes -= std::min(m_scannedBytes, used);
    if (m_buffer.empty() && m_buffer.capacity() > keptBufferBytes) {
        Core::freeText(m_buffer);
    }
    return std::nullopt;
}

// Returns false if the buffer holds the first half of a line end, so that it is not known yet whether a request has begun.
bool MessageReader::skipEmptyLines()
{
    if (m_kind != Kind::Requests || m_parser->hasBegun()) {
        return true;
    }
    eraseEmptyLines();
    return m_emptyLines == maximumEmptyLines || m_buffer != lineEnd.substr(0, 1);
}

void MessageReader::eraseEmptyLines()
{
    while (m_emptyLines < maximumEmptyLines && m_buffer.starts_with(lineEnd)) {
        m_buffer.erase(0, lineEnd.size());
        ++m_emptyLines;
    }
}

void MessageReader::dropEmptyLines()
{
    if (m_kind == Kind::Requests && isDone()) {
        eraseEmptyLines();
    }
}

std::optional<MessageFault> MessageReader::parseBuffer(std::size_t &used)
{
    while (!m_parser->isDone() && !m_isLineOpen && used < m_buffer.size()) {
        if (isFolded(used)) {
            m_faultDetail = "folded field";
            return MessageFault::Malformed;
        }
        beast::error_code error;
        const std::size_t parsed = m_parser->put(std::string_view(m_buffer).substr(used), error);
        used += parsed;
        m_budget.addParsed(parsed);
        m_isLineOpen = error == beast::http::error::need_more;
        if (error && !m_isLineOpen) {
            m_faultDetail = error.message();
            return faultOf(error);
        }
        if (m_parser->isDone() && m_parser->isInterim()) {
            endInterimHead(used);
        }
        if (const std::optional<MessageFault> fault = exceededBound(used)) {
            return fault;
        }
    }
    return std::nullopt;
}

// The parser unfolds folded fields before it reports them, so they are found here.
bool MessageReader::isFolded(std::size_t used)
{
    if (m_parser->isHeadDone()) {
        return false;
    }
    const std::size_t begin = std::max(used, m_scannedBytes);
    m_scannedBytes = m_buffer.size();
    return m_folds.scan(std::string_view(m_buffer).substr(begin));
}

void MessageReader::endInterimHead(std::size_t used)
{
    m_budget.addInterimHead();
    m_folds = FoldScanner();
    m_scannedBytes = used;
    m_parser = makeParser();
}

std::optional<MessageFault> MessageReader::exceededBound(std::size_t used) const
{
    if (m_budget.hasTooManyInterimHeads()) {
        return MessageFault::TooManyInterimHeads;
    }
    const std::string_view rest = std::string_view(m_buffer).substr(used);
    const std::string_view held = m_parser->isDone() || !m_isLineOpen ? std::string_view() : rest;
    if (m_budget.isPartTooLong(held.size())) {
        return tooLongPart(held);
    }
    if (m_budget.isFramingTooLarge(held.size())) {
        return m_parser->isHeadDone() ? MessageFault::FramingTooLarge : MessageFault::HeaderTooLarge;
    }
    return std::nullopt;
}

// The parser takes the last chunk together with its trailer. What is held between chunks begins with the line end of the chunk before.
MessageFault MessageReader::tooLongPart(std::string_view held) const
{
    constexpr std::size_t chunkEndBytes = 2;
    if (!m_parser->isHeadDone()) {
        return MessageFault::HeaderTooLarge;
    }
    return held.find('\n', chunkEndBytes) == std::string_view::npos ? MessageFault::ChunkLineTooLong : MessageFault::TrailerTooLarge;
}

void MessageReader::fail(MessageFault fault)
{
    m_fault = fault;
    if (const std::optional<std::string_view> bound = exceededBoundName(fault)) {
        m_faultDetail = "more than the bound on its " + std::string(*bound);
    }
    m_scannedBytes = 0;
    Core::freeText(m_buffer);
}

std::optional<MessageFault> MessageReader::feedEnd()
{
    if (m_fault.has_value() || m_parser->isDone()) {
        return m_fault;
    }
    if (!m_parser->hasBegun()) {
        return MessageFault::Truncated;
    }
    beast::error_code error;
    m_parser->putEnd(error);
    m_faultDetail = error ? error.message() : "";
    return error ? std::optional(faultOf(error)) : std::nullopt;
}

void MessageReader::expectNoBody()
{
    m_isBodyExpected = false;
    m_parser->skipBody();
}

bool MessageReader::hasBegun() const
{
    return m_budget.hasBegun() || m_parser->hasBegun() || !m_buffer.empty();
}

bool MessageReader::isDone() const
{
    return m_parser->isDone();
}

bool MessageReader::isHeadDone() const
{
    return m_parser->isHeadDone();
}

const std::string &MessageReader::faultDetail() const
{
    return m_faultDetail;
}

std::size_t MessageReader::headBytes() const
{
    return m_parser->fieldBytes() + m_buffer.size();
}

void MessageReader::discard()
{
    startMessage();
    dropSurplus();
}

void MessageReader::dropSurplus()
{
    m_scannedBytes = 0;
    Core::freeText(m_buffer);
}

std::size_t MessageReader::surplusBytes() const
{
    return m_buffer.size();
}

} // namespace Verbena::Http
