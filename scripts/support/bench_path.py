"""Measures what the way through router and agent costs against the engine stand-in alone, all in one run; prints JSON."""

import argparse
import json
import os
import statistics
import subprocess
import sys
import threading
import time
import urllib.request

from deployment import BIN, ROOT, Deployment, end_on_signals
from process_use import cpu_seconds, resident_kilobytes

FOLDER = ROOT / "build" / "bench-path"
ENGINES = 4
# The stand-ins run any number of requests at once, and prompts cost them nothing.
AGENT_SETTINGS = {"limits": {"running": 4096}, "first_cost": {"prefill_per_piece": "1ms", "token_interval": "1ms"}}
ONLY_STREAMED_TEXT = ["--service-share", "0", "--chat-share", "0", "--token-share", "0", "--whole-share", "0", "--keep-connections"]


class MachineUse:
    """How busy the whole machine was, by /proc/stat, so that a figure taken on a busy machine can be told from one on a quiet one."""

    def __init__(self):
        self._before = self._read()
        self._load_before = os.getloadavg()[0]

    @staticmethod
    def _read():
        with open("/proc/stat", encoding="ascii") as file:
            values = [int(value) for value in file.readline().split()[1:]]
        return sum(values), values[3] + values[4]

    def report(self):
        total, idle = self._read()
        passed = max(1, total - self._before[0])
        return {
            "cores": os.cpu_count(),
            "busy_fraction": round(1 - (idle - self._before[1]) / passed, 3),
            "load_average_before": self._load_before,
            "load_average_after": os.getloadavg()[0],
        }


def start(deployment, *engine_arguments):
    for number in range(1, ENGINES + 1):
        deployment.start_engine(f"engine{number}", "--batch-size", "4096", *engine_arguments)
    router = deployment.start_router("router1")
    deployment.wait_until_ready()
    return router


def load_command(targets, rate, seconds, tokens, seed):
    command = [BIN / "verbena-load", "--json", "--rate", rate, "--seconds", seconds, "--answer-tokens", tokens, "--seed", seed, "--piece-bytes", 256]
    for target in targets:
        command += ["--target", target]
    return [str(word) for word in command + ONLY_STREAMED_TEXT]


def send(targets, rate, seconds, tokens, seed):
    result = subprocess.run(load_command(targets, rate, seconds, tokens, seed), check=False, stdout=subprocess.PIPE, text=True)
    report = json.loads(result.stdout)
    if report["whole"] != report["sent"]:
        raise RuntimeError(f"Only {report['whole']} of {report['sent']} answers were whole, so the figures mean nothing: {result.stdout[:600]}")
    return report


def measure_latency(rate, seconds, rounds):
    """Time to first token straight to the engines and through the router, in turns so that both see the same machine."""
    use = MachineUse()
    spans = {"direct": [], "routed": []}
    with Deployment(FOLDER, AGENT_SETTINGS) as deployment:
        start(deployment, "--decode-interval-us", "0", "--prefill-rate", "1000000000")
        targets = {"direct": deployment.urls("engine"), "routed": deployment.urls("router")}
        for name, urls in targets.items():
            send(urls, rate, 1, 8, 1)
        for number in range(rounds):
            for name, urls in targets.items():
                spans[name].append(send(urls, rate, seconds, 8, 10 + number)["time_to_first_token_ms"])
    result = {"requests_per_second": rate, "rounds": rounds, "seconds_a_round": seconds}
    for quantile in ("p50", "p99"):
        values = {name: [span[quantile] for span in list_of_spans] for name, list_of_spans in spans.items()}
        medians = {name: statistics.median(list_of_values) for name, list_of_values in values.items()}
        result[quantile] = {
            "direct_ms": [round(value, 3) for value in values["direct"]],
            "routed_ms": [round(value, 3) for value in values["routed"]],
            "added_ms": round(medians["routed"] - medians["direct"], 3),
        }
    return {**result, "machine": use.report()}


def measure_streaming(rate, seconds, tokens, senders):
    """Streamed tokens for each second of processor time that the router uses."""
    use = MachineUse()
    with Deployment(FOLDER, AGENT_SETTINGS) as deployment:
        router = start(deployment, "--decode-interval-us", "5000", "--prefill-rate", "1000000000")
        urls = deployment.urls("router")
        send(urls, 50, 1, 8, 1)
        agents = [process for process in deployment.processes if process.role == "agent"]
        before = cpu_seconds(router.pid), sum(cpu_seconds(agent.pid) for agent in agents), time.monotonic()
        reports = []
        threads = [
            threading.Thread(target=lambda seed=seed: reports.append(send(urls, rate / senders, seconds, tokens, seed))) for seed in range(20, 20 + senders)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        router_seconds = cpu_seconds(router.pid) - before[0]
        agent_seconds = sum(cpu_seconds(agent.pid) for agent in agents) - before[1]
        span = time.monotonic() - before[2]
    if len(reports) != senders:
        raise RuntimeError("A load generator failed, so the figures mean nothing.")
    delivered = sum(report["whole"] for report in reports) * tokens
    return {
        "tokens": delivered,
        "tokens_per_second": round(delivered / span),
        "tokens_per_router_core_second": round(delivered / router_seconds),
        "tokens_per_agent_core_second": round(delivered / agent_seconds),
        "router_cores_used": round(router_seconds / span, 3),
        "machine": use.report(),
    }


def running_streams(deployment):
    count = 0
    for url in deployment.urls("engine"):
        with urllib.request.urlopen(url + "/load", timeout=10) as answer:
            count += json.load(answer)["running"]
    return count


def measure_memory(streams):
    """Resident memory of the router and of the largest agent, idle and with many open streams."""
    use = MachineUse()
    with Deployment(FOLDER, AGENT_SETTINGS) as deployment:
        router = start(deployment, "--decode-interval-us", "40000", "--prefill-rate", "1000000000")
        agents = [process for process in deployment.processes if process.role == "agent"]
        idle = resident_kilobytes(router.pid), max(resident_kilobytes(agent.pid) for agent in agents)
        # Agents hand an engine two prompts at a time, so the streams are opened slowly and last long.
        command = load_command(deployment.urls("router"), streams / 25, 27, 1000, 30) + ["--timeout", "120"]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as load:
            deadline = time.monotonic() + 60
            most = 0
            while most < streams and time.monotonic() < deadline and load.poll() is None:
                most = max(most, running_streams(deployment))
                time.sleep(0.1)
            busy = resident_kilobytes(router.pid), max(resident_kilobytes(agent.pid) for agent in agents)
            report = json.loads(load.communicate()[0])
    return {
        "open_streams": most,
        "answers": {name: report[name] for name in ("sent", "whole", "broken", "crossed", "doubled", "lost", "not_run", "unknown", "failed", "unreachable")},
        "router_idle_kilobytes": idle[0],
        "router_streaming_kilobytes": busy[0],
        "agent_idle_kilobytes": idle[1],
        "agent_streaming_kilobytes": busy[1],
        "machine": use.report(),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=["latency", "streaming", "memory"], help="measure only this")
    parser.add_argument("--rate", type=float, default=500, help="requests a second for the latency")
    parser.add_argument("--seconds", type=float, default=6, help="length of a round")
    parser.add_argument("--rounds", type=int, default=3, help="rounds of the latency, each direct and routed")
    parser.add_argument("--streaming-rate", type=float, default=200, help="requests a second while streaming, of 200 tokens each")
    parser.add_argument("--streams", type=int, default=2000, help="open streams for the memory")
    arguments = parser.parse_args()
    end_on_signals()
    parts = {
        "latency": lambda: measure_latency(arguments.rate, arguments.seconds, arguments.rounds),
        "streaming": lambda: measure_streaming(arguments.streaming_rate, arguments.seconds, 200, 3),
        "memory": lambda: measure_memory(arguments.streams),
    }
    result = {name: measure() for name, measure in parts.items() if arguments.only in (None, name)}
    print(json.dumps(result, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
