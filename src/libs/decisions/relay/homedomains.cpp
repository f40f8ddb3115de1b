#include "homedomains.h"

#include <xxhash.h>

#include <cmath>
#include <limits>

namespace Verbena::Decisions {

void HomeDomains::clear()
{
    m_domains.clear();
}

void HomeDomains::addEngine(const std::string &service, const std::string &model, const std::string &domain)
{
    ++m_domains[{service, model}][domain];
}

// The failure domain in which a prompt is at home, with a part of all prompts that is each domain's part of the engines. With its store there too, what is
// saved and fetched stays inside.
std::string HomeDomains::homeOf(const std::string &service, const std::string &model, PrefixKey prompt) const
{
    std::string home;
    double lowest = std::numeric_limits<double>::infinity();
    for (const auto &[domain, engines] : m_domains.at({service, model})) {
        const std::uint64_t hash = XXH3_64bits_withSeed(domain.data(), domain.size(), static_cast<std::uint64_t>(prompt));
        // Weighted rendezvous hashing: a domain that grows takes prompts from all others alike.
        const double distance = -std::log((static_cast<double>(hash >> 11) + 1) * 0x1p-53) / static_cast<double>(engines);
        if (distance < lowest) {
            lowest = distance;
            home = domain;
        }
    }
    return home;
}

} // namespace Verbena::Decisions
