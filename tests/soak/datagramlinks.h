#pragma once

#include <decisions/spread/randomsource.h>
#include <eventloop/timer.h>
#include <http/endpoint.h>
#include <wire/datagramsocket.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Verbena::Soak {

/// \brief What happens to the datagrams of one process, both ways.
enum class DatagramFault {
    Lose, ///< Some get lost.
    Delay, ///< Some come late, after others that were sent later.
    Double, ///< Some come twice.
    Hide, ///< All get lost.
    Odd, ///< Some are well-formed and say something odd, or come again when they are old.
};

/// \brief The ways of datagrams between processes of different groups.
///
/// Each process takes its own ports for those of the others. So every group has ports of its own, and the links hold those of all other groups at the address
/// of each process: what arrives there is passed on to the process itself, from the port that it takes for the sender's.
class DatagramLinks
{
public:
    DatagramLinks(EventLoop::Loop &loop, Decisions::RandomSource &random);
    ~DatagramLinks();

    DatagramLinks(const DatagramLinks &) = delete;
    DatagramLinks &operator=(const DatagramLinks &) = delete;

    /// \brief Number of groups.
    static constexpr std::size_t groups = 4;

    /// \brief Returns the first of the ports of \a group.
    static std::uint16_t firstPort(std::size_t group);

    /// \brief Opens the links of the process of \a group at \a ip.
    void add(const std::string &ip, std::size_t group);

    /// \brief Lets \a fault happen to the process at \a ip; it takes the place of an earlier one there.
    void setFault(const std::string &ip, DatagramFault fault);
    void endFault(const std::string &ip);

    /// \brief Ends all faults.
    void heal();

    /// \brief Number of datagrams that came, and of those that a fault hit.
    int received() const;
    int harmed() const;

private:
    struct Link
    {
        std::string ip; ///< Of the process that is reached by it.
        std::size_t group = 0; ///< Of that process.
        std::size_t senderGroup = 0;
        std::uint16_t offset = 0; ///< Of the port in its group.
        std::unique_ptr<Wire::DatagramSocket> socket;
    };

    struct Later
    {
        Core::TimePoint at;
        std::string from;
        const Link *link = nullptr;
        verbena::wire::Envelope message;
    };

    Link &openLink(const std::string &ip, std::uint16_t port);
    std::optional<DatagramFault> faultBetween(const std::string &one, const std::string &other) const;
    void receive(const Link &link, const std::string &from, const verbena::wire::Envelope &message);
    void passOn(const Link &link, const std::string &from, const verbena::wire::Envelope &message);
    void passOnLater(const Link &link, const std::string &from, const verbena::wire::Envelope &message);
    void passOnOdd(const Link &link, const std::string &from, const verbena::wire::Envelope &message);
    void passOnDue();

    EventLoop::Loop &m_loop;
    Decisions::RandomSource &m_random;
    std::map<std::string, std::unique_ptr<Link>> m_links; ///< By address and port.
    std::map<std::string, DatagramFault> m_faults; ///< By address.
    std::vector<Later> m_later;
    std::vector<verbena::wire::Envelope> m_old; ///< Some of what was passed on.
    EventLoop::Timer m_timer;
    int m_received = 0;
    int m_harmed = 0;
};

} // namespace Verbena::Soak
