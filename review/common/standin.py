"""Stand-ins for the platform of mountgap, for the cases of this review: state service, cloud, workers and users,
written from PROTOCOL-mountgap.md. Everything runs in one process on loopback addresses. Only the Python standard
library is used.
"""
import asyncio
import bisect
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


CHOSEN_PORTS = set()


def free_port():
    """A port that is free now, below the range from which outgoing connections take theirs."""
    while True:
        port = random.SystemRandom().randrange(10000, 32000)
        if port in CHOSEN_PORTS:
            continue
        CHOSEN_PORTS.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


# HTTP ------------------------------------------------------------------------------------------------------


async def read_message(reader):
    """First line, headers and body of one message; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", 0))
    if length:
        body = await reader.readexactly(length)
    return lines[0], headers, body


def response_bytes(status, value):
    body = json.dumps(value, separators=(",", ":")).encode()
    return (f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


async def serve(port, handler):
    """Serves HTTP; `handler(method, path, body)` returns status and value, or None to close without an answer."""

    async def on_connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ")
                answer = await handler(method, path, json.loads(body) if body else None)
                if answer is None:
                    break
                writer.write(response_bytes(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, "127.0.0.1", port, backlog=512)


class Client:
    """A connection that is kept open between requests."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, value=None, timeout=5.0):
        """Status, value and headers; raises on a failed connection or when the time is up."""
        try:
            return await asyncio.wait_for(self._request(method, path, value), timeout)
        except BaseException:
            self.close()
            raise

    async def _request(self, method, path, value):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 22)
        body = b"" if value is None else json.dumps(value).encode()
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        )
        first, headers, body = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        status = int(first.split(" ")[1])
        return status, json.loads(body) if body else None, headers


FAILURES = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError)


# State service ---------------------------------------------------------------------------------------------


class Bucket:
    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, count=1.0):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class State:
    """The state service. Each controller reaches it at a port of its own, so that one alone can be refused."""

    def __init__(self, limits):
        self.limits = limits
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.keys, self.revision, self.events = {}, 0, []
        self.order = []  # the keys, sorted
        self.leases, self.next_lease, self.held = {}, 1, {}
        self.changed = asyncio.Event()
        self.refused = set()  # controllers that get 503
        self.served_again = asyncio.Event()
        self.delay = {}  # seconds that answers to reads of a controller are late
        self.on_commit = None

    def fill(self, values):
        """Fills the empty store with what controllers have written before: pairs of key and value, each a change."""
        for key, data in values:
            self.revision += 1
            self.keys[key] = (data, self.revision, None)
        self.order = sorted(self.keys)

    def put(self, key, data, lease):
        if key not in self.keys:
            bisect.insort(self.order, key)
        self.keys[key] = (data, self.revision, lease)
        if lease is not None:
            self.held.setdefault(lease, set()).add(key)
        self.events.append((self.revision, key, data))

    def remove(self, key):
        if self.keys.pop(key, None) is not None:
            del self.order[bisect.bisect_left(self.order, key)]
        self.events.append((self.revision, key, None))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def refuse(self, node, refused=True):
        (self.refused.add if refused else self.refused.discard)(node)
        self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.refused and len(self.refused) >= self.limits.get("nodes", 3):
                continue
            for lease in [lease for lease, (ends, _) in self.leases.items() if ends <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key in self.held.pop(lease, ()) if key in self.keys and self.keys[key][2] == lease]:
            self.revision += 1
            self.remove(key)
        self.notify()

    async def handle(self, node, method, path, body):
        if not self.requests.take():
            return 429, {"error": "too many requests"}
        path, _, query = path.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if path == "/changes":
            return await self.watch(node, query)
        if node in self.refused:
            return 503, {"error": "trouble"}
        await asyncio.sleep(random.uniform(0.002, 0.006))
        if (method, path) == ("POST", "/commit"):
            return self.commit(node, body)
        if (method, path) == ("GET", "/store"):
            return self.list(query)
        if (method, path) == ("POST", "/holds"):
            lease = self.next_lease
            self.next_lease += 1
            life = body["life_ms"] / 1000
            self.leases[lease] = (time.monotonic() + life, life)
            return 200, {"tenancy": lease}
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.end_lease(lease)
            else:
                life = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + life, life)
            return 200, {"tenancy": lease}
        if path.startswith("/store/"):
            stored = self.keys.get(path[len("/store/"):])
            if stored is None:
                return 404, {"ledger_rev": self.revision}
            return 200, {"key": path[len("/store/"):], "data": stored[0], "stamp": stored[1]}
        return 400, {"error": "no such request"}

    async def watch(self, node, query):
        since, block = int(query.get("since", 0)), int(query.get("block_ms", 0)) / 1000
        prefix, until = query.get("prefix", ""), time.monotonic() + block
        if block == 0 and node in self.refused:
            return 503, {"error": "trouble"}
        if block == 0:
            await asyncio.sleep(random.uniform(0.002, 0.006))
        while True:
            changed = self.changed
            # An open watch of a controller that is refused waits.
            if node not in self.refused:
                events = [event for event in self.tail(since) if event[1].startswith(prefix)]
                if events or time.monotonic() >= until:
                    break
            left = until - time.monotonic() if node not in self.refused else 1.0
            try:
                await asyncio.wait_for(changed.wait(), max(left, 0.01))
            except asyncio.TimeoutError:
                pass
        if since < (self.events[0][0] if self.events else self.revision + 1) - 1:
            return 410, {"error": "too old"}
        revision = self.revision
        delay = self.delay.get(node, 0)
        if delay:
            await asyncio.sleep(delay() if callable(delay) else delay)
        listed = []
        for stamp, key, data in events:
            listed.append({"remove": key, "stamp": stamp} if data is None else {"write": key, "data": data, "stamp": stamp})
        return 200, {"ledger_rev": revision, "events": listed}

    def tail(self, since):
        index = len(self.events)
        while index > 0 and self.events[index - 1][0] > since:
            index -= 1
        return self.events[index:]

    def commit(self, node, body):
        conditions, writes = body.get("if", []), body.get("writes", [])
        if len(writes) > self.limits["txn_ops"] or len(conditions) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many"}
        size = self.limits["value_kb"] * 1024
        if any(len(json.dumps(write["data"], separators=(",", ":"))) > size for write in writes if "write" in write):
            return 400, {"error": "value too large"}
        if writes and not self.writes.take(len(writes)):
            return 429, {"error": "too many changes"}
        stamp_of = lambda key: self.keys[key][1] if key in self.keys else 0
        failed = [condition["key"] for condition in conditions if stamp_of(condition["key"]) != condition["stamp"]]
        if any(write.get("tenancy") is not None and write["tenancy"] not in self.leases for write in writes):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if writes:
            self.revision += 1
            for write in writes:
                if "write" in write:
                    self.put(write["write"], write["data"], write.get("tenancy"))
                else:
                    self.remove(write["remove"])
            del self.events[:-10000]
            self.notify()
            if self.on_commit:
                self.on_commit(node, writes)
        return 200, {"ledger_rev": self.revision}

    def list(self, query):
        prefix, since, limit = query.get("prefix", ""), query.get("since", ""), int(query.get("limit", 1000))
        begin = bisect.bisect_right(self.order, since) if since >= prefix else bisect.bisect_left(self.order, prefix)
        items, size, has_next = [], 0, False
        for key in self.order[begin : begin + min(limit, 1000) + 1]:
            if not key.startswith(prefix):
                break
            data, stamp, _ = self.keys[key]
            size += len(str(data)) + len(key) + 40
            if len(items) == min(limit, 1000) or (items and size > 512 * 1024):
                has_next = True
                break
            items.append({"key": key, "data": data, "stamp": stamp})
        return 200, {"items": items, "has_next": has_next, "ledger_rev": self.revision}


# Cloud and workers -----------------------------------------------------------------------------------------


class Task:
    def __init__(self, load, attempt, spec, ready_at, gang):
        self.load, self.attempt, self.spec, self.gang = load, attempt, spec, gang
        self.ready_at, self.running_at, self.ends_at = ready_at, None, None
        self.status, self.cause, self.saved = "pulling", None, False
        self.deadline = None


class Worker:
    """The worker of one machine."""

    def __init__(self, world, name, build, yard, lendables):
        self.world, self.name, self.build, self.yard, self.lendables = world, name, build, yard, lendables
        self.tasks, self.images = {}, {}
        self.tenure, self.tally, self.baton = 1, 0, 0
        self.lease_from = time.monotonic()
        self.node, self.client = random.randrange(len(world.public)), None
        self.gone = False
        self.reports_refused = set()  # controllers that this worker can't reach
        self.changed = asyncio.Event()

    def note(self, text):
        self.world.note(f"{self.name}: {text}")

    def used(self):
        active = [task.spec for task in self.tasks.values() if task.status != "ended"]
        return [sum(spec[field] for spec in active) for field in ("cores", "gpus", "ram_gb")]

    def advance(self):
        now, changed = time.monotonic(), False
        for task in self.tasks.values():
            if task.status == "pulling" and now >= task.ready_at and task.load in self.world.results:
                # The result is kept: started again, the task exits as soon as it has its image.
                self.end(task, "done")
                changed = True
            elif task.status == "pulling" and now >= task.ready_at:
                task.status, task.running_at = "running", now
                run = self.world.run_times.get(task.load.split("/")[0])
                task.ends_at = None if task.spec["shape"] == "standing" or run is None else now + run
                if task.load.split("/")[0] in self.world.mistaken:
                    task.ends_at = now
                self.world.task_event("on", self, task)
                changed = True
            elif task.status == "running" and task.ends_at is not None and now >= task.ends_at:
                self.end(task, "error" if task.load.split("/")[0] in self.world.mistaken else "done")
                changed = True
            elif task.status == "flushing" and now >= task.deadline:
                task.saved = True
                self.end(task, "halted")
                changed = True
        if now - self.lease_from > self.world.workers["lease_s"]:
            for task in self.tasks.values():
                if task.status in ("running", "flushing"):
                    self.world.task_event("killed", self, task)
            if self.tasks:
                self.note(f"lease over, {len(self.tasks)} tasks killed")
            self.tasks.clear()
            self.tenure, self.tally, self.lease_from = self.tenure + 1, 0, now
            changed = True
        return changed

    def end(self, task, cause):
        was_on = task.status in ("running", "flushing")
        task.status, task.cause = "ended", cause
        if cause == "done":
            self.world.results.add(task.load)
        if was_on:
            self.world.task_event("off " + cause, self, task)

    def report(self):
        self.tally += 1
        loads = []
        for task in self.tasks.values():
            entry = {"load": task.load, "try": task.attempt, "status": task.status}
            if task.status == "ended":
                entry["cause"] = task.cause
                if task.cause == "halted":
                    entry["saved"] = task.saved
            loads.append(entry)
        return {"stead": self.name, "address": "127.0.0.1:1", "build": self.build, "yard": self.yard,
                "lendables": self.lendables, "tenure": self.tenure, "tally": self.tally, "baton": self.baton,
                "recall_s": None, "loads": loads}

    def execute(self, order):
        key, now = (order["load"], order["try"]), time.monotonic()
        task = self.tasks.get(key)
        if order["verb"] == "start":
            self.world.on_start(self, order)
            if task is None:
                self.start(order, key, now)
        elif order["verb"] == "halt" and task is not None and task.status != "ended":
            spec = task.spec
            if task.status == "running" and spec["mark_every_s"] > 0 and order["wind_down_s"] >= spec["mark_cost_s"]:
                task.status, task.deadline = "flushing", now + spec["mark_cost_s"]
            elif task.status != "flushing" or order["wind_down_s"] == 0:
                self.end(task, "halted")
        elif order["verb"] == "clear" and task is not None and task.status == "ended":
            del self.tasks[key]

    def start(self, order, key, now):
        job, _, index = order["load"].rpartition("/")
        spec = self.world.specs.get(job)
        if spec is None or int(index) >= spec["loads"]:
            task = Task(order["load"], order["try"], dict(cores=0, gpus=0, ram_gb=0, shape="batch", mark_every_s=0), now, 0)
            task.status, task.cause = "ended", "no_such"
        else:
            ready_at = self.images.setdefault(spec["kit"], now + spec["size_gb"] / self.world.pull_gb_per_s)
            task = Task(order["load"], order["try"], spec, max(now, ready_at), 0)
            have = self.world.builds[self.build]
            need = [used + spec[field] for used, field in zip(self.used(), ("cores", "gpus", "ram_gb"))]
            if any(other.load == order["load"] and other.status != "ended" for other in self.tasks.values()):
                task.status, task.cause = "ended", "busy"
            elif any(n > h + 1e-9 for n, h in zip(need, (have["cores"], have["gpus"], have["ram_gb"]))):
                task.status, task.cause = "ended", "no_room"
        self.tasks[key] = task

    async def run(self):
        period = self.world.workers["report_s"]
        while not self.gone:
            self.advance()
            sent_at, tenure = time.monotonic(), self.tenure
            pause = await self.send(sent_at, tenure)
            if self.gone:
                return
            next_at = sent_at + period * random.uniform(0.75, 1.25) if pause is None else time.monotonic() + pause
            while time.monotonic() < next_at and not self.gone:
                await asyncio.sleep(0.05)
                # Changes are reported at once, but not more often than every half second.
                if self.advance() and pause is None:
                    next_at = min(next_at, max(sent_at + 0.5, time.monotonic()))

    async def send(self, sent_at, tenure):
        """Sends a report; returns after how many seconds to try again, None after a 200."""
        if self.client is None or self.client.port != self.world.public[self.node]:
            if self.client:
                self.client.close()
            self.client = Client(self.world.public[self.node])
        try:
            if self.node in self.reports_refused:
                await asyncio.sleep(4.0)
                raise asyncio.TimeoutError
            status, value, _ = await self.client.request("POST", "/checkin", self.report(), timeout=4.0)
        except FAILURES:
            status, value = None, None
        if self.gone:
            return None
        if status == 200:
            self.advance()
            if tenure != self.tenure or value.get("baton", -1) < self.baton:
                return None
            if value["baton"] > self.baton:
                self.baton = value["baton"]
            self.lease_from = max(self.lease_from, sent_at)
            for order in value["orders"]:
                self.execute(order)
            return None
        if status == 421 and value and value.get("steward") in self.world.labels:
            node = self.world.labels.index(value["steward"])
            if node != self.node:
                self.node = node
                return random.uniform(0, 0.5)
        self.node = (self.node + 1) % len(self.world.public)
        return 1.0


class World:
    """Cloud, workers, users and the controllers' processes of one run."""

    running = []

    def __init__(self, directory, controllers=3, zones=("obihiro-north",), teams=(), workers=None, state=None,
                 cloud=None, builds=None, capacity=None, pull_gb_per_s=1.0, boot_s=2.0):
        self.running.append(self)
        self.started_at = time.monotonic()
        self.record = open(os.path.join(os.environ.get("RECORD_DIR", directory), "record.txt"), "w", buffering=1)
        self.temporary = tempfile.TemporaryDirectory(prefix="mountgap-review-")
        self.zones, self.teams = list(zones), list(teams)
        self.workers = workers or {"report_s": 2.5, "lease_s": 16.0, "gang_wait_s": 35.0, "gang_peer_s": 4.0, "cancel_s": 36.0}
        self.state_limits = state or {"rps": 200.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 16}
        self.cloud_limits = cloud or {"rps": 6.0, "list_lag_s": 5.0}
        self.builds = {build["sku"]: build for build in builds}
        self.capacity, self.pull_gb_per_s, self.boot_s = dict(capacity or {}), pull_gb_per_s, boot_s
        self.labels = [f"stead-{node}" for node in range(controllers)]
        self.public = [free_port() for _ in self.labels]
        self.peer = [free_port() for _ in self.labels]
        self.state_ports = [free_port() for _ in self.labels]
        self.cloud_ports = [free_port() for _ in self.labels]
        self.processes = [None] * controllers
        self.state = State({**self.state_limits, "nodes": controllers})
        self.machines, self.rentals, self.numbers = {}, {}, 0
        self.specs, self.run_times = {}, {}
        self.results = set()  # tasks that have completed
        self.mistaken = set()  # jobs that were submitted with a mistake: they fail on every machine
        self.starts, self.events = [], []
        self.on_start_hook = None
        self.background = []

    def now(self):
        return time.monotonic() - self.started_at

    def note(self, text):
        self.record.write(f"{self.now():9.3f} {text}\n")

    # Controllers

    def write_settings(self, node):
        peers = [{"label": self.labels[n], "zone": self.zones[n % len(self.zones)], "address": f"127.0.0.1:{self.peer[n]}"}
                 for n in range(len(self.labels)) if n != node]
        settings = {
            "label": self.labels[node], "zone": self.zones[node % len(self.zones)],
            "listen": f"127.0.0.1:{self.public[node]}", "peer_bind": f"127.0.0.1:{self.peer[node]}", "peers": peers,
            "services": {"cloud": f"127.0.0.1:{self.cloud_ports[node]}", "state": f"127.0.0.1:{self.state_ports[node]}"},
            "params": {"nodes": len(self.labels), "zones": self.zones, "teams": self.teams, "objectives": [],
                       "workers": self.workers, "state": self.state_limits, "cloud": self.cloud_limits,
                       "machine_limits": {"core_share": 0.24, "mem_mb": 104.0, "sockets": 1800}, "time_bound_ms": 1000.0}}
        path = os.path.join(self.temporary.name, f"{self.labels[node]}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        return path

    def start_controller(self, node):
        # The command of deploy/service.toml.
        with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
            run = next(line.split('"')[1] for line in file if line.startswith("run"))
        log = open(os.path.join(self.temporary.name, f"{self.labels[node]}.log"), "a")
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        self.processes[node] = subprocess.Popen(run.split() + [self.write_settings(node)], cwd=ROOT, stderr=log,
                                                stdout=log, env=environment)
        self.note(f"{self.labels[node]} started")

    def kill_controller(self, node):
        process = self.processes[node]
        if process and process.poll() is None:
            process.kill()
            process.wait()
            self.note(f"{self.labels[node]} killed")

    def signal_controller(self, node, which):
        self.processes[node].send_signal(which)
        self.note(f"{self.labels[node]} gets {signal.Signals(which).name}")

    def leader(self):
        """Index of the controller that the leader key names."""
        stored = self.state.keys.get("mg/2/leader")
        if stored is None:
            return None
        for value in stored[0].values():
            if value in self.labels:
                return self.labels.index(value)
        return None

    # Cloud

    def add_machine(self, build, yard, lendables, boot_s, age_s=0.0):
        self.numbers += 1
        name = f"n-{self.numbers:06}"
        now = time.monotonic()
        machine = {"uid": name, "build": build, "yard": yard, "lendables": lendables, "rented": now - age_s,
                   "up": now + boot_s, "worker": Worker(self, name, build, yard, lendables), "listed": now - age_s}
        self.machines[name] = machine
        self.background.append(asyncio.ensure_future(self.boot(machine)))
        return name

    async def boot(self, machine):
        await asyncio.sleep(max(0, machine["up"] - time.monotonic()))
        if machine["uid"] in self.machines:
            worker = machine["worker"]
            worker.lease_from = time.monotonic()
            await worker.run()

    def room(self, build, yard, lendables):
        taken = sum(1 for machine in self.machines.values()
                    if (machine["build"], machine["yard"], machine["lendables"]) == (build, yard, lendables))
        return max(0, self.capacity.get((build, yard, lendables), 0) - taken)

    async def cloud(self, node, method, path, body):
        await asyncio.sleep(random.uniform(0.05, 0.15))
        path, _, query = path.partition("?")
        if (method, path) == ("GET", "/catalog"):
            return 200, {"builds": list(self.builds.values())}
        if (method, path) == ("GET", "/hosts"):
            query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
            now, names = time.monotonic(), sorted(self.machines)
            listed = [name for name in names if name > query.get("since", "")]
            limit = int(query.get("limit", 500))
            page = [{"uid": name, "address": "127.0.0.1:1", "build": machine["build"], "yard": machine["yard"],
                     "lendables": machine["lendables"], "status": "running" if now >= machine["up"] else "starting",
                     "age_s": now - machine["rented"]}
                    for name in listed[:limit] for machine in [self.machines[name]]]
            return 200, {"steads": page, "has_next": len(listed) > limit}
        if (method, path) == ("POST", "/hosts"):
            if body["hire"] in self.rentals:
                return 200, {"steads": self.rentals[body["hire"]]}
            count = min(body["number"], self.room(body["build"], body["yard"], body["lendables"]))
            if count == 0:
                return 503, {"error": "no capacity"}
            names = [self.add_machine(body["build"], body["yard"], body["lendables"], self.boot_s) for _ in range(count)]
            self.rentals[body["hire"]] = names
            self.note(f"cloud: {self.labels[node]} rents {', '.join(names)}, lendables {body['lendables']}")
            return 200, {"steads": names}
        if (method, path) == ("POST", "/hosts/delete"):
            for name in body["steads"]:
                self.remove_machine(name, f"deleted by {self.labels[node]}")
            return 200, {}
        return 400, {"error": "no such request"}

    def remove_machine(self, name, why):
        machine = self.machines.pop(name, None)
        if machine:
            worker = machine["worker"]
            worker.gone = True
            for task in worker.tasks.values():
                if task.status in ("running", "flushing"):
                    self.task_event("gone", worker, task)
            worker.tasks.clear()
            if worker.client:
                worker.client.close()
            self.note(f"cloud: {name} {why}")

    # What happens to tasks

    def on_start(self, worker, order):
        self.starts.append((time.monotonic(), worker.name, order["load"], order["try"]))
        worker.note(f"start {order['load']} try {order['try']}")
        if self.on_start_hook:
            self.on_start_hook(worker, order)

    def task_event(self, kind, worker, task):
        self.events.append((time.monotonic(), kind, worker.name, task.load, task.attempt))
        worker.note(f"{kind} {task.load} try {task.attempt}")

    def on_machines(self, job):
        """The job's tasks that are on machines now."""
        return [(machine["uid"], task.load) for machine in self.machines.values()
                for task in machine["worker"].tasks.values()
                if task.load.startswith(job + "/") and task.status in ("running", "flushing")]

    # Users

    def job(self, number, crew, duty="demo", shape="batch", rank="standard", loads=1, cores=1.0, gpus=0.0, ram_gb=1.0,
            kit="img-01", size_gb=1.0, yard=None, together=False, apart=False, lendables=True, run_guess_s=60.0,
            mark_every_s=0.0, mark_cost_s=0.0, due_s=None, run_s=None):
        spec = {"uid": f"job-{number:06}", "duty": duty, "crew": crew, "shape": shape, "rank": rank, "loads": loads,
                "cores": cores, "gpus": gpus, "ram_gb": ram_gb, "kit": kit, "size_gb": size_gb, "builds": None,
                "yard": yard, "together": together, "apart": apart, "lendables": lendables, "run_guess_s": run_guess_s,
                "mark_every_s": mark_every_s, "mark_cost_s": mark_cost_s, "due_s": due_s}
        self.specs[spec["uid"]] = spec
        self.run_times[spec["uid"]] = run_s if run_s is not None else run_guess_s
        return spec

    async def submit(self, spec, node=None):
        """Submits until accepted, as users do; returns when (on the steady clock), or None after 60 s."""
        until = time.monotonic() + 60
        while time.monotonic() < until:
            at = random.randrange(len(self.public)) if node is None else node
            client = Client(self.public[at])
            wait = 1.0
            try:
                status, value, headers = await client.request("POST", "/v1/jobs", spec, timeout=5.0)
                self.note(f"user: submit {spec['uid']} at {self.labels[at]}: {status} {json.dumps(value)}")
                if status in (200, 201):
                    return time.monotonic()
                if status in (400, 422):
                    return None
                wait = max(1.0, float(headers.get("retry-after", 1)))
            except FAILURES as error:
                self.note(f"user: submit {spec['uid']} at {self.labels[at]}: no answer ({type(error).__name__})")
            finally:
                client.close()
            await asyncio.sleep(wait)
        return None

    async def ask(self, method, path, node, timeout=2.0, quiet=False):
        """One request; status and value, or (None, None) without an answer."""
        client = Client(self.public[node])
        try:
            status, value, _ = await client.request(method, path, None, timeout=timeout)
        except FAILURES:
            status, value = None, None
        finally:
            client.close()
        if not quiet:
            self.note(f"user: {method} {path} at {self.labels[node]}: {status} {json.dumps(value)}")
        return status, value

    # A run

    async def start(self, controllers=None):
        for node in range(len(self.labels)):
            await self.listen(self.state_ports, node, lambda m, p, b, node=node: self.state.handle(node, m, p, b))
            await self.listen(self.cloud_ports, node, lambda m, p, b, node=node: self.cloud(node, m, p, b))
        self.background.append(asyncio.ensure_future(self.state.expire()))
        nodes = list(range(len(self.labels))) if controllers is None else controllers
        for _ in range(5):
            for node in nodes:
                self.start_controller(node)
            await asyncio.sleep(0.5)
            if all(self.processes[node].poll() is None for node in nodes):
                return
            # A port was taken in the meantime.
            for node in nodes:
                self.kill_controller(node)
            self.public[:] = [free_port() for _ in self.labels]
            self.peer[:] = [free_port() for _ in self.labels]

    async def listen(self, ports, node, handler):
        while True:
            try:
                return await serve(ports[node], handler)
            except OSError:
                ports[node] = free_port()

    async def until(self, what, holds, timeout):
        """Waits until `holds()`; False when the time is up."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if holds():
                return True
            await asyncio.sleep(0.05)
        self.note(f"not within {timeout} s: {what}")
        return False

    def stop(self):
        if self not in self.running:
            return
        self.running.remove(self)
        for node, process in enumerate(self.processes):
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.temporary.name, keep, dirs_exist_ok=True)
        self.temporary.cleanup()
        self.record.close()


HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def main(scenario, limit_s=116):
    """Runs `scenario(trouble)`, a coroutine function that returns an exit code, and exits with that."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded():
        try:
            return await asyncio.wait_for(scenario(trouble), limit_s)
        except asyncio.TimeoutError:
            print("could not run: out of time")
            return COULD_NOT_RUN

    def on_signal(*_):
        raise KeyboardInterrupt

    # Ends in the scenario's `finally`, which ends the controllers.
    signal.signal(signal.SIGTERM, on_signal)
    loop = asyncio.new_event_loop()
    try:
        code = loop.run_until_complete(bounded())
    except KeyboardInterrupt:
        for world in World.running:
            world.stop()
        code = COULD_NOT_RUN
    sys.stdout.flush()
    # Stand-ins that still wait end with the process.
    os._exit(code)
