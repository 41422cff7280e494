"""Stand-ins of the users' platform: its store, and what starts and ends processes."""

import asyncio
import contextlib
import copy
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

from wire import HttpServer, free_ports

ROOT = Path(__file__).resolve().parents[2]


class Store:
    """The platform's metadata store, as the page on what is spoken tells it."""

    def __init__(self):
        self.era = 1
        self._revision = 1
        self._kinds = {}
        self._history = []
        self._changed = asyncio.Event()
        self._http = HttpServer(self._answer)
        self._waiting = set()
        self._copies = []
        self.away = False
        #: Called with each request, before it is answered.
        self.on_call = lambda request: None

    @property
    def address(self):
        return self._http.address

    async def start(self, ip):
        await self._http.start(ip, 0)

    async def stop(self):
        await self._http.stop()

    async def go_away(self):
        """Be down: calls are reset, also those that wait."""
        self.away = True
        for channel in list(self._waiting):
            channel.reset()

    # What the operator and the servers do.

    def put(self, kind, name, spec):
        """Write an object; return the time of the ack."""
        objects = self._kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return time.monotonic()
        self._revision += 1
        created = known["metadata"]["created"] if known else self._revision
        objects[name] = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": created,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": spec,
            "status": None,
        }
        self._note(kind, objects[name], False)
        return time.monotonic()

    def remove(self, kind, name):
        """Remove an object; return the time of the ack."""
        item = self._kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            item = copy.deepcopy(item)
            item["metadata"]["revision"] = self._revision
            self._note(kind, item, True)
        return time.monotonic()

    def get(self, kind, name):
        item = self._kinds.get(kind, {}).get(name)
        return None if item is None else item["spec"]

    def _note(self, kind, item, deleted):
        event = {"object": item, "deleted": deleted}
        self._history.append((self._revision, kind, event))
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    # What befalls it.

    def cut_watches(self):
        """Cut off the watches that wait, by an orderly end of their channels."""
        for channel in list(self._waiting):
            channel.close()
        return len(self._waiting)

    def copy(self):
        """Return a copy of all that the store holds now."""
        return copy.deepcopy((self._revision, self._kinds, self._history))

    def restore(self, taken):
        """Come back from a copy; what was written since is gone."""
        self._revision, self._kinds, self._history = copy.deepcopy(taken)
        self.era += 1
        self._wake()

    # What it answers.

    async def _answer(self, request):
        self.on_call(request)
        if self.away:
            request.channel.reset()
            return False
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split("/")[2:]]
        await asyncio.sleep(0.004)
        status, body = 404, {"error": "missing"}
        if len(path) == 1 and request.method == "GET" and "watch" in query:
            found = await self._watch(path[0], query, request.channel)
            if found is None:
                return False
            status, body = found
        elif len(path) == 1 and request.method == "GET":
            status, body = self._list(path[0], query)
        elif len(path) == 1 and request.method == "POST":
            status, body = self._create(path[0], json.loads(request.body))
        elif len(path) == 2 and request.method == "GET":
            item = self._kinds.get(path[0], {}).get(path[1])
            if item is not None:
                status, body = 200, item
        elif len(path) == 2 and request.method == "DELETE":
            if path[1] in self._kinds.get(path[0], {}):
                self.remove(path[0], path[1])
                status, body = 200, {}
        fields = [("Content-Type", "application/json"), ("Store-Era", self.era)]
        await request.channel.answer(status, fields, json.dumps(body).encode())
        return True

    def _list(self, kind, query):
        after = query.get("sinceRevision", "")
        names = sorted(name for name in self._kinds.get(kind, {}) if name > after)
        entries = [self._kinds[kind][name] for name in names[:500]]
        more = len(names) > 500
        return 200, {"entries": entries, "hasMore": more, "at": self._revision}

    def _create(self, kind, body):
        name = body["metadata"]["name"]
        if name in self._kinds.get(kind, {}):
            return 409, self._kinds[kind][name]
        self.put(kind, name, body.get("spec"))
        return 200, self._kinds[kind][name]

    async def _watch(self, kind, query, channel):
        since = int(query["watch"])
        wait = min(30.0, int(query.get("waitMs", "0")) / 1_000)
        until = time.monotonic() + wait
        era = self.era
        self._waiting.add(channel)
        try:
            while True:
                if since > self._revision or era != self.era:
                    return 410, {"error": "gone"}
                events = [
                    event
                    for revision, of, event in self._history
                    if of == kind and revision > since
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self._revision}
                if self.away or channel.writer.is_closing():
                    return None
                try:
                    async with asyncio.timeout(min(left, 0.25)):
                        await self._changed.wait()
                except TimeoutError:
                    pass
        finally:
            self._waiting.discard(channel)


BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "partitionMaxMs": 5000,
    "strictRevoke": "true",
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetExtra": 122,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 140000,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 10,
}


class Host:
    """One machine of the system: its process, as the platform starts and ends it."""

    def __init__(self, number, folder, store, *, memory_mb=136, zone="zg-a"):
        self.name = f"edge-{zone}-{number}"
        self.ip = f"127.77.{os.getpid() % 200 + 1}.{number}"
        self.folder = Path(folder)
        self.memory_mb = memory_mb
        front, ready, peer, metrics = free_ports(self.ip, 4)
        self.frontend = f"{self.ip}:{front}"
        self.readiness = f"{self.ip}:{ready}"
        self.metrics = f"{self.ip}:{metrics}"
        self.process = None
        self.starts = 0
        self.settings = self.folder / f"{self.name}.conf"
        lines = {
            "nodeName": self.name,
            "role": "entry",
            "machineClass": "edge",
            "serves": "edge",
            "ip": self.ip,
            "zone": zone,
            "region": "hr-kontinent",
            f"zones.{zone}": "hr-kontinent",
            "listen.frontend": self.frontend,
            "listen.readiness": self.readiness,
            "portRange": f"{peer},{metrics}",
            "seeds": "",
            "bootstrap": "true",
            "faultCounted": "false",
            "limits.cpuShare": 0.731,
            "limits.cpuCores": 1,
            "limits.memoryMb": memory_mb,
            "limits.maxFds": 1535,
            "limits.linkMbps": 350.0,
            "limits.diskMb": 0,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,"
            "tenants,quota,platform",
            "faultTolerance.machines": 1,
            "faultTolerance.zones": 0,
            "faultTolerance.regions": 0,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "platform.address": store.address,
            "platform.form": "objects",
            "platform.writesPerS": 400,
            "platform.readsPerS": 2000,
            "platform.historyS": 20,
            "platform.valueBytes": 1048576,
            "platform.ttlMinMs": 1000,
        }
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self.settings.write_text(text, encoding="utf-8")

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = deploy["roles"]["entry"]["run"].split(" ")
        self.starts += 1
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["AMARANTHFERRY_SETTINGS"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.log_path = self.folder / f"{self.name}.{self.starts}.log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)

    def kill(self):
        if self.running:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory(self):
        """Return the memory in MB that is the process's own, without mapped files."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text("utf-8")
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1_024
        return 0.0

    def log_lines(self):
        return self.log_path.read_text("utf-8", errors="replace").splitlines()


async def is_ready(host):
    """Ask a machine whether it is ready, as the platform does."""
    ip, _, port = host.readiness.rpartition(":")
    try:
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False


async def wait_ready(hosts, timeout=15.0):
    """Wait until all machines are ready; return whether they are."""
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        if all(await asyncio.gather(*(is_ready(host) for host in hosts))):
            return True
        await asyncio.sleep(0.1)
    return False


def end_all(hosts):
    """End all processes that were started."""
    for host in hosts:
        host.signal(signal.SIGCONT)
        host.kill()


class Record:
    """What was sent, answered and run, written to a file as it happens."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, text):
        at = time.monotonic() - self._began
        self._file.write(f"{at:9.3f} {text}\n")
        self._file.flush()

    def now(self):
        return time.monotonic() - self._began


async def limit_memory(hosts, record, *, restart_after=0.5):
    """End each process that exceeds its machine's memory, and start it again.

    Return never; `ends` of each machine counts how often that has happened.
    """
    for host in hosts:
        host.ends = 0
        host.peak = 0.0
    while True:
        await asyncio.sleep(0.05)
        for host in hosts:
            used = host.memory() if host.running else 0.0
            host.peak = max(host.peak, used)
            if used > host.memory_mb:
                host.ends += 1
                record(f"platform  {host.name} uses {used:.0f} MB and is killed")
                host.kill()
                asyncio.get_running_loop().call_later(restart_after, host.start)


class NotRun(Exception):
    """The case couldn't run."""


def run_case(folder, case, *, limit=112.0):
    """Run a case; exit with 1 if it returns that the rule was broken, 0 if not.

    `case` is awaited with a record, a temporary folder and whether there is trouble.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record(f"trouble   {'yes' if trouble else 'no'}")

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(limit):
                return await case(record, temporary, trouble)

    # An error of the script itself says nothing of the rule, whatever it is.
    try:
        broken, text = asyncio.run(run())
    except BaseException as exc:
        code, text = 2, f"not run: {type(exc).__name__}: {exc}"
    else:
        code, text = int(broken), f"{'BROKEN' if broken else 'held'}: {text}"
    record(text)
    with contextlib.suppress(OSError):
        sys.stdout.write(f"{text}\n")
        sys.stdout.flush()
    os._exit(code)
