#!/usr/bin/env python3
"""Plays real client libraries against several routers that are stopped and started in turn, through links with delay and loss.

Usage: play_clients.py SCRIPTS ROUTER AGENT [--seconds N] [--delay MS] [--loss SHARE] [--seed N] [--keep FOLDER] [LIBRARY...]
SCRIPTS is the folder of real_roster.py, whose deployment is used. The libraries are those of client.py, client.js and Client.java beside this script:
http.client, urllib3, requests, httpx, aiohttp, tornado, pycurl, curl, half-close, node, java.

Packages: python3-requests, python3-httpx, python3-aiohttp, python3-tornado, python3-pycurl, curl, nodejs, default-jdk-headless.

Each request has one try: what a library sends again by itself is counted. A request is lost if its connection ended without a whole answer although a backend
server had seen it, or over 200 ms after it was sent. One line a library; exit 1 if any has lost one.
"""
import argparse, collections, json, os, random, socket, subprocess, sys, threading, time

HERE = os.path.dirname(os.path.abspath(__file__))
LIBRARIES = ["http.client", "urllib3", "requests", "httpx", "aiohttp", "tornado", "pycurl", "curl", "half-close", "node", "java"]
LINK_PORT = 9782
LATE_S = 0.2
STALL_S = 0.2


class Link:
    """A proxy in front of one router that delays every piece, and stalls some for the time of a retransmission; ends and resets pass through."""

    def __init__(self, ip, delay, loss):
        self.ip, self.delay, self.loss = ip, delay, loss
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((ip, LINK_PORT))
        self.socket.listen(512)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.socket.accept()
            threading.Thread(target=self.connect, args=(client,), daemon=True).start()

    def connect(self, client):
        try:
            router = socket.create_connection((self.ip, 8782), 2)
            router.settimeout(None)
        except OSError:
            reset(client)
            return
        for s in (client, router):
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.pump, args=(client, router), daemon=True).start()
        self.pump(router, client)

    def pump(self, source, target):
        try:
            while True:
                data = source.recv(65536)
                time.sleep(self.delay + (STALL_S if random.random() < self.loss else 0))
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                target.sendall(data)
        except OSError:
            reset(source)
            reset(target)


def reset(s):
    """Ends a connection as a host does whose process is gone."""
    try:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        s.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    s.close()


def command(library, out, seconds, ips, seed):
    arguments = [out, str(seconds), ",".join(f"{ip}:{LINK_PORT}" for ip in ips), str(seed)]
    if library == "node":
        return ["node", os.path.join(HERE, "client.js"), *arguments]
    if library == "java":
        return ["java", "-Djdk.httpclient.allowRestrictedHeaders=host", os.path.join(HERE, "Client.java"), *arguments]
    return [sys.executable, os.path.join(HERE, "client.py"), library, *arguments]


def judge(library, ends, seen, stops, grace, link, classes):
    """Returns the lost requests and a line of figures; `link` is what a close may take to reach its caller, `classes` has the timeouts of the routes."""
    lost, crossed, answers = [], 0, collections.Counter()
    for end in ends:
        answers[str(end["end"])] += 1
        if isinstance(end["end"], int):
            continue
        took = end["ended"] - end["begun"]
        ip = end["router"].split(":")[0]
        is_cut_allowed = any(at + grace * 5 / 6 <= end["ended"] <= at + grace + 1 and end["begun"] <= at + 3 for at, stopped in stops if stopped == ip)
        is_timed_out = took > classes[end["id"].split("-")[0]]["timeoutMs"] / 1000 - 0.1
        if end["id"] in seen and not is_cut_allowed and not is_timed_out or end["id"] not in seen and took > LATE_S + link:
            lost.append(f"{end['id']} {end['end']} after {took:.2f} s, {'passed on' if end['id'] in seen else 'late'}")
        elif end["id"] not in seen:
            crossed += 1
    repeats = sum(seen[end["id"]] - 1 for end in ends if seen[end["id"]] > 1)
    text = ", ".join(f"{name}: {count}" for name, count in sorted(answers.items()))
    return lost, f"{library}: {len(ends)} requests ({text}); lost {len(lost)}, crossed a close {crossed}, seen more than once {repeats}; {'; '.join(lost[:6])}"


def play(options, roster):
    random.seed(options.seed)
    w = roster["Roster"]()
    grace = roster["GRACE_S"]
    folder = options.keep or w.folder
    try:
        end = time.monotonic() + 20
        while len(w.ready_ips()) < len(w.ips) and time.monotonic() < end:
            time.sleep(0.2)
        links = [Link(ip, options.delay / 1000, options.loss) for ip in w.ips]
        outs = {library: os.path.join(folder, f"{library}.json") for library in options.libraries}
        clients = [subprocess.Popen(command(library, out, options.seconds, w.ips, options.seed)) for library, out in outs.items()]
        end = time.monotonic() + options.seconds
        stops, turn = [], 0
        while time.monotonic() < end:
            stops.append((time.time(), w.ips[turn % len(w.ips)]))
            p = w.processes[turn % len(w.ips)]
            p.terminate()
            p.wait(grace + 2)
            time.sleep(0.3)
            w.processes[turn % len(w.ips)] = w.start(turn % len(w.ips))
            time.sleep(random.uniform(0.5, 1.5))
            turn += 1
        [client.wait(30) for client in clients]
        seen = collections.Counter(a for s in w.servers for _, a in s.seen)
        link = 2 * (options.delay / 1000 + (STALL_S if options.loss else 0))
        all_lost = 0
        for library, out in outs.items():
            with open(out) as f:
                lost, line = judge(library, [json.loads(row) for row in f], seen, stops, grace, link, roster["CLASSES"])
            all_lost += len(lost)
            print(("FAILS " if lost else "holds ") + line, flush=True)
        print(f"{len(stops)} stops, {len(links)} links, delay {options.delay} ms, loss {options.loss}")
        return all_lost
    finally:
        if options.keep:
            os.environ["KEEP"] = os.path.join(folder, "log")
        w.close()


def main():
    parser = argparse.ArgumentParser()
    for name in ("scripts", "router", "agent"):
        parser.add_argument(name)
    parser.add_argument("libraries", nargs="*", default=LIBRARIES)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--delay", type=float, default=3)
    parser.add_argument("--loss", type=float, default=0.01)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keep")
    options = parser.parse_intermixed_args()
    path = os.path.join(options.scripts, "real_roster.py")
    sys.argv = [path, options.router, options.agent]
    roster = {"__file__": path, "__name__": "roster"}
    with open(path) as f:
        exec(compile(f.read(), path, "exec"), roster)
    sys.exit(play(options, roster) > 0)


if __name__ == "__main__":
    main()
