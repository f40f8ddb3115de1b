#pragma once

#include "connectedcaller.h"

#include <optional>
#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief A caller that asks one thing after the other, keeps its connection as long as it may, and checks every answer.
class SoakCaller : public ConnectedCaller
{
public:
    using ConnectedCaller::ConnectedCaller;

    /// \brief Asks for one path of one router only, again and again.
    void pinTo(std::size_t router, const std::string &path);

    /// \brief Asks for \a paths only.
    void askFor(std::vector<std::string> paths);

    /// \brief Sends nothing but requests whose answers have a part without end, to any router.
    void sendEndless();

    /// \brief Goes on sending after its requests, as the link that it uses passes no half-closed connection on.
    void keepSendingSide();

    /// \brief Sends large bodies only.
    void sendLarge();

    /// \brief Sends nothing but requests that crash the backend servers that run them by \a cause, to any router.
    void sendCrashing(CrashCause cause);

    void stop();

private:
    void receiveBody(std::string_view data) override;
    void ask() override;
    bool hasEnough() const override;
    void conclude(bool isTimedOut) override;
    void drawTarget();
    void sendNext();
    std::string drawToken() const;
    std::string drawParts() const;
    RequestForm drawOwnForm() const;
    void checkWhole();
    void checkPart() const;

    std::vector<std::string> m_paths{"/safe/", "/once/", "/resume/"};
    std::string m_pinnedPath;
    std::string m_body;
    bool m_isStopped = false;
    bool m_keepsSendingSide = false;
    bool m_isLarge = false; ///< Whether its bodies are large.
    bool m_isEndless = false; ///< Whether it asks for answers without end.
    std::optional<CrashCause> m_crashCause; ///< What its requests crash backend servers by; nothing if they don't.
};

} // namespace Verbena::Soak
