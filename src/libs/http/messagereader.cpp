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
    virtual std::size_t fieldBytes() const = 0;
};

template<bool isRequest>
class MessageReader::TypedParser : public MessageReader::Parser, private beast::http::basic_parser<isRequest>
{
    using Base = beast::http::basic_parser<isRequest>;

public:
    TypedParser(MessageSink &sink, const MessageLimits &limits)
        : m_sink(sink)
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

    void on_response_impl(int code, beast::string_view, int version, beast::error_code &) override
    {
        m_head.status = code;
        m_head.isVersion11 = version == 11;
    }

    void on_field_impl(beast::http::field, beast::string_view name, beast::string_view value, beast::error_code &) override
    {
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
        m_sink.receiveHead(std::move(m_head));
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &, beast::error_code &) override
    {
    }

    std::size_t on_body_impl(beast::string_view body, beast::error_code &) override
    {
        m_sink.receiveBody(view(body));
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code &) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view body, beast::error_code &) override
    {
        m_sink.receiveBody(view(body));
        return body.size();
    }

    void on_finish_impl(beast::error_code &) override
    {
        m_sink.receiveEnd();
    }

    MessageSink &m_sink;
    MessageHead m_head;
    std::size_t m_fieldBytes = 0;
};

MessageReader::MessageReader(Kind kind, MessageSink &sink, const MessageLimits &limits)
    : m_kind(kind)
    , m_sink(sink)
    , m_limits(limits)
    , m_parser(makeParser())
{
}

MessageReader::~MessageReader() = default;

std::unique_ptr<MessageReader::Parser> MessageReader::makeParser()
{
    if (m_kind == Kind::Requests) {
        return std::make_unique<TypedParser<true>>(m_sink, m_limits);
    }
    return std::make_unique<TypedParser<false>>(m_sink, m_limits);
}

std::optional<MessageFault> MessageReader::feed(std::string_view data)
{
    m_buffer.append(data);
    return parse();
}

std::optional<MessageFault> MessageReader::next()
{
    m_parser = makeParser();
    return parse();
}

std::optional<MessageFault> MessageReader::parse()
{
    std::size_t used = 0;
    std::optional<MessageFault> fault;
    while (!m_parser->isDone() && used < m_buffer.size()) {
        const std::string_view rest = std::string_view(m_buffer).substr(used);
        if (!m_parser->isHeadDone()) {
            // The parser unfolds folded fields before it reports them, so they are detected here.
            // The parser takes whole field lines, so a rest that begins with a line end has no field left; what follows is the body.
            const std::string_view head = rest.starts_with("\r\n") ? std::string_view() : rest.substr(0, rest.find("\r\n\r\n"));
            if (head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos) {
                return MessageFault::Malformed;
            }
        }
        beast::error_code error;
        used += m_parser->put(rest, error);
        if (error == beast::http::error::need_more) {
            break;
        }
        if (error) {
            fault = faultOf(error);
            m_faultDetail = error.message();
            break;
        }
    }
    m_buffer.erase(0, used);
    if (m_buffer.empty() && m_buffer.capacity() > keptBufferBytes) {
        Core::freeText(m_buffer);
    }
    return fault;
}

std::optional<MessageFault> MessageReader::feedEnd()
{
    if (m_parser->isDone()) {
        return std::nullopt;
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
    m_parser->skipBody();
}

bool MessageReader::hasBegun() const
{
    return m_parser->hasBegun() || !m_buffer.empty();
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
    return m_parser->fieldBytes() + (isHeadDone() ? 0 : m_buffer.size());
}

void MessageReader::discard()
{
    m_parser = makeParser();
    dropSurplus();
}

void MessageReader::dropSurplus()
{
    Core::freeText(m_buffer);
}

std::size_t MessageReader::surplusBytes() const
{
    return m_buffer.size();
}

} // namespace Verbena::Http
