#include "oddentry.h"

#include <cstdint>
#include <iterator>
#include <limits>
#include <vector>

namespace Verbena::Soak {

using nlohmann::json;

namespace {

constexpr double deeperShare = 0.6;
constexpr std::size_t longTextBytes = 300;

const std::vector<json> &oddValues()
{
    static const std::vector<json> values{nullptr,
        true,
        -1,
        0,
        1.5,
        1e308,
        std::numeric_limits<std::int64_t>::min(),
        std::numeric_limits<std::uint64_t>::max(),
        "",
        std::string(longTextBytes, 'x'),
        json::array(),
        json::object(),
        json::array({nullptr}),
        "i-0",
        "draining"};
    return values;
}

void changePart(json &holder, Decisions::RandomSource &random)
{
    enum Change { Replace, Drop, Double, ChangeCount };
    auto part = std::next(holder.begin(), static_cast<std::ptrdiff_t>(random.next() % holder.size()));
    if (part->is_structured() && !part->empty() && random.uniform() < deeperShare) {
        changePart(*part, random);
        return;
    }
    switch (random.next() % ChangeCount) {
    case Drop:
        holder.erase(part);
        return;
    case Double:
        if (holder.is_array()) {
            holder.push_back(json(*part));
            return;
        }
        [[fallthrough]];
    default:
        *part = oddValues()[random.next() % oddValues().size()];
    }
}

} // namespace

json oddEntry(const json &entry, Decisions::RandomSource &random)
{
    json odd = entry;
    changePart(odd, random);
    return odd;
}

json withModelsTwice(const json &entry)
{
    json doubled = entry;
    for (const json &model : entry.at("models")) {
        doubled["models"].push_back(model);
    }
    return doubled;
}

} // namespace Verbena::Soak
