#include "httpcall.h"

namespace Verbena::Http {

void HttpReceiver::receiveField(std::string_view, std::string_view)
{
}

void HttpReceiver::receiveUnframedEnd()
{
}

} // namespace Verbena::Http
