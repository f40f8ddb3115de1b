#!/usr/bin/env python3
"""One client library of Python, or curl, as a caller with kept connections: client.py LIBRARY OUT SECONDS ROUTERS SEED.

Writes a line of JSON for each request: id, router, when it began and ended, and the status of its whole answer or what the library raised.
"""
import asyncio, json, random, socket, subprocess, sys, threading, time

LIBRARY, OUT, SECONDS, ROUTERS, SEED = sys.argv[1], sys.argv[2], float(sys.argv[3]), sys.argv[4].split(","), int(sys.argv[5])
CALLERS = 6
PAUSE = 0.05
TIMEOUT = {"verdict": 6, "note": 15, "notice": 1, "fetch": 1}
random.seed(f"{LIBRARY}{SEED}")
END = time.time() + SECONDS
lock, out, count = threading.Lock(), open(OUT, "w"), [0]


class Request:
    def __init__(self):
        kind = random.choice(["verdict"] * 3 + ["note"] * 5 + ["notice"] * 4 + ["fetch"] * 4)
        with lock:
            count[0] += 1
            self.id = f"{kind}-{LIBRARY}-{count[0]}"
        self.kind, self.router, self.method = kind, random.choice(ROUTERS), "GET" if kind == "fetch" else "POST"
        self.path, self.timeout = f"/{kind}/a", TIMEOUT[kind] + 0.5
        self.body = None if kind == "fetch" else b"x" * random.choice([600, 1700, 18000])
        self.fields = {"Host": "x.example", "Verbenaladder-Attempt-Id": self.id, "Verbenaladder-Deadline-Ms": str(TIMEOUT[kind] * 1000), "Authorization": "Token secret"}
        if kind in ("verdict", "note"):
            self.fields |= {"Verbenaladder-Model": "m", "Verbenaladder-Token-Count": "900,20", "Verbenaladder-Prompt-Prefix": "%x:800,%x:100" % (random.randrange(1, 20), random.randrange(1000, 1400))}
        self.begun = time.time()

    def url(self):
        return f"http://{self.router}{self.path}"

    def ended(self, end):
        row = json.dumps({"id": self.id, "router": self.router, "begun": self.begun, "ended": time.time(), "end": end})
        with lock:
            out.write(row + "\n")


def threads(make):
    """Each caller has one session of the library, which keeps connections to all routers."""
    def caller():
        ask = make()
        while time.time() < END:
            request = Request()
            try:
                request.ended(ask(request))
            except Exception as error:
                request.ended(f"{type(error).__name__} {error}"[:120])
            time.sleep(PAUSE * random.random() * 2)
    workers = [threading.Thread(target=caller) for _ in range(CALLERS)]
    [t.start() for t in workers]
    [t.join() for t in workers]


def http_client():
    import http.client
    kept = {}

    def ask(request):
        connection = kept.pop(request.router, None) or http.client.HTTPConnection(request.router, timeout=request.timeout)
        connection.request(request.method, request.path, request.body, request.fields)
        answer = connection.getresponse()
        answer.read()
        if not answer.will_close:
            kept[request.router] = connection
        return answer.status
    return ask


def urllib3_client():
    import urllib3
    pool = urllib3.PoolManager(retries=False)
    return lambda r: pool.request(r.method, r.url(), body=r.body, headers=r.fields, timeout=r.timeout).status


def requests_client():
    import requests
    session = requests.Session()
    return lambda r: session.request(r.method, r.url(), data=r.body, headers=r.fields, timeout=r.timeout).status_code


def httpx_client():
    import httpx
    client = httpx.Client()
    return lambda r: client.request(r.method, r.url(), content=r.body, headers=r.fields, timeout=r.timeout).status_code


def pycurl_client():
    import io, pycurl
    handle = pycurl.Curl()

    def ask(r):
        handle.reset()
        handle.setopt(pycurl.URL, r.url())
        handle.setopt(pycurl.HTTPHEADER, [f"{k}: {v}" for k, v in r.fields.items()])
        handle.setopt(pycurl.TIMEOUT_MS, int(r.timeout * 1000))
        handle.setopt(pycurl.WRITEDATA, io.BytesIO())
        handle.setopt(pycurl.NOSIGNAL, 1)
        if r.body is not None:
            handle.setopt(pycurl.POSTFIELDS, r.body)
        handle.perform()
        return handle.getinfo(pycurl.RESPONSE_CODE)
    return ask


def curl_client():
    """A process for each request."""
    def ask(r):
        words = ["curl", "-sS", "-o", "/dev/null", "-w", "%{http_code}", "-X", r.method, "-m", str(r.timeout), r.url()]
        words += [w for k, v in r.fields.items() for w in ("-H", f"{k}: {v}")]
        result = subprocess.run(words + (["--data-binary", "@-"] if r.body else []), input=r.body or b"", capture_output=True)
        return int(result.stdout) if result.returncode == 0 else f"{result.returncode} {result.stderr.decode().strip()}"[:120]
    return ask


def half_close_client():
    """Ends its sending side after each request, as some load programs do; the answer is read by http.client."""
    import http.client

    def ask(r):
        connection = http.client.HTTPConnection(r.router, timeout=r.timeout)
        connection.request(r.method, r.path, r.body, r.fields)
        connection.sock.shutdown(socket.SHUT_WR)
        answer = connection.getresponse()
        answer.read()
        connection.close()
        return answer.status
    return ask


async def tasks(ask):
    async def caller():
        while time.time() < END:
            request = Request()
            try:
                request.ended(await ask(request))
            except Exception as error:
                request.ended(f"{type(error).__name__} {error}"[:120])
            await asyncio.sleep(PAUSE * random.random() * 2)
    await asyncio.gather(*(caller() for _ in range(CALLERS)))


async def aiohttp_client():
    import aiohttp
    async with aiohttp.ClientSession() as session:
        async def ask(r):
            async with session.request(r.method, r.url(), data=r.body, headers=r.fields, timeout=aiohttp.ClientTimeout(total=r.timeout)) as answer:
                await answer.read()
                return answer.status
        await tasks(ask)


async def tornado_client():
    from tornado.httpclient import AsyncHTTPClient
    client = AsyncHTTPClient(max_clients=CALLERS)

    async def ask(r):
        answer = await client.fetch(r.url(), method=r.method, body=r.body, headers=r.fields, request_timeout=r.timeout, raise_error=False)
        if answer.code == 599:
            raise answer.error
        return answer.code
    await tasks(ask)


THREADED = {"http.client": http_client, "urllib3": urllib3_client, "requests": requests_client, "httpx": httpx_client, "pycurl": pycurl_client, "curl": curl_client,
    "half-close": half_close_client}
ASYNCHRONOUS = {"aiohttp": aiohttp_client, "tornado": tornado_client}

if LIBRARY in THREADED:
    threads(THREADED[LIBRARY])
else:
    asyncio.run(ASYNCHRONOUS[LIBRARY]())
out.close()
