#include "httpcall.h"

namespace Verbena::Http {

void HttpReceiver::receiveField(std::string_view, std::string_view)
{
}

bool HttpReceiver::isTakingMore() const
{
    return true;
}

void HttpReceiver::receiveUnframedEnd()
{
}

} // namespace Verbena::Http
