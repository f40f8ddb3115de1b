#include "bench.h"

#include <tclap/CmdLine.h>

#include <iomanip>
#include <iostream>

namespace {

constexpr std::size_t nameWidth = 14;
constexpr std::size_t figureWidth = 28;

void printTable(const nlohmann::ordered_json &policies)
{
    static const std::vector<std::string> figures{"prefix_hit_rate", "ttft_p50_ms", "ttft_p99_ms", "wasted_tokens_per_request", "goodput", "not_run"};
    std::cout << std::left << std::setw(nameWidth) << "policy";
    for (const std::string &figure : figures) {
        std::cout << std::right << std::setw(figureWidth) << figure;
    }
    std::cout << '\n';
    for (const auto &[name, result] : policies.items()) {
        std::cout << std::left << std::setw(nameWidth) << name;
        for (const std::string &figure : figures) {
            std::cout << std::right << std::setw(figureWidth) << result[figure].get<double>();
        }
        std::cout << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    using namespace Verbena::PolicyBench;
    try {
        TCLAP::CmdLine line("Simulates routing policies in virtual time with the real decision objects and a simulated engine.", ' ', VERBENA_VERSION);
        std::vector<std::string> deployments{"kessick", "kalari"};
        std::vector<std::string> scenarios{"steady", "hotshift", "crash", "herd", "overload", "leaving", "stale"};
        std::vector<std::string> policies = Policy::names();
        policies.emplace_back("all");
        TCLAP::ValuesConstraint<std::string> deploymentNames(deployments);
        TCLAP::ValuesConstraint<std::string> scenarioNames(scenarios);
        TCLAP::ValuesConstraint<std::string> policyNames(policies);
        TCLAP::ValueArg<std::string> deployment(
            "", "deployment", "Deployment that sets the prompt sizes and the main optimisation target.", false, "kessick", &deploymentNames, line);
        TCLAP::ValueArg<std::string> scenario("", "scenario", "Event that occurs during the run.", false, "steady", &scenarioNames, line);
        TCLAP::ValueArg<std::size_t> workers("", "workers", "Number of backend servers.", false, 20, "count", line);
        TCLAP::ValueArg<std::size_t> routers("", "routers", "Number of routers.", false, 3, "count", line);
        TCLAP::ValueArg<double> load("", "load", "Arrival rate as a fraction of the nominal capacity.", false, 0.7, "part", line);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Random seed of the workload and of the routers.", false, 1, "number", line);
        TCLAP::ValueArg<std::string> policy("", "policy", "Policy to run.", false, "all", &policyNames, line);
        TCLAP::SwitchArg json("", "json", "Print JSON instead of a table.", line);
        line.parse(argc, argv);
        BenchOptions options;
        options.deployment = deployment.getValue();
        options.scenario = scenario.getValue();
        options.workers = workers.getValue();
        options.routers = routers.getValue();
        options.load = load.getValue();
        options.seed = seed.getValue();
        nlohmann::ordered_json results;
        for (const std::string &name : Policy::names()) {
            const bool isWanted = policy.getValue() == "all" || policy.getValue() == name;
            if (const std::unique_ptr<Bench> bench = isWanted ? Bench::create(options, name) : nullptr) {
                results[name] = bench->run();
            }
        }
        if (json.getValue()) {
            std::cout << results.dump(1) << '\n';
        } else {
            printTable(results);
        }
        return 0;
    } catch (const TCLAP::ArgException &exception) {
        std::cerr << exception.error() << ' ' << exception.argId() << '\n';
        return 2;
    }
}
