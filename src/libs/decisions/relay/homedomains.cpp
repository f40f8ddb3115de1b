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

// Each failure domain is the home of a share of all prompts that equals its share of the engines. As the store of a prompt is in the same domain, saving and
// fetching its parts causes no traffic between domains.
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
