#pragma once

#include "streamorigincontrol.h"

namespace Verbena::Relay {

/// \brief Connects one request to the control of stream origins: looks up where its stream began, and keeps its stream recorded while it runs.
class StreamOriginHandle
{
public:
    /// \brief \a control may be null.
    explicit StreamOriginHandle(StreamOriginControl *control);

    /// \brief Ends the stream as incomplete if it is still running.
    ~StreamOriginHandle();

    StreamOriginHandle(const StreamOriginHandle &) = delete;
    StreamOriginHandle &operator=(const StreamOriginHandle &) = delete;

    /// \brief Returns whether streams may be resumed only where they began.
    bool isEnabled() const;

    /// \brief Looks up where the stream of \a request began; \a done may be called before this returns.
    void find(const OriginRequest &request, StreamOriginControl::Callback done);

    /// \brief Records that the first event of \a stream is about to be forwarded; a stream without an attempt id is not recorded.
    void begin(const RunningStream &stream);

    /// \brief Cancels a lookup and ends the stream; \a isWhole: its caller has got all of it.
    void end(bool isWhole);

private:
    StreamOriginControl *m_control;
    std::uint64_t m_inquiryNumber = 0; ///< Number of the pending callback, for withdraw(); 0 if there is none.
    std::uint64_t m_streamNumber = 0; ///< Number of the running stream; 0 if none is recorded.
};

} // namespace Verbena::Relay
