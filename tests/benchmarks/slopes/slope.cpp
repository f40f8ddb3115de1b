#include "slope.h"

#include <nlohmann/json.hpp>

namespace Verbena::Bench {

std::string toJson(const std::vector<Slope> &slopes)
{
    nlohmann::ordered_json object = nlohmann::ordered_json::object();
    for (const Slope &slope : slopes) {
        nlohmann::ordered_json points = nlohmann::ordered_json::array();
        for (const SlopePoint &point : slope.points) {
            points.push_back({point.x, point.y});
        }
        object[slope.name] = {{"x_unit", slope.xUnit}, {"y_unit", slope.yUnit}, {"points", points}};
    }
    return object.dump(1);
}

} // namespace Verbena::Bench
