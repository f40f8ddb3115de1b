#pragma once

#include "platformdeployment.h"
#include "workerfake.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Verbena::Test {

/// \brief A real router on a host with little memory, and a fake backend server on the test's own event loop.
///
/// The server has the routes /load/ (not idempotent) and /brief/ (a resumable stream).
class SmallHostTest : public testing::Test
{
protected:
    static constexpr std::uint64_t bytesPerMegabyte = 1'000'000;
    static constexpr HostLimits hostLimits{64, 4100};

    /// \brief What a router holds at rest, at most.
    static constexpr std::uint64_t restBytes = 30 * bytesPerMegabyte;

    /// \brief What its host has for all that is held beside it.
    static constexpr std::uint64_t roomBytes = hostLimits.memoryMegabytes * bytesPerMegabyte - restBytes;

    /// \brief Starts a router; its server answers requests to the path shortPath with a few bytes, and others with \a answer.
    explicit SmallHostTest(WorkerFake::Answer answer);

    static constexpr const char *shortPath = "/load/short";

    /// \brief Returns the head of an answer to the request with \a head, up to the fields that say how its body is framed.
    static std::string answerHead(const Http::MessageHead &head, const std::string &status);

    /// \brief Returns a caller that has asked for \a path.
    std::unique_ptr<CallerFake> ask(const std::string &path);

    /// \brief Returns the status line and all else that a caller gets for a request to shortPath.
    std::string askShort();

    /// \brief Returns whether a request of a caller that reads is served.
    bool isServed();

    /// \brief Returns the anonymous memory of the router.
    std::uint64_t routerBytes();

    /// \brief Returns what the router takes of its host's memory: its own anonymous memory, what the system holds of what it has sent to callers, and what of
    /// its server's answers it has not read.
    std::uint64_t hostBytesInUse();

    /// \brief Runs for \a span; returns the most that \a bytes has returned meanwhile.
    std::uint64_t mostWithin(std::chrono::milliseconds span, const std::function<std::uint64_t()> &bytes);

    /// \brief Checks that hostBytesInUse() stays within the host's memory for \a span; \a turn is called again and again meanwhile.
    ///
    /// The address sanitizer keeps freed memory, so that its builds only run.
    void expectWithinHost(
        std::chrono::milliseconds span, const std::function<void()> &turn = [] {});

    PlatformDeployment m_deployment;
    WorkerFake m_server;

private:
    std::size_t m_asked = 0;
};

} // namespace Verbena::Test
