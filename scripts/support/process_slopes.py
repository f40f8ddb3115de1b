"""Slopes that are measured on running processes, in the form that bench_slopes prints."""

import json
import math
import subprocess
import time

from deployment import ROOT, Deployment
from process_use import cpu_seconds, resident_kilobytes

IDLE_SAMPLES = 6
IDLE_SECONDS_EACH = 2


def slope(x_unit, y_unit, points):
    return {"x_unit": x_unit, "y_unit": y_unit, "points": points}


def idle_slopes():
    """Processor time and memory of a router and an agent without work, beside an engine that is watched."""
    with Deployment(ROOT / "build" / "bench-idle") as deployment:
        for number in range(1, 5):
            deployment.start_engine(f"engine{number}")
        router = deployment.start_router("router1")
        deployment.wait_until_ready()
        agent = next(process for process in deployment.processes if process.role == "agent")
        time.sleep(1)
        begin = time.monotonic()
        points = {"router": [], "agent": []}
        for _ in range(IDLE_SAMPLES):
            time.sleep(IDLE_SECONDS_EACH)
            for role, process in (("router", router), ("agent", agent)):
                points[role].append([time.monotonic() - begin, cpu_seconds(process.pid) * 1e9])
        memory = {role: resident_kilobytes(process.pid) * 1024 for role, process in (("router", router), ("agent", agent))}
    return {
        "router_idle_time": slope("seconds", "ns", points["router"]),
        "agent_idle_time": slope("seconds", "ns", points["agent"]),
        "router_idle_memory": slope("processes", "bytes", [[0, 0], [1, memory["router"]]]),
        "agent_idle_memory": slope("processes", "bytes", [[0, 0], [1, memory["agent"]]]),
    }


def run_json(name, *arguments):
    done = subprocess.run([str(ROOT / "scripts" / name), *arguments], capture_output=True, text=True, check=False)
    if done.returncode != 0:
        raise RuntimeError(f"scripts/{name} failed: {done.stderr.strip()[-400:]}")
    return json.loads(done.stdout)


def path_slopes():
    """Processor time a token and memory a stream, from scripts/bench-path."""
    streaming = run_json("bench-path", "--only", "streaming")["streaming"]
    memory = run_json("bench-path", "--only", "memory")["memory"]
    tokens = streaming["tokens"]
    streams = memory["open_streams"]
    result = {}
    for role in ("router", "agent"):
        nanoseconds = tokens / streaming[f"tokens_per_{role}_core_second"] * 1e9
        result[f"{role}_token_time"] = slope("tokens", "ns", [[0, 0], [tokens, nanoseconds]])
    kilobytes = [memory["router_idle_kilobytes"], memory["router_streaming_kilobytes"]]
    result["router_stream_memory"] = slope("open streams", "bytes", [[0, kilobytes[0] * 1024], [streams, kilobytes[1] * 1024]])
    return result


def control_slopes():
    """The spread of settings in virtual time, and what settings cost a process, from scripts/bench-control."""
    control = run_json("bench-control", "--quick")

    def line(part, x, x_unit, y, y_unit):
        return slope(x_unit, y_unit, [[x(point), point[y]] for point in control[part]])

    def doublings(point):
        return math.log2(point["processes"])

    def organisations(point):
        return point["organisations"]

    return {
        "spread_worst_time": line("virtual", doublings, "doublings of processes", "worst_ms", "ms"),
        "spread_p99_time": line("virtual", doublings, "doublings of processes", "p99_ms", "ms"),
        "spread_bytes": line("virtual", doublings, "doublings of processes", "bytes_sent_per_process_second", "bytes/s"),
        "spread_messages": line("virtual", doublings, "doublings of processes", "messages_sent_per_process_second", "messages/s"),
        "spread_table_reads": line("virtual", doublings, "doublings of processes", "table_reads_per_second", "reads/s"),
        "settings_store_memory": line("store", organisations, "organisations", "store_heap_bytes", "bytes"),
        "in_force_memory": line("store", organisations, "organisations", "in_force_heap_bytes", "bytes"),
        "settings_row_bytes": line("store", organisations, "organisations", "row_bytes", "bytes"),
        "settings_change_time": line("store", organisations, "organisations", "change_ns", "ns a change"),
        "settings_load_time": line("store", organisations, "organisations", "start_ns", "ns"),
    }


# The command that is shown for each measurement.
MEASUREMENTS = {"scripts/bench-slopes": idle_slopes, "scripts/bench-path": path_slopes, "scripts/bench-control --quick": control_slopes}
