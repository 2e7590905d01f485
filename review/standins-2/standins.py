"""Stand-ins of the platform's store and of application servers, and the start of nodes.

They follow PROTOCOL.md and DEPLOY.md of the users: where a page is silent they behave like a sound
store, server or platform. Python's standard library only; every address is a loopback address.
"""

import asyncio
import base64
import collections
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Seconds after which a server or client that waits for a complete message gives up.
READ_LIMIT = 30.0
HEARTBEAT_INTERVAL = 1.5
DRAIN = 2.0


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


def now():
    return time.monotonic()


# --- HTTP -----------------------------------------------------------------------------------------


async def read_head(reader):
    """First line and headers (lower-case names) of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data[:-4].decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while await reader.readuntil(b"\r\n") != b"\r\n":
                    pass
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read(-1) if until_close else b""


def no_delay(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


# --- the platform's store -------------------------------------------------------------------------


class Store:
    """Key-value store with leases and watches. It answers after 4 ms."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.last_lease = 0
        # Behaviour towards one address, or towards all under "*": "silent", "busy", "reset".
        self.trouble = {}

    async def start(self, ip, port):
        self.changed = asyncio.Event()
        try:
            self.server = await asyncio.start_server(self.serve, ip, port, backlog=512)
        except OSError as error:
            raise CannotRun(f"the store cannot listen: {error}")
        self.expiry = asyncio.create_task(self.expire())

    async def write(self, puts, deletes=()):
        self.revision += 1
        for put in puts:
            key = put["key"]
            created = self.items[key]["created_rev"] if key in self.items else self.revision
            self.items[key] = {
                "key": key,
                "value": put["value"],
                "revision": self.revision,
                "created_rev": created,
                "lease_id": put.get("lease_id", 0),
            }
            self.events.append({"key": key, "revision": self.revision, "value": put["value"]})
        for key in deletes:
            if self.items.pop(key, None):
                self.events.append({"key": key, "revision": self.revision, "deleted": True})
        # Wakes the watches of now; later ones wait for the next change.
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def operator_writes(self, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self.write([{"key": key, "value": value}])

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease_id"] == lease]
        if keys:
            await self.write([], keys)

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease in [lease for lease, (end, _) in self.leases.items() if end < now()]:
                await self.end_lease(lease)

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                await asyncio.sleep(0.004)
                trouble = self.trouble.get(peer) or self.trouble.get("*")
                if trouble == "silent":
                    await asyncio.sleep(3600)
                if trouble == "reset":
                    writer.transport.abort()
                    return
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query, True).items()}
                if trouble == "busy":
                    status, answer = 503, {}
                else:
                    request = json.loads(body) if body else {}
                    status, answer = await self.handle(method, url.path, query, request)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, query, request):
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "at_rev": self.revision}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return await self.transact(request)
        if path == "/kv-lease":
            self.last_lease += 1
            ttl = max(1.0, float(request["ttl_s_time"]))
            self.leases[self.last_lease] = (now() + ttl, ttl)
            return 200, {"lease_id": self.last_lease, "ttl_s_time": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl, ttl)
            return 200, {}
        await self.end_lease(lease)
        return 200, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = now() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - now()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def transact(self, request):
        for put in request.get("puts", []):
            if put.get("lease_id") and put["lease_id"] not in self.leases:
                return 404, {}
        current, holds = [], True
        for expected in request.get("expected", []):
            item = self.items.get(expected["key"])
            holds &= (item["revision"] if item else 0) == expected["revision"]
            empty = {"key": expected["key"], "value": "", "revision": 0, "created_rev": 0}
            current.append(item or empty)
        if not holds:
            return 412, {"items": current}
        await self.write(request.get("puts", []), request.get("deletes", []))
        return 200, {"revision": self.revision}


def route(name, host, prefix, kind, service, timeout_s):
    spec = {
        "hostname": host,
        "prefix": prefix,
        "route_type": kind,
        "timeout_s": timeout_s,
        "target_latency_s": timeout_s / 2,
        "priority": 0 if kind == "non_idempotent" else 2,
        "attempts": 3,
        "service": service,
    }
    return {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}


def document(version, routes, services, max_connections):
    """The operator's configuration."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    }
    entries = [
        {
            "resource_type": "services",
            "metadata": {"name": service},
            "spec": {"health_path": "/healthz", "max_connections": max_connections},
        }
        for service in services
    ]
    entry = {"resource_type": "limits", "metadata": {}, "spec": limits}
    return {"version": version, "resources": [*routes, *entries, entry]}


# --- application servers --------------------------------------------------------------------------


def pattern(name, size):
    """Body that tells whose it is."""
    unit = f"{name}|".encode()
    return (unit * (size // len(unit) + 1))[:size]


class Server:
    """Application server on the machine `ip`. `work` gives seconds of work of a request by its id.

    `runs` maps the id of a request to the times at which servers began to run it, `answered` to the
    status of the complete answer that was written.
    """

    def __init__(self, ip, service, slots, queue, work, answer_size, runs, answered):
        self.ip, self.service, self.slots, self.queue = ip, service, slots, queue
        self.work, self.answer_size = work, answer_size
        self.runs, self.answered = runs, answered
        self.id = f"i-{service}-{ip.replace('.', '-')}"
        self.running, self.waiting = 0, collections.deque()
        self.sequence = 0
        self.leaving = False

    async def start(self):
        self.born = int(time.time() * 1000)
        try:
            self.server = await asyncio.start_server(self.serve, self.ip, 8301, backlog=1024)
        except OSError as error:
            raise CannotRun(f"a server cannot listen: {error}")
        self.heartbeats = asyncio.create_task(self.beat())

    async def post(self, path, message):
        data = json.dumps({**message, "born": self.born}).encode()
        head = f"POST {path} HTTP/1.1\r\nHost: {self.ip}\r\nContent-Type: application/json\r\n"
        writer = None
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, 8306)
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                return line.split(" ")[1].startswith("2")
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            if writer:
                writer.close()

    async def heartbeat(self):
        self.sequence += 1
        message = {
            "service": self.service,
            "address": f"{self.ip}:8301",
            "zone": "zone",
            "version": "v1",
            "max_concurrency": self.slots,
            "state": "draining" if self.leaving else "ready",
            "cold_remaining_s": 0,
            "sequence": self.sequence,
        }
        return await self.post(f"/Instances.Heartbeat/{self.id}", message)

    async def beat(self):
        while True:
            acknowledged = await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL if acknowledged else 0.3)

    async def serve(self, reader, writer):
        no_delay(writer)
        try:
            while True:
                line, headers = await asyncio.wait_for(read_head(reader), READ_LIMIT)
                path = line.split(" ")[1]
                if path == "/healthz":
                    await self.answer_health(writer)
                else:
                    await self.answer(path, headers, reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, TimeoutError):
            pass
        finally:
            writer.close()

    async def answer_health(self, writer):
        status = 503 if self.leaving else 200
        head = f"HTTP/1.1 {status} X\r\nX-Instance-Id: {self.id}\r\n"
        writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())
        await writer.drain()

    async def answer(self, path, headers, reader, writer):
        name = headers.get("x-attempt-id", "")
        body = await asyncio.wait_for(read_body(reader, headers), READ_LIMIT)
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.id):
            await self.reply(writer, 421, name, "", b"")
            return
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                await self.reply(writer, 503, name, "X-Not-Executed: 1\r\n", b"full")
                return
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        else:
            self.running += 1
        try:
            self.runs.setdefault(name, []).append((now(), self.id, body))
            await self.begin(name)
            await asyncio.sleep(self.work(name))
        finally:
            self.free()
        seal = f"X-Server-Seal: {self.id}.{name}\r\nKeep-Alive: timeout=30\r\n"
        await self.reply(writer, 200, name, seal, pattern(name, self.answer_size))
        self.answered[name] = 200

    async def begin(self, name):
        """What happens to the server when it begins to run a request."""

    def free(self):
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    async def reply(self, writer, status, name, fields, body):
        head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {name}\r\n{fields}"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()


class CrashingServer(Server):
    """Server that crashes `after` seconds of work on a request, if `crashes(id)` says so.

    It works on such a request also after the connection of the request was closed. A crash ends its
    process: it accepts no more connections, all that are open are reset, and it sends nothing more.
    `DOWN` seconds later it is back at its address, as a new boot with a new id.
    """

    DOWN = 2.0

    def __init__(self, *arguments, crashes, after=0.0):
        super().__init__(*arguments)
        self.crashes, self.after = crashes, after
        self.boot = 0
        self.connections = {}
        self.fatal = set()
        # Time and id of each crash.
        self.crashed = []

    async def start(self):
        self.boot += 1
        self.id = f"i-{self.service}-{self.ip.replace('.', '-')}-{self.boot}"
        self.running, self.sequence = 0, 0
        self.waiting.clear()
        await super().start()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.connections[task] = writer
        try:
            await super().serve(reader, writer)
        finally:
            self.connections.pop(task, None)

    async def begin(self, name):
        if not self.crashes(name):
            return
        self.fatal.add(asyncio.create_task(self.crash(self.id)))
        # Its answer never comes.
        await asyncio.sleep(3600)

    async def crash(self, boot):
        await asyncio.sleep(self.after)
        if self.id != boot or not self.server.is_serving():
            return
        self.crashed.append((now(), self.id))
        self.server.close()
        self.heartbeats.cancel()
        for task, writer in list(self.connections.items()):
            writer.transport.abort()
            task.cancel()
        await asyncio.sleep(self.DOWN)
        await self.start()


# --- nodes ----------------------------------------------------------------------------------------


def render(template, fields):
    """Fills in the parts of the template language that `deploy/node.yaml` uses."""

    def value(path, scope):
        for part in path.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)] if int(part) < len(scope) else None
            else:
                scope = scope.get(part) if isinstance(scope, dict) else None
        return scope

    def section(match):
        found = value(match.group(1), fields)
        if found is None or found is False:
            return ""
        if not isinstance(found, dict):
            return match.group(2)
        entries = [
            match.group(2).replace("{{@}}", key).replace("{{.}}", str(entry))
            for key, entry in found.items()
        ]
        return "".join(entries)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n(.*?)\{\{/\1\}\}\n", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(value(match.group(1), fields)), text)


class Node:
    """The project's own program on the machine `ip`, as the deploy file starts it."""

    def __init__(self, ip, zone, zones, store, service, memory_mb, folder):
        self.ip = ip
        fields = {
            "node_ip": ip,
            "zone": zone,
            "zones": {name: "region" for name in zones},
            "port_range": [7620, 7635],
            "listen_addrs": {
                "inbound_addr": f"{ip}:8300",
                "outbound_addr": f"{ip}:8304",
                "ready": f"{ip}:8302",
                "control_addr": f"{ip}:8306",
            },
            "platform": {"address": store},
            "service": service,
            "app_addr": f"{ip}:8301",
            "limits": {"memory_mb": memory_mb},
            "contract_params": {
                "budget_ratio": 0.2,
                "budget_slack": 48,
                "budget_window_s": 10,
                "grace_s": 6,
            },
        }
        with open(f"{ROOT}/deploy/system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        with open(f"{ROOT}/{role['template']}") as file:
            text = render(file.read(), fields)
        self.settings = f"{folder}/{ip}.yaml"
        with open(self.settings, "w") as file:
            file.write(text)
        self.command = role["run"].replace("/etc/cactusyoke/local.json", self.settings).split(" ")
        self.log = f"{folder}/{ip}.log"
        self.process = None

    def start(self):
        if not os.path.exists(f"{ROOT}/{self.command[0]}"):
            raise CannotRun(f"{self.command[0]} is missing: run the build of deploy/system.toml")
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT
            )

    def running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ready(self):
        """What the platform's question finds: true for a 200."""
        writer = None
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, 8302)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                line, _ = await read_head(reader)
                return line.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            if writer:
                writer.close()


async def ask(address, host, path, name, body, limit_s):
    """Sends one request on a new connection; returns the status and body of its answer.

    The status is "closed" or "no answer in time" where there is no complete answer.
    """
    writer = None
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(address, 8304)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {name}\r\n"
            f"X-Deadline-Ms: {int(limit_s * 1000)}\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        writer.write(head.encode() + body)
        async with asyncio.timeout(limit_s + 1):
            line, headers = await read_head(reader)
            answer = await read_body(reader, headers, until_close=True)
        return int(line.split(" ")[1]), answer.decode("latin1")
    except TimeoutError:
        return "no answer in time", ""
    except (OSError, asyncio.IncompleteReadError):
        return "closed", ""
    finally:
        if writer:
            writer.close()


def raise_file_limit():
    """Up to the limit that the machine allows anyway."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 8192 if hard == resource.RLIM_INFINITY else min(8192, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def free_network():
    """Second byte of a loopback network whose addresses nobody uses on the ports of a machine."""
    for byte in random.sample(range(40, 240), 20):
        try:
            for port in (7000, 7620, 8300, 8301, 8302, 8304, 8306):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"127.{byte}.1.1", port))
            return byte
        except OSError:
            continue
    raise CannotRun("no loopback network is free")


def main(case):
    """Runs `case(trouble, folder, record)`, which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = tempfile.mkdtemp(prefix="cactusyoke-case-")
    path = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt")
    raise_file_limit()
    try:
        with open(path, "w") as record:
            held = asyncio.run(asyncio.wait_for(case(trouble, folder, record), 110))
    except (CannotRun, TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        return 2
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
