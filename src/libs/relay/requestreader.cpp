#include "requestreader.h"

#include <core/freetext.h>
#include <http/requesttarget.h>

#include <algorithm>

namespace Verbena::Relay {

namespace {

// Part of its size by which the room for a body of unknown size grows when it is full.
constexpr std::size_t bodyGrowthDivisor = 4;

Http::MessageLimits messageLimits(const Decisions::RelayLimits &limits)
{
    return {limits.headerBytes, limits.bodyBytes};
}

} // namespace

RequestReader::RequestReader(const Decisions::RelayLimits &limits)
    : m_reader(Http::MessageReader::Kind::Requests, *this, messageLimits(limits))
{
}

RequestReader::~RequestReader() = default;

std::optional<Http::MessageFault> RequestReader::feed(std::string_view data, std::uint64_t bodyBound)
{
    m_bodyBound = bodyBound;
    const std::optional<Http::MessageFault> fault = m_reader.feed(data);
    if (!fault.has_value()) {
        m_reader.dropEmptyLines();
    }
    return fault;
}

bool RequestReader::hasBegun() const
{
    return m_reader.hasBegun();
}

bool RequestReader::isHeadDone() const
{
    return m_reader.isHeadDone();
}

bool RequestReader::isDone() const
{
    return m_reader.isDone();
}

bool RequestReader::hasBody() const
{
    return !m_body.empty();
}

std::size_t RequestReader::dropSurplus()
{
    if (!m_reader.isDone()) {
        return 0;
    }
    const std::size_t bytes = m_reader.surplusBytes();
    m_reader.dropSurplus();
    return bytes;
}

const Http::MessageHead &RequestReader::head() const
{
    return m_head;
}

void RequestReader::reserveBody()
{
    m_body.reserve(m_head.contentLength.value_or(0));
}

Http::MessageHead RequestReader::takeHead()
{
    return std::move(m_head);
}

Http::SharedBody RequestReader::takeBody()
{
    return m_body.empty() ? nullptr : std::make_shared<const std::string>(std::move(m_body));
}

RequestExtent RequestReader::extent(std::uint64_t bodyBound) const
{
    return {.headBytes = m_reader.headBytes(),
        .bodyCapacity = m_body.empty() ? 0 : m_body.capacity(),
        .contentLength = m_head.contentLength,
        .maximumBodyBytes = bodyBound,
        .isHeadRead = m_reader.isHeadDone(),
        .isWholeRead = m_reader.isDone()};
}

void RequestReader::discard()
{
    Core::freeText(m_body);
    m_reader.discard();
}

void RequestReader::next()
{
    m_head = {};
    m_body.clear();
    (void)m_reader.next();
}

void RequestReader::receiveHead(Http::MessageHead head)
{
    m_head = std::move(head);
    Http::useOriginForm(m_head);
}

void RequestReader::receiveBody(std::string_view data)
{
    const std::size_t size = m_body.size() + data.size();
    if (size > m_body.capacity()) {
        m_body.reserve(std::max<std::uint64_t>(size, std::min<std::uint64_t>(size + m_body.size() / bodyGrowthDivisor, m_bodyBound)));
    }
    m_body.append(data);
}

void RequestReader::receiveEnd()
{
}

} // namespace Verbena::Relay
