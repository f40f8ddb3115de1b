"""Runs a small deployment on loopback, sends load to it and judges every answer."""

import argparse
import json
import signal
import subprocess
import sys
import urllib.request

from deployment import BIN, ROOT, Deployment, end_on_signals

FOLDER = ROOT / "build" / "demo"
STATE = FOLDER / "demo.json"
ENGINE_ARGUMENTS = ["--prefill-rate", "200000", "--decode-interval-us", "4000", "--cache-pieces", "160", "--event-loss", "0.02"]
REQUESTS_PER_SECOND = 60
LEAST_WHOLE_SHARE = 0.95


def start(deployment):
    deployment.start_platform()
    for number in range(1, 5):
        deployment.start_engine(f"engine{number}", *ENGINE_ARGUMENTS)
    for number in range(1, 3):
        deployment.start_service(f"register{number}")
    deployment.apply_settings()
    for number in range(1, 3):
        deployment.start_router(f"router{number}")
    deployment.wait_until_ready()


def ask_once(deployment):
    body = {"model": "analyst", "max_tokens": 12, "messages": [{"role": "user", "content": "Is a trigger level passed at the east wall?"}]}
    request = urllib.request.Request(
        deployment.urls("router")[0] + "/v1/chat/completions",
        json.dumps(body).encode(),
        {"Content-Type": "application/json", "Authorization": "Bearer " + deployment.api_key})
    with urllib.request.urlopen(request, timeout=30) as answer:
        content = json.load(answer)["choices"][0]["message"]["content"]
        print(f"An answer ({answer.headers['Verbena-Run']}, request {answer.headers['Verbena-Request']}):\n  {content}\n")


def send_load(deployment, seconds):
    report = FOLDER / "load.json"
    command = [BIN / "verbena-load", "--rate", str(REQUESTS_PER_SECOND), "--seconds", str(seconds), "--json-file", report]
    for url in deployment.urls("router"):
        command += ["--target", url]
    for url in deployment.urls("service"):
        command += ["--service-url", url]
    print(f"Sending {REQUESTS_PER_SECOND} requests a second for {seconds} s.", flush=True)
    status = subprocess.run(command, check=False).returncode
    return status == 0, json.loads(report.read_text())


def judge(is_clean, report):
    problems = [f"{report[name]} {name}" for name in ("lost", "broken", "crossed", "doubled", "false_not_run") if report[name] > 0]
    if not is_clean and not problems:
        problems.append("the load generator reports a failure")
    if report["whole"] < LEAST_WHOLE_SHARE * report["sent"]:
        problems.append(f"only {report['whole']} of {report['sent']} requests were answered whole")
    if problems:
        print("Verdict: FAILED: " + ", ".join(problems) + ".")
    else:
        print(f"Verdict: passed. Of {report['sent']} requests none was lost, broken, crossed or doubled; hit rate {report['hit_rate']:.3f}.")
    return not problems


def hold(deployment):
    STATE.write_text(json.dumps(deployment.describe(), indent=2) + "\n")
    print(f"Everything is left running; see {STATE.relative_to(ROOT)}. Interrupt this script to end it.", flush=True)
    signal.pause()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hold", action="store_true", help="leave all running until interrupted, and write build/demo/demo.json")
    parser.add_argument("--seconds", type=float, default=20, help="how long to send load; 0 for none")
    arguments = parser.parse_args()
    end_on_signals()
    STATE.unlink(missing_ok=True)
    passed = True
    with Deployment(FOLDER) as deployment:
        start(deployment)
        print(f"Running: {', '.join(process.name for process in deployment.processes)}.\n", flush=True)
        ask_once(deployment)
        if arguments.seconds > 0:
            passed = judge(*send_load(deployment, arguments.seconds))
        if arguments.hold:
            hold(deployment)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
