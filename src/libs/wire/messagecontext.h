#pragma once

namespace Verbena::Wire {

/// \brief Owner of the ZeroMQ context; one per process.
class MessageContext
{
public:
    MessageContext();
    ~MessageContext();

    MessageContext(const MessageContext &) = delete;
    MessageContext &operator=(const MessageContext &) = delete;

    void *handle() const;

private:
    void *m_handle;
};

} // namespace Verbena::Wire
