"""Stand-ins for the platform, servers and clients, and processes of the project.

Only Python's own library is used. Every address is a loopback address; every process
that is started here is ended here.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ["python3", "-S", "src/entry_host.py", "deploy/options.ini"]
CALLERS_HOST = "desk.example"
HEARTBEAT_MS = 1200
now = time.monotonic


class Record:
    """Write what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder):
        self.began = now()
        self.lines = []
        self.path = Path(folder) / "record.txt"

    def add(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append((now() - self.began, kind, text))

    def save(self, *summary):
        with self.path.open("w", encoding="utf-8") as file:
            for line in summary:
                file.write(f"# {line}\n")
            for at, kind, text in sorted(self.lines):
                file.write(f"{at:9.3f} {kind} {text}\n")


class Message:
    """Hold one HTTP message's head and body."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Read the first line and the header fields; raise EOFError at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as exc:
        raise EOFError from exc
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yield the chunks of a chunked body."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise EOFError
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    """Read a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        return b"".join([part async for part in read_chunks(reader)])
    length = int(headers.get("content-length", "0") or 0)
    return await reader.readexactly(length) if length else b""


def encode(status, headers, body, *, length=True):
    """Return the bytes of one answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """Stand in for the platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.era = None
        self.revision = 1
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.address = ""
        self.down = False
        self.acked = {}
        self._server = None

    async def start(self, ip):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    async def stop(self):
        self._server.close()

    async def put(self, kind, name, spec):
        """Write an object as the operator or a server does; its return is the ack."""
        self.revision += 1
        known = self.kinds.setdefault(kind, {}).get(name)
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": known["metadata"]["created"] if known else self.revision,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": spec,
            "status": known["status"] if known else None,
        }
        self.kinds[kind][name] = item
        await self._record(kind, item, False)

    async def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            await self._record(kind, item, True)

    async def _record(self, kind, item, deleted):
        self.history.append((self.revision, kind, item, deleted))
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await asyncio.sleep(0.004)
                if self.down:
                    await asyncio.sleep(3600)
                status, answer = await self._answer(first, body)
                fields = [("Content-Type", "application/json")]
                if self.era is not None:
                    fields.append(("Store-Era", str(self.era)))
                writer.write(encode(status, fields, json.dumps(answer).encode()))
                await writer.drain()
        except (EOFError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, first, body):
        method, target, _ = first.split(" ")
        url = urlsplit(target)
        query = {name: value[0] for name, value in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.strip("/").split("/")]
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        objects = self.kinds.setdefault(kind, {})
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            await self.put(kind, name, sent.get("spec"))
            return 200, objects[name]
        if method == "GET" and name is None and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name is None:
            after = query.get("sinceRevision", "")
            names = sorted(item for item in objects if item > after)
            entries = [objects[item] for item in names[:500]]
            more = len(names) > 500
            return 200, {"entries": entries, "hasMore": more, "at": self.revision}
        if name not in objects:
            return 404, {"error": "missing"}
        if method == "GET":
            return 200, objects[name]
        wanted = sent.get("metadata", {}).get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != objects[name]["metadata"]["revision"]:
            return 409, objects[name]
        if method == "DELETE":
            await self.remove(kind, name)
            return 200, {}
        if len(parts) > 3:
            self.revision += 1
            item = json.loads(json.dumps(objects[name]))
            item["status"] = sent.get("status")
            item["metadata"]["revision"] = self.revision
            objects[name] = item
            await self._record(kind, item, False)
        else:
            await self.put(kind, name, sent.get("spec"))
        return 200, objects[name]

    async def _watch(self, kind, query):
        since = int(query["watch"])
        wait = min(30.0, int(query.get("waitMs", "0")) / 1000)
        era = self.era

        def events():
            return [e for e in self.history if e[0] > since and e[1] == kind]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait), self.changed:
                await self.changed.wait_for(lambda: events() or era != self.era)
        if since > self.revision or era != self.era:
            return 410, {"error": "gone"}
        found = [{"object": item, "deleted": gone} for _, _, item, gone in events()]
        return 200, {"events": found, "at": self.revision}


def route(name, service, kind, **fields):
    """Return a route of the desired state."""
    base = {
        "name": name,
        "host": CALLERS_HOST,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "service": service,
        "timeoutMs": 3000,
        "goalMs": 500,
        "priority": 0,
        "maxAttempts": 1,
    }
    return base | fields


def desired(version, routes, services, tenants=None, **limits):
    """Return a desired state."""
    spec = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        | limits,
    }
    if tenants is not None:
        spec["tenants"] = tenants
    return spec


def plain_service(name, connections=232):
    return {"name": name, "healthPath": "/healthz", "maxConnections": connections}


def engine_service(name, slots=6, connections=781):
    return plain_service(name, connections) | {
        "engine": {
            "slots": slots,
            "kvCapacity": 372943,
            "stride": 7,
            "models": [{"name": "m"}],
        }
    }


class Request(Message):
    """One request that reached a server."""

    def __init__(self, server, first, headers, body, writer):
        super().__init__(first, headers, body)
        self.server, self.writer = server, writer
        self.method, self.target, _ = first.split(" ", 2)
        self.attempt = self.get("x-amaranthferry-attempt-id")
        self.host = writer.get_extra_info("peername")[0]
        self.at = now()


class Server:
    """One sound server: it checks the instance, runs up to `slots` and queues some.

    `work` is called for each request that it runs, and returns what is written.
    """

    def __init__(self, name, service, *, slots=6, queue=24, record=None):
        self.name, self.service = name, service
        self.slots, self.queue = slots, queue
        self.record = record
        self.born = int(time.time() * 1000)
        self.address = ""
        self.active = self.waiting = 0
        self.extra = []
        self.runs = []
        self.arrivals = []
        self.alive = True
        self._slot = asyncio.Semaphore(slots)
        self._server = None
        self._writers = set()
        self._beat = None

    async def work(self, request):
        await asyncio.sleep(0.02)
        await self.answer(request, 200, b"done " + request.attempt.encode())

    def headers(self, request, *, signed=True):
        fields = [("X-Amaranthferry-Attempt-Id", request.attempt)]
        if signed:
            fields.append(("X-Amaranthferry-Server-Signature", f"{self.name}.1"))
        return fields + list(self.extra)

    async def answer(self, request, status, body, *, extra=(), signed=True):
        fields = self.headers(request, signed=signed) + list(extra)
        request.writer.write(encode(status, fields, body))
        await request.writer.drain()

    async def refuse(self, request, status=503, extra=()):
        fields = [("X-Amaranthferry-Attempt-Id", request.attempt)]
        fields += [("X-Amaranthferry-Not-Executed", "1"), *self.extra, *extra]
        request.writer.write(encode(status, fields, b""))
        await request.writer.drain()

    async def start(self, ip, port=0):
        self._server = await asyncio.start_server(self._serve, ip, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    async def stop(self):
        self.alive = False
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, state="ready", zone="zone-a"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "1",
            "slots": self.slots,
            "state": state,
            "warmupLeftMs": 0,
            "born": self.born,
            "sequence": 1,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while self.alive:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self._take(Request(self, first, headers, body, writer), reader)
        except (EOFError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _take(self, request, reader):
        expected = request.get("x-amaranthferry-expect-instance")
        self.arrivals.append(request)
        if self.record:
            self.record.add(
                "arrive", server=self.name, attempt=request.attempt, host=request.host
            )
        if request.target == "/healthz":
            fields = [("X-Amaranthferry-Instance-Id", self.name)]
            request.writer.write(encode(200, fields, b""))
            return
        if expected and expected != self.name:
            await self.refuse(request, 421)
            return
        if self.active >= self.slots and self.waiting >= self.queue:
            await self.refuse(request)
            return
        if await self.on_arrival(request):
            return
        self.waiting += 1
        try:
            await self._slot.acquire()
        finally:
            self.waiting -= 1
        self.active += 1
        self.runs.append((now(), request))
        if self.record:
            self.record.add("run", server=self.name, attempt=request.attempt)
        try:
            await self.work(request)
        finally:
            self.active -= 1
            self._slot.release()

    async def on_arrival(self, request):
        """Answer a request at once, and return whether that was done."""
        return False


class Reply:
    """What a client saw."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.sent = now()
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.ended = 0.0
        self.problem = ""
        self.host = None

    def get(self, name):
        return self.headers.get(name.lower(), "")


def new_attempt():
    return f"{random.getrandbits(64):016x}"


async def call(
    address, path, *, method="POST", body=b"", headers=(), deadline=3.0, attempt=None
):
    """Send one request on a new channel, and read its answer."""
    reply = Reply(attempt or new_attempt())
    reply.host = address
    ip, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(deadline + 1.0):
            reader, writer = await asyncio.open_connection(ip, int(port))
            reply.sent = now()
            writer.write(request_bytes(method, path, body, headers, deadline, reply))
            await writer.drain()
            await read_reply(reader, reply)
    except (EOFError, OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        reply.problem = type(exc).__name__
    finally:
        reply.ended = now()
        if writer is not None:
            writer.transport.abort()
    return reply


def request_bytes(method, path, body, headers, deadline, reply):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {CALLERS_HOST}",
        f"X-Amaranthferry-Attempt-Id: {reply.attempt}",
        f"X-Amaranthferry-Deadline-Ms: {int(deadline * 1000)}",
    ]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def read_reply(reader, reply):
    first, reply.headers = await read_head(reader)
    reply.status = int(first.split(" ")[1])
    if "chunked" in reply.get("transfer-encoding"):
        async for part in read_chunks(reader):
            reply.body += part
    elif "content-length" in reply.headers:
        reply.body = await reader.readexactly(int(reply.get("content-length")))
    else:
        reply.body = await reader.read()
    reply.complete = True


class Host:
    """One entry host as a process, started by the command of the deploy file."""

    def __init__(self, name, ip, ports, store, folder, **settings):
        self.name, self.ip = name, ip
        self.front = f"{ip}:{ports[0]}"
        self.ready_at = f"{ip}:{ports[1]}"
        self.starts = 0
        self.process = None
        self._path = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        lines = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "edge",
            "serves": "edge",
            "ip": ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones.zone-a": "region-a",
            "listen.frontend": self.front,
            "listen.readiness": self.ready_at,
            "portRange": f"{ports[2]},{ports[3]}",
            "bootstrap": "true",
            "limits.cpuShare": 0.731,
            "limits.cpuCores": 1,
            "limits.memoryMb": 136,
            "limits.maxFds": 1535,
            "limits.linkMbps": 350.0,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,"
            "quota,platform",
            "bounds.seedLagS": 3,
            "bounds.reuseAfterS": 2,
            "bounds.contactMs": 3000,
            "bounds.ackMs": 4000,
            "bounds.catchUpS": 4,
            "bounds.drainMs": 2000,
            "bounds.graceS": 8,
            "bounds.lossSlackMs": 200,
            "bounds.configApplyMs": 2000,
            "bounds.rollbackSlackMs": 250,
            "bounds.partitionMaxMs": 5000,
            "bounds.strictRevoke": "true",
            "bounds.revokeMs": 5000,
            "bounds.retryBudgetRatio": 0.2,
            "bounds.budgetWindowS": 10,
            "bounds.retryBudgetExtra": 122,
            "bounds.quotaWindowS": 8,
            "bounds.quotaOverage": 0.1,
            "bounds.quotaSlack": 140000,
            "bounds.recoverS": 12,
            "bounds.passMs": 120,
            "bounds.retryAfterS": 10,
            "platform.address": store,
            "platform.form": "objects",
            "platform.writesPerS": 400,
            "platform.readsPerS": 2000,
            "platform.historyS": 20,
            "platform.valueBytes": 1048576,
            "platform.ttlMinMs": 1000,
        } | settings
        text = "".join(f"{key}={value}\n" for key, value in lines.items())
        self._path.write_text(text, encoding="utf-8")

    async def start(self):
        self.starts += 1
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "AMARANTHFERRY_SETTINGS": str(self._path),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def ready(self):
        """Return whether the readiness address answers 200."""
        ip, port = self.ready_at.split(":")
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _ = await read_head(reader)
                return first.split(" ")[1] == "200"
        except (EOFError, OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()


def free_ports(ips, count):
    """Return ports that are free on all addresses, in order."""
    for _ in range(200):
        base = random.randrange(20000, 60000 - count)
        with contextlib.ExitStack() as stack:
            try:
                for ip in ips:
                    for port in range(base, base + count):
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            sock = stack.enter_context(
                                socket.socket(socket.AF_INET, kind)
                            )
                            sock.bind((ip, port))
            except OSError:
                continue
            return list(range(base, base + count))
    raise RuntimeError("no free ports")


class Fleet:
    """A store, entry hosts and servers of a small deployment."""

    def __init__(self, folder, *, hosts=3, **settings):
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store()
        self.servers = []
        self.hosts = []
        self._count, self._settings = hosts, settings
        self.net = random.randrange(10, 250)

    async def start_store(self):
        await self.store.start("127.0.0.1")

    async def add_server(self, server):
        await server.start("127.0.0.1")
        server.record = self.record
        self.servers.append(server)
        await self.store.put("servers", server.name, server.entry())

    async def start_hosts(self):
        ips = [f"127.77.{self.net}.{number + 11}" for number in range(self._count)]
        ports = free_ports(ips, 4)
        for number, ip in enumerate(ips):
            self.hosts.append(
                Host(
                    f"edge-{number + 1}",
                    ip,
                    ports,
                    self.store.address,
                    self.temporary,
                    **self._settings,
                )
            )
        for host in self.hosts:
            await host.start()
        until = now() + 20
        while now() < until:
            if all([await host.ready() for host in self.hosts]):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the hosts did not become ready")

    async def stop(self):
        for host in self.hosts:
            with contextlib.suppress(ProcessLookupError):
                await host.kill()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def run(case, folder):
    """Run a case; exit with 0 if the rule held, 1 if not and 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        async with asyncio.timeout(110):
            return await case(Path(folder), trouble)

    try:
        broken = asyncio.run(limited())
    except Exception as exc:  # the case could not run
        print(f"could not run: {type(exc).__name__}: {exc}")
        if os.environ.get("DEBUG"):
            raise
        sys.exit(2)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
