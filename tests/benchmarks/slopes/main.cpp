#include "slopelist.h"

#include <iostream>

int main()
{
    using namespace Verbena::Bench;
    std::vector<Slope> slopes;
    for (const auto &part : {agentSlopes(), routerSlopes(), metricsSlopes(), wireSlopes()}) {
        slopes.insert(slopes.end(), part.begin(), part.end());
    }
    std::cout << toJson(slopes) << '\n';
    return 0;
}
