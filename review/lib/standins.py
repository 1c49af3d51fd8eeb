"""Stand-ins for the users' platform on loopback: its store, minions and clients.

They follow PROTOCOL.md. The store and each minion are processes of their own, so that
none of them is slow because of another one.
"""

import asyncio
import base64
import json
import multiprocessing
import os
import random
import resource
import signal
import struct
import subprocess
import sys
import time
from urllib.parse import unquote

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "gannetvaned")
HOST = "nony24.example"
SERVICE = "huvo11a"
# Time after which a case gives up, in seconds.
LIMIT_S = 110
FORK = multiprocessing.get_context("fork")


def allow_many_sockets():
    """Uses as many descriptors as this process may have."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path):
        self.path, self.lines, self.start = path, [], time.monotonic()

    def __call__(self, text, at=None):
        self.lines.append((time.monotonic() if at is None else at, text))

    def write(self):
        with open(self.path, "w", encoding="utf-8") as file:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                file.write(f"{at - self.start:9.4f} {text}\n")


# --- HTTP --------------------------------------------------------------------


class HttpServer(asyncio.Protocol):
    """One connection of a server. The handler gets method, path, query, headers and body,
    and calls `answer(status, body)` at once, later or never."""

    def __init__(self, handler):
        self.handler, self.buffer = handler, b""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.buffer += data
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.buffer[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", "0"))
            if len(self.buffer) < end + 4 + length:
                return
            body = self.buffer[end + 4:end + 4 + length]
            self.buffer = self.buffer[end + 4 + length:]
            method, target, _ = lines[0].split(" ")
            path, _, text = target.partition("?")
            pairs = (pair.partition("=") for pair in text.split("&") if pair)
            query = {key: unquote(value) for key, _, value in pairs}
            self.handler(method, path, query, headers, body, self.answer, self.transport)

    def answer(self, status, body):
        if self.transport.is_closing():
            return
        if isinstance(body, (dict, list)):
            body = json.dumps(body).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)


async def http(ip, port, method, path, body=b"", headers=None, timeout_s=5.0, host=HOST):
    """Makes a request on a new connection. Returns status and body; status 0 without an
    answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", "Content-Type: application/json",
                     f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = next((int(line.split(":")[1]) for line in head.split("\r\n")
                           if line.lower().startswith("content-length:")), 0)
            return int(head.split(" ")[1]), await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, b""
    finally:
        if writer:
            writer.close()


# --- processes of stand-ins -----------------------------------------------------


class Remote:
    """A stand-in in a process of its own; its methods are called through a pipe."""

    def __init__(self, make):
        self.pipe, child = FORK.Pipe()
        self.process = FORK.Process(target=serve_stand_in, args=(make, child), daemon=True)
        self.process.start()
        child.close()

    def call(self, method, *arguments):
        self.pipe.send((method, arguments))
        return self.pipe.recv()

    def stop(self):
        self.process.kill()
        self.process.join()


def serve_stand_in(make, pipe):
    async def main():
        stand_in = make()
        await stand_in.serve()
        done = asyncio.get_running_loop().create_future()

        def on_call():
            try:
                method, arguments = pipe.recv()
            except EOFError:
                done.set_result(None)
                return
            pipe.send(getattr(stand_in, method)(*arguments))

        asyncio.get_running_loop().add_reader(pipe.fileno(), on_call)
        pipe.send("ready")
        await done

    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    asyncio.run(main())


# --- store -------------------------------------------------------------------


class Part:
    def __init__(self):
        self.records, self.producers = [], {}
        self.free_at = 0.0


class Group:
    def __init__(self):
        self.generation = 0
        self.members = {}  # member: (time of the last join, ttl_ms)
        self.target = {}  # partition: the member that it is assigned to
        self.owner = {}  # partition: the member that holds it


class Store:
    """A log with keyed topics, producers and groups."""

    def __init__(self, ip, parts, answer_ms=4.0, append_ms=2.0):
        self.ip, self.parts, self.answer_ms, self.append_ms = ip, parts, answer_ms, append_ms
        self.topics, self.groups, self.loop = {}, {}, None

    async def serve(self):
        self.loop = asyncio.get_running_loop()
        await self.loop.create_server(lambda: HttpServer(self.handle), self.ip, 8169, backlog=1024)

    def part(self, topic, part):
        return self.topics.setdefault(topic, [Part() for _ in range(self.parts)])[part]

    def put(self, topic, key, value):
        self.part(topic, 0).records.append(bytes([len(key)]) + key.encode() + value)

    def handle(self, method, path, query, headers, body, answer, transport):
        delay_s = self.answer_ms / 1000
        if path == "/api/log-append":
            part = self.part(query["topic"], int(query.get("part", "0")))
            part.free_at = max(part.free_at, self.loop.time()) + self.append_ms / 1000
            delay_s = max(delay_s, part.free_at - self.loop.time())
        self.loop.call_later(delay_s, self.act, path, query, body, answer)

    def act(self, path, query, body, answer):
        if path == "/api/log-append":
            answer(*self.append(query, body))
        elif path == "/api/log-read":
            self.read(query, answer, self.loop.time() + int(query.get("wait_ms", "0")) / 1000)
        elif path == "/api/log-newest":
            answer(*self.newest(query))
        elif path == "/api/log-join":
            answer(*self.join(json.loads(body)))
        elif path == "/api/log-leave":
            answer(*self.leave(json.loads(body)))
        elif path == "/api/log-owners":
            answer(*self.owners(query))
        else:
            answer(404, {})

    def append(self, query, body):
        part = self.part(query["topic"], int(query.get("part", "0")))
        records = []
        while body:
            (length,) = struct.unpack(">I", body[:4])
            records.append(body[4:4 + length])
            body = body[4 + length:]
        if any(len(r) > 262_144 for r in records) or sum(map(len, records)) > 2_097_152:
            return 400, {}
        state = None
        if "producer" in query:
            epoch, seq = int(query["epoch"]), int(query["seq"])
            state = part.producers.get(query["producer"])
            if state and epoch < state["epoch"]:
                return 409, {"reason": "fenced"}
            if not state or epoch > state["epoch"]:
                state = part.producers[query["producer"]] = {"epoch": epoch, "next": None, "last": {}}
            if records and seq in state["last"]:
                return 200, state["last"][seq]
            if records and state["next"] not in (None, seq):
                return 409, {"reason": "seq", "seq": state["next"]}
        if "expected_end" in query and int(query["expected_end"]) != len(part.records):
            return 412, {"end": len(part.records)}
        answer = {"offset": len(part.records), "end": len(part.records) + len(records)}
        part.records.extend(records)
        if state is not None and records:
            state["next"] = seq + 1
            state["last"][seq] = answer
            while len(state["last"]) > 5:
                del state["last"][min(state["last"])]
        return 200, answer

    def read(self, query, answer, until):
        part, start = self.part(query["topic"], int(query.get("part", "0"))), int(query.get("from", "0"))
        if start >= len(part.records) and self.loop.time() < until:
            self.loop.call_later(0.01, self.read, query, answer, until)
            return
        page = struct.pack(">QQ", len(part.records), 0)
        for record in part.records[start:]:
            page += struct.pack(">I", len(record)) + record
            if len(page) > 1_000_000:
                break
        answer(200, page)

    def newest(self, query):
        if query["topic"] not in self.topics:
            return 404, {}
        records = self.part(query["topic"], int(query.get("part", "0"))).records
        newest = {}
        for offset, record in enumerate(records):
            key, value = record[1:1 + record[0]], record[1 + record[0]:]
            newest[key] = (value, offset)
        after = query.get("after", "").encode()
        keys = [key for key in sorted(newest) if key > after and newest[key][0]]
        items, size = [], 0
        for key in keys:
            value, offset = newest[key]
            size += len(value)
            if len(items) >= 500 or size > 1_000_000 and items:
                break
            items.append({"key": key.decode("utf-8", "replace"),
                          "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "truncated": len(items) < len(keys), "end": len(records)}

    def assign(self, group):
        """Distributes the partitions evenly over the members."""
        members = sorted(group.members)
        counts = dict.fromkeys(members, 0)
        most = -(-self.parts // len(members)) if members else 0
        target = {}
        for part, member in sorted(group.target.items()):
            if counts.get(member, most) < most:
                target[part] = member
                counts[member] += 1
        for part in range(self.parts if members else 0):
            if part not in target:
                target[part] = min(members, key=lambda member: (counts[member], member))
                counts[target[part]] += 1
        if target != group.target:
            group.target = target
            group.generation += 1

    def drop(self, group, members):
        for member in members:
            group.members.pop(member, None)
        group.owner = {part: member for part, member in group.owner.items() if member not in members}
        if members:
            self.assign(group)

    def expire(self, group):
        now = time.monotonic()
        self.drop(group, [m for m, (at, ttl) in group.members.items() if now > at + ttl / 1000])

    def join(self, body):
        group = self.groups.setdefault(body["group"], Group())
        self.expire(group)
        member = body["member"]
        is_new = member not in group.members
        group.members[member] = (time.monotonic(), body["ttl_ms"])
        if is_new:
            self.assign(group)
        elif body["generation"] >= group.generation:
            # The member has released what the last answer did not list.
            group.owner = {part: owner for part, owner in group.owner.items()
                           if owner != member or group.target.get(part) == member}
        rows = []
        for part, target in group.target.items():
            if target == member and group.owner.setdefault(part, member) == member:
                rows.append([body["topics"][0], part, 0])
        return 200, {"generation": group.generation, "ttl_ms": body["ttl_ms"], "parts": rows}

    def leave(self, body):
        group = self.groups.get(body["group"])
        if group and body["member"] in group.members:
            self.drop(group, [body["member"]])
        return 200, {}

    def owners(self, query):
        group = self.groups.get(query.get("group", ""))
        if not group:
            return 200, {"owners": []}
        self.expire(group)
        return 200, {"owners": [["keyed.jobs", part, owner, 0] for part, owner in sorted(group.owner.items())]}


# --- minion ------------------------------------------------------------------


class Minion:
    """A minion. The text `ms=N` of a task makes it work for N milliseconds."""

    def __init__(self, ip, name, zone, number, cpu, rate):
        self.ip, self.name, self.zone, self.cpu, self.rate = ip, name, zone, cpu, rate
        self.id = f"i-{number:08x}"
        self.born = time.monotonic()
        self.epoch, self.lease, self.seq, self.ended, self.noted_lease = 0, 0.0, 0, 0, 0.0
        self.running = {}  # task: (run, start, end of its work)
        self.highest, self.finished, self.waiting = {}, [], []
        self.starts = []  # (time, task, run)
        self.ends = []  # (time, task, run, how)
        self.acked = []  # (time, task, run, how)
        self.lapses = []  # times at which a lease ran out
        self.is_mute = self.is_resetting = False

    async def serve(self):
        self.loop = asyncio.get_running_loop()
        await self.loop.create_server(lambda: HttpServer(self.handle), self.ip, 8165, backlog=1024)
        self.beats = asyncio.ensure_future(self.beat())
        self.ticks = asyncio.ensure_future(self.tick_often())

    async def tick_often(self):
        while True:
            self.tick()
            await asyncio.sleep(0.002)

    async def beat(self):
        while True:
            self.seq += 1
            body = {"service": SERVICE, "address": f"{self.ip}:8165", "zone": self.zone, "version": "v1",
                    "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                    "capacity": {"cpu": self.cpu, "mem_mb": 65_536, "gpu": 0}, "labels": ["a", "r1-1"],
                    "clock_ms": self.clock(), "seq": self.seq}
            asyncio.ensure_future(http(self.ip, 8166, "PUT", f"/api/instances/{self.id}",
                                       json.dumps(body).encode(), timeout_s=1.0))
            await asyncio.sleep(1.5 if self.seq > 5 else 0.2)

    def clock(self):
        return int((time.monotonic() - self.born) * 1000 * self.rate) + 1000

    def lease_end(self):
        """The time at which the lease runs out, on the clock of the test."""
        return self.born + (self.lease - 1000) / 1000 / self.rate

    def end(self, task, how, at):
        run = self.running.pop(task)[0]
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.ended += 1
        self.finished.append([self.ended, task, run, how, ""])
        self.ends.append((at, task, run, how))

    def tick(self):
        now, lease_end = time.monotonic(), self.lease_end()
        for task, (_, _, done) in list(self.running.items()):
            if done <= min(now, lease_end):
                self.end(task, "done", done)
            elif now > lease_end:
                self.end(task, "lapsed", lease_end)
        if now > lease_end and self.noted_lease != self.lease:
            self.noted_lease = self.lease
            self.lapses.append(lease_end)
        waiting, self.waiting = self.waiting, []
        for answer, until in waiting:
            if self.finished or now >= until:
                answer(200, self.listing())
            else:
                self.waiting.append((answer, until))

    def extend(self, body):
        if body.get("deadline_ms"):
            self.lease = max(self.lease, min(body["deadline_ms"], self.clock() + 1000))

    def listing(self):
        now = time.monotonic()
        rows = [[task, run, "", min(99, int(100 * (now - start) / max(done - start, 0.001))), self.cpu]
                for task, (run, start, done) in self.running.items()]
        return {"clock_ms": self.clock(), "running": rows, "finished": self.finished[:500]}

    def handle(self, method, path, query, headers, body, answer, transport):
        if self.is_resetting:
            transport.abort()
            return
        if self.is_mute:
            answer = lambda status, body: None  # noqa: E731
        if headers.get("gannetvane-expect-instance", self.id) != self.id:
            answer(421, {})
            return
        body = json.loads(body or b"{}")
        self.tick()
        if body.get("fencing_token", 0) < self.epoch:
            answer(409, {"clock_ms": self.clock(), "reason": "fence"})
            return
        self.epoch = body.get("fencing_token", 0)
        if path == "/api/run-start":
            answer(*self.start_run(body))
        elif path == "/api/run-stop":
            task, run = body["task"], body["run"]
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.running and self.running[task][0] == run:
                self.end(task, "stopped", time.monotonic())
            answer(200, {"clock_ms": self.clock()})
        elif path == "/api/hold":
            self.extend(body)
            acked = body.get("acked_through", 0)
            now = time.monotonic()
            self.acked += [(now, task, run, how) for n, task, run, how, _ in self.finished if n <= acked]
            self.finished = [end for end in self.finished if end[0] > acked]
            until = now + body.get("wait_ms", 0) / 1000
            if self.finished or now >= until:
                answer(200, self.listing())
            else:
                self.waiting.append((answer, until))
        else:
            answer(404, {})

    def start_run(self, body):
        task, run, now = body["task"], body["run"], time.monotonic()
        reason = None
        if task in self.running and self.running[task][0] == run:
            self.extend(body)
            return 200, {"clock_ms": self.clock()}
        if run <= self.highest.get(task, 0) or task in self.running:
            self.extend(body)
            reason = "old"
        elif body["deadline_ms"] <= self.clock():
            reason = "late"
        if reason:
            return 409, {"clock_ms": self.clock(), "reason": reason}
        self.extend(body)
        self.running[task] = (run, now, now + float(body["spec"].split("ms=")[1].split()[0]) / 1000)
        self.starts.append((now, task, run))
        return 200, {"clock_ms": self.clock()}

    # Calls of the test.

    def mute(self, is_mute):
        """Carries out calls without answering them; those that wait get no answer either."""
        self.is_mute = is_mute
        if is_mute:
            self.waiting = []
        return len(self.running)

    def reset(self, is_resetting):
        """Resets the channels of all calls, without carrying these out."""
        self.is_resetting = is_resetting
        self.waiting = [(self.reset_waiting(answer), until) for answer, until in self.waiting]
        return True

    @staticmethod
    def reset_waiting(answer):
        answer.__self__.transport.abort()
        return answer

    def runs(self):
        """The tasks that run here."""
        return list(self.running)

    def count(self):
        """Numbers of starts and of active runs."""
        return len(self.starts), len(self.running)

    def seen(self):
        return self.starts, self.ends, self.acked, self.lapses


# --- the project's programs ----------------------------------------------------


class Host:
    """A host with one of the project's programs."""

    def __init__(self, fleet, role, index):
        self.fleet, self.role, self.index = fleet, role, index
        self.zone = fleet.zones[(index - 1) % len(fleet.zones)]
        self.name = f"{'front' if role == 'entry' else 'side'}-{self.zone}-{index}"
        self.ip = f"{fleet.net}.{10 if role == 'entry' else 20}.{index}"
        self.process = self.minion = None

    def settings(self):
        seeds = ", ".join(f'"{entry.ip}:8166"' for entry in self.fleet.entries[:3])
        text = (f'[host]\nname = "{self.name}"\nzone = "{self.zone}"\nlink_address = "{self.ip}:7720"\n'
                f'metrics_address = "{self.ip}:7735"\nseeds = [{seeds}]\nlog_level = "info"\n')
        if self.role == "entry":
            text += (f'[entry]\nfront_address = "{self.ip}:8161"\nready_address = "{self.ip}:8167"\n'
                     "link_mbps = 1000.0\n")
        else:
            text += (f'[agent]\nminion_address = "{self.ip}:8165"\ncontrol_address = "{self.ip}:8166"\n'
                     f'service = "{SERVICE}"\n')
        text += (f'[store]\naddress = "{self.fleet.store_ip}:8169"\npartitions = {self.fleet.parts}\n'
                 "writes_per_s = 800\n[times]\ngrace_s = 6\nremote_factor = 1.5\n")
        return text + ("longest_lease_ms = 1000\n" if self.role == "agent" else "")

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        environment = {"PATH": os.environ.get("PATH", ""), "GANNETVANE_CONFIG": path}
        with open(os.path.join(self.fleet.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen([PROGRAM, f"platform-{self.role}"], cwd=ROOT, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT)
        self.fleet.record(f"{self.name}: started")

    def signal(self, number):
        self.fleet.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def request(self, method, path, body=b"", headers=None, timeout_s=5.0):
        if isinstance(body, dict):
            body = json.dumps(body, separators=(",", ":")).encode()
        text = body.decode() if len(body) < 1000 else f"({len(body)} bytes)"
        self.fleet.record(f"client -> {self.name}: {method} {path} {text}")
        status, answer = await http(self.ip, 8161, method, path, body, headers, timeout_s)
        self.fleet.record(f"client <- {self.name}: {method} {path}: {status} {answer[:200].decode()}")
        return status, answer


class Fleet:
    """A small deployment: entries, agents with their minions, and the store."""

    def __init__(self, folder, record, entries=3, agents=3, cpu=16_000, rate=1.0, zones=None, timeout_ms=1_500):
        allow_many_sockets()
        self.folder, self.record, self.parts, self.timeout_ms = folder, record, 12, timeout_ms
        self.net = f"127.{random.randrange(60, 120)}"
        self.zones = zones or ["selfoss-hall", "hella-hall", "thorlak-hall"]
        self.store_ip = f"{self.net}.7.1"
        self.entries = [Host(self, "entry", number + 1) for number in range(entries)]
        self.agents = [Host(self, "agent", number + 1) for number in range(agents)]
        self.store = Remote(lambda: Store(self.store_ip, self.parts))
        for host in self.agents:
            arguments = (host.ip, host.name, host.zone, host.index, cpu, rate)
            host.minion = Remote(lambda arguments=arguments: Minion(*arguments))
        for remote in [self.store] + [host.minion for host in self.agents]:
            if not remote.pipe.poll(10) or remote.pipe.recv() != "ready":
                raise OSError("a stand-in did not start")

    def configure(self, version):
        routes = [{"name": f"r-{prefix}", "host": HOST, "path_prefix": f"/{prefix}/", "type": "non_idempotent",
                   "timeout_ms": self.timeout_ms, "target_latency_ms": 60, "priority": priority,
                   "service": SERVICE, "max_attempts": 2, "stretch": 1.6}
                  for prefix, priority in (("lohu930", 0), ("pufi791", 2))]
        config = {"version": version, "routes": routes,
                  "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64, "protocol": "h1",
                                "tls": False, "rejects_overload": False, "standby": False}],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                             "idle_timeout_ms": 15000}}
        self.store.call("put", "keyed.op", "config", json.dumps(config).encode())

    async def start(self):
        self.configure(7)
        for host in self.entries + self.agents:
            host.start()
        await self.until("all entries are ready", self.is_ready, 15)

    async def is_ready(self):
        for host in self.entries:
            if (await http(host.ip, 8167, "GET", "/api/readyz", timeout_s=1))[0] != 200:
                return False
        return True

    async def until(self, what, condition, timeout_s):
        end = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > end:
                raise TimeoutError(what)
            await asyncio.sleep(0.05)

    async def store_first_job(self):
        """Hands in one short job, so that the entries divide the partitions among themselves."""
        body = job([step(1)])

        async def is_accepted():
            return (await self.entries[0].request("POST", "/lohu930/00000000000000ff", body))[0] == 200

        await self.until("the first stored job", is_accepted, 10)
        await asyncio.sleep(2)

    def counts(self):
        """Numbers of starts and of active runs on all minions."""
        counts = [host.minion.call("count") for host in self.agents]
        return sum(starts for starts, _ in counts), sum(runs for _, runs in counts)

    def seen(self):
        """What each minion has seen, by its host's name; it goes into the record as well."""
        seen = {}
        for host in self.agents:
            starts, ends, acked, lapses = seen[host.name] = host.minion.call("seen")
            for at, task, run in starts:
                self.record(f"minion of {host.name}: start {task} run {run}", at)
            for at, task, run, how in ends:
                self.record(f"minion of {host.name}: end {task} run {run} {how}", at)
        return seen

    def stop(self):
        for host in self.entries + self.agents:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
            if host.minion:
                host.minion.stop()
        self.store.stop()


def job(steps, spec="ms=50", best_effort=False):
    return {"spec": spec, "steps": steps} | ({"best_effort": True} if best_effort else {})


def step(count=1, cpu=1000, mem=64, est=50, **more):
    return {"count": count, "cpu": cpu, "mem_mb": mem, "est_runtime_ms": est} | more


def run_case(main, folder):
    """Runs a case and returns its exit code; `main` gets the record and whether there is trouble."""
    record = Record(os.path.join(folder, "record.txt"))
    # The processes of the case end as well when the case is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        return asyncio.run(asyncio.wait_for(main(record, has_trouble), LIMIT_S))
    except (EOFError, OSError, TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        return 2
    finally:
        record.write()
