#include "messagecontext.h"

#include <zmq.h>

namespace Verbena::Wire {

MessageContext::MessageContext()
    : m_handle(zmq_ctx_new())
{
}

MessageContext::~MessageContext()
{
    zmq_ctx_term(m_handle);
}

void *MessageContext::handle() const
{
    return m_handle;
}

} // namespace Verbena::Wire
