"""Small stand-ins for the script cases: the platform's store, workers and clients.

They follow PROTOCOL.md.  Only the standard library is used.  Everything runs on loopback
addresses of one free 127.x.y.0 network, on the real clock.  The nodes are the project's own,
started with the command of the deploy file, each as a process of its own.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, STORE_PORT, WORKER_PORT = 8161, 8167, 8166, 8169, 8080
RECORD_BYTES, CALL_BYTES = 262_144, 2_097_152
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
STORE_SECONDS = 0.004
HEARTBEAT_MS = 1_500
MAX_HOLD_MS = 6_000
STOP_SECONDS = 0.1
CHECKPOINT_SECONDS = 1.0
GANG_WAIT_SECONDS = 3.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
QUEUE_HOST, QUEUE_PREFIX, SERVICE = "jobs.example", "/q/", "svc"


def now() -> float:
    """Return the machine's steady time in seconds."""
    return time.monotonic()


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = now()

    def line(self, text: str) -> None:
        """Write a line, which bears the time since the script began."""
        print(f"{now() - self.began:8.3f}  {text}", file=self.file, flush=True)

    def say(self, text: str) -> None:
        """Write a line here and to standard output."""
        self.line(text)
        print(text, flush=True)


# HTTP, as little of it as is needed


class HttpRequest:
    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes, peer: str = ""
    ) -> None:
        parts = urlsplit(target)
        self.peer = peer
        self.method, self.path, self.headers, self.body = method, parts.path, headers, body
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in head[1:] if ":" in line)
    return head[0], {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


class HttpServer:
    """Serves one address; ``handle`` returns a status and a body, or None for no answer."""

    def __init__(self, handle) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, host, port, limit=1 << 22)

    def reset(self) -> None:
        """Close the port, and reset every connection."""
        self._server.close()
        for writer in self._writers:
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _version = first.split(" ", 2)
                body = await read_body(reader, headers)
                peer = writer.get_extra_info("peername")[0]
                answer = await self._handle(HttpRequest(method, target, headers, body, peer))
                if answer is None:
                    await asyncio.sleep(3600)
                status, data = answer
                if not isinstance(data, bytes):
                    data = json.dumps(data, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(host, port, method, target, body=b"", headers="", timeout=3.0):
    """Make one call on a connection of its own; return status and body, 0 for no answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
        try:
            head = f"{method} {target} HTTP/1.1\r\n{headers}Content-Length: {len(body)}\r\n"
            writer.write((head + "Connection: close\r\n\r\n").encode() + body)
            first, got = await read_head(reader)
            return int(first.split(" ")[1]), await read_body(reader, got)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, repr(error).encode()


# The platform's store


class Partition:
    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.epochs: dict[str, int] = {}
        self.sequences: dict[str, int] = {}
        self.answers: dict[str, dict[int, dict]] = {}
        self.grown = asyncio.Event()

    def put(self, records: list[tuple[str, bytes]]) -> dict:
        offset = len(self.records)
        for key, value in records:
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append((key, value))
        self.grown.set()
        self.grown = asyncio.Event()
        return {"offset": offset, "end": len(self.records)}


def split_records(body: bytes) -> list[tuple[str, bytes]] | None:
    """Return the records of a keyed topic; None where a bound of the store is broken."""
    records, at = [], 0
    if len(body) > CALL_BYTES:
        return None
    while at < len(body):
        length = int.from_bytes(body[at : at + 4], "big")
        data = body[at + 4 : at + 4 + length]
        at += 4 + length
        if length > RECORD_BYTES or len(data) != length:
            return None
        records.append((data[1 : 1 + data[0]].decode(), data[1 + data[0] :]))
    return records


def pack_record(key: str, value: bytes) -> bytes:
    data = bytes([len(key)]) + key.encode() + value
    return len(data).to_bytes(4, "big") + data


class Store:
    """Keyed topics, conditions, producers with epochs and sequences, long reads."""

    def __init__(self, record: Record) -> None:
        self._partitions: dict[tuple[str, int], Partition] = {}
        self._record = record
        self.refused_sizes: list[int] = []
        self.delay = STORE_SECONDS

    def partition(self, topic: str, part: int) -> Partition:
        return self._partitions.setdefault((topic, part), Partition())

    async def handle(self, request: HttpRequest):
        await asyncio.sleep(self.delay)
        query = request.query
        partition = self.partition(query.get("topic", ""), int(query.get("part", "0")))
        name = request.path.rpartition("/")[2]
        if name == "log-append":
            return self._append(partition, query, request.body)
        if name == "log-read":
            return await self._read(partition, query)
        if name == "log-newest":
            return 200, self._newest(partition, unquote(query.get("dependsOn", "")))
        return 404, {}

    def _append(self, partition: Partition, query: dict[str, str], body: bytes):
        records = split_records(body)
        if records is None:
            largest = max_record(body)
            self.refused_sizes.append(largest)
            self._record.line(
                f"store: refuses an append of {len(body)} bytes, its largest record has {largest}"
                f" bytes of {RECORD_BYTES}: 400"
            )
            return 400, {}
        producer = query.get("producer")
        if producer is not None:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            seen = partition.epochs.get(producer, -1)
            if epoch < seen:
                return 409, {"reason": "fenced"}
            answers = partition.answers.setdefault(producer, {})
            if epoch == seen:
                if sequence in answers:
                    return 200, answers[sequence]
                wanted = partition.sequences[producer] + 1
                if sequence != wanted:
                    return 409, {"reason": "seq", "sequence": wanted}
        if "at" in query and int(query["at"]) != len(partition.records):
            return 412, {"end": len(partition.records)}
        answer = partition.put(records)
        if producer is not None:
            if epoch > seen:
                answers.clear()
            partition.epochs[producer], partition.sequences[producer] = epoch, sequence
            answers[sequence] = answer
            while len(answers) > 5:
                del answers[next(iter(answers))]
        return 200, answer

    async def _read(self, partition: Partition, query: dict[str, str]):
        start, until = int(query["from"]), now() + int(query.get("waitMs", "0")) / 1e3
        while len(partition.records) <= start and now() < until:
            try:
                await asyncio.wait_for(partition.grown.wait(), until - now())
            except asyncio.TimeoutError:
                break
        size, most, body = 0, int(query.get("max_kb", "1024")) * 1024, b""
        for key, value in partition.records[start:]:
            packed = pack_record(key, value)
            size += len(packed)
            if size > most:
                break
            body += packed
        return 200, len(partition.records).to_bytes(8, "big") + bytes(8) + body

    def _newest(self, partition: Partition, after: str) -> dict:
        items, size, more = [], 0, False
        for key in sorted(key for key in partition.newest if key > after):
            value, offset = partition.newest[key]
            size += len(value)
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                more = True
                break
            text = base64.b64encode(value).decode()
            items.append({"privateKey": key, "value": text, "offset": offset})
        return {"items": items, "more": more, "end": len(partition.records)}


def max_record(body: bytes) -> int:
    largest = at = 0
    while at + 4 <= len(body):
        length = int.from_bytes(body[at : at + 4], "big")
        largest, at = max(largest, length), at + 4 + length
    return largest


# Workers


class Run:
    def __init__(self, task: str, run: int, spec: str, checkpoint: str) -> None:
        self.task, self.run, self.spec, self.saved = task, run, spec, checkpoint
        self.began = now()
        done = int(checkpoint, 16) / 1e3 if checkpoint else 0.0
        self.done_before = done
        # One length for every step, or one for each: seconds=12,1
        lengths = spec.partition("seconds=")[2].split()[0].split(",")
        self.seconds = float(lengths[min(int(task.split(".")[2]), len(lengths) - 1)])
        self.timer: asyncio.TimerHandle | None = None
        self.is_stopping = False
        self.gang = int((spec.partition("gang=")[2].split() or ["0"])[0])
        self.has_begun = not self.gang

    def done(self) -> float:
        if not self.has_begun:
            return self.done_before
        return self.done_before + now() - self.began

    def note_saved(self) -> str:
        whole = int(self.done() / CHECKPOINT_SECONDS) * CHECKPOINT_SECONDS
        if whole > 0 and "saves" in self.spec:
            self.saved = f"{int(whole * 1e3):016x}"
        return self.saved


class Gangs:
    """The members of gangs that are present, over all workers.

    A gang's spec says ``gang=N``.  Its members begin once all N of one run are there; one that
    waited for longer than gangWaitMs ends `alone`; where one ends, the others end with it.
    """

    def __init__(self) -> None:
        self._members: dict[tuple[str, int], list[tuple[Worker, Run]]] = {}

    def join(self, worker: Worker, run: Run) -> None:
        key = (run.task.rpartition(".")[0], run.run)
        members = self._members.setdefault(key, [])
        members.append((worker, run))
        if len(members) < run.gang:
            later(GANG_WAIT_SECONDS, worker.end_alone, run)
            return
        for _worker, member in members:
            member.has_begun = True
            member.began = now()
        later(max(0.01, run.seconds - run.done_before), worker.end, run, "done")

    def leave(self, run: Run, how: str) -> None:
        members = self._members.pop((run.task.rpartition(".")[0], run.run), [])
        for worker, member in members:
            if member is not run:
                worker.end(member, "done" if how == "done" else "broken")


def later(seconds: float, function, *arguments) -> asyncio.TimerHandle:
    return asyncio.get_running_loop().call_later(seconds, function, *arguments)


class Worker:
    """One life of a worker."""

    gangs = Gangs()

    def __init__(self, record: Record, name: str, host: str, cpu: int, mem_mb: int) -> None:
        self.name, self.host, self.cpu, self.mem_mb = name, host, cpu, mem_mb
        self._record = record
        self._base = now() - random.uniform(100, 1000)
        self.runs: dict[str, Run] = {}
        self.ended: list[list] = []
        self.ended_count = 0
        self.highest: dict[str, int] = {}
        self.token = 0
        self.lease_ms = 0
        #: Since when, from which node, with which token, until when orders came without a change.
        self.orders: list[list] = []
        self.starts: list[tuple[float, str, int]] = []
        self.all_ends: list[tuple[float, str, int, str]] = []
        self._news = asyncio.Event()
        self.log_runs = True
        self.is_up, self.is_unlisted, self.died = True, False, 0.0

    def clock_ms(self) -> int:
        return int((now() - self._base) * 1e3)

    def die(self) -> None:
        """End this life: nothing is told of what ran."""
        self.is_up, self.died = False, now()
        for run in self.runs.values():
            if run.timer is not None:
                run.timer.cancel()
        self.runs.clear()

    async def watch_lease(self) -> None:
        while self.is_up:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() > self.lease_ms:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")

    def end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        if run.timer is not None:
            run.timer.cancel()
        del self.runs[run.task]
        self.ended_count += 1
        saved = run.note_saved() if how == "stopped" else run.saved
        self.ended.append([self.ended_count, run.task, run.run, how, saved])
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.all_ends.append((now(), run.task, run.run, how))
        if run.gang:
            self.gangs.leave(run, how)
        if self.log_runs:
            self._record.line(f"{self.name}: run {run.run} of {run.task} ended {how}")
        self._news.set()
        self._news = asyncio.Event()

    def end_alone(self, run: Run) -> None:
        if not run.has_begun:
            self.end(run, "alone")

    def _extend(self, until_ms: int) -> None:
        limited = min(until_ms, self.clock_ms() + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, limited)

    async def handle(self, request: HttpRequest):
        if request.headers.get("expected-instance", self.name) != self.name:
            return 421, {}
        body = json.loads(request.body or b"{}")
        token = body.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = token
        last = self.orders[-1] if self.orders else None
        if last is not None and last[1:3] == [request.peer, token]:
            last[3] = now()
        else:
            self.orders.append([now(), request.peer, token, now()])
        name = request.path.rpartition("/")[2]
        if name == "hold":
            return await self._hold(body)
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            return self._stop(body)
        return 404, {}

    async def _hold(self, body: dict):
        last_seen = body.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > last_seen]
        if body.get("untilMs"):
            self._extend(body["untilMs"])
        if body.get("waitMs") and not self.ended:
            try:
                await asyncio.wait_for(self._news.wait(), body["waitMs"] / 1e3)
            except asyncio.TimeoutError:
                pass
        running = []
        for run in self.runs.values():
            percent = min(99, int(100 * run.done() / run.seconds))
            running.append([run.task, run.run, run.note_saved(), percent, 10])
        return 200, {"clockMs": self.clock_ms(), "running": running, "ended": self.ended[:500]}

    def _start(self, body: dict):
        task, number, clock = body["task"], body["run"], self.clock_ms()
        if clock > body["untilMs"]:
            return 409, {"clockMs": clock, "reason": "late"}
        self._extend(body["untilMs"])
        present = self.runs.get(task)
        if present is not None and present.run == number:
            return 200, {"clockMs": clock}
        if present is not None or number <= self.highest.get(task, 0):
            return 409, {"clockMs": clock, "reason": "old"}
        run = self.runs[task] = Run(task, number, body["spec"], body.get("checkpoint", ""))
        if run.gang:
            self.gangs.join(self, run)
        else:
            left = max(0.01, run.seconds - run.done_before)
            run.timer = later(left, self.end, run, "done")
        self.starts.append((now(), task, number))
        if self.log_runs:
            self._record.line(f"{self.name}: run {number} of {task} started")
        return 200, {"clockMs": clock}

    def _stop(self, body: dict):
        run = self.runs.get(body["task"])
        number = body["run"]
        if run is None or run.run != number:
            self.highest[body["task"]] = max(self.highest.get(body["task"], 0), number)
        elif not run.is_stopping:
            run.is_stopping = True
            later(STOP_SECONDS, self.end, run, "stopped")
        return 200, {"clockMs": self.clock_ms()}

    def entry(self, sequence: int) -> bytes:
        return json.dumps(
            {
                "service": SERVICE,
                "address": f"{self.host}:{WORKER_PORT}",
                "zone": "zone",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0},
                "labels": ["a", "r1-1"],
                "sequence": sequence,
            }
        ).encode()


# A small deployment


class Cell:
    """Nodes as processes; store and workers as stand-ins in this process."""

    def __init__(self, record: Record, nodes: int, workers: int, cpu: int = 64_000) -> None:
        self.record = record
        self.network = free_network()
        self.store = Store(record)
        self.folder = Path(tempfile.mkdtemp(prefix="onyxspoke-review-"))
        self.hosts = [f"{self.network}.{index + 1}" for index in range(nodes)]
        #: Every life of every worker, the ended ones too.
        self.workers = [
            Worker(record, f"i-{index:08x}", f"{self.network}.{100 + index}", cpu, 262_144)
            for index in range(workers)
        ]
        self._servers: dict[str, HttpServer] = {}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.holders: list[tuple[float, int]] = []
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> bool:
        """Start everything; return whether every node became ready."""
        await HttpServer(self.store.handle).listen(f"{self.network}.250", STORE_PORT)
        config = self.store.partition("keyed.op", 0)
        config.put([("config", json.dumps(configuration()).encode())])
        for worker in self.workers:
            await self._begin_life(worker)
        self._tasks.append(asyncio.create_task(self._beat()))
        for index in range(len(self.hosts)):
            await self.start_node(index)
        until = now() + 30.0
        while now() < until:
            answers = [
                await call(host, READY, "GET", "/onyxspoke/ready", timeout=1.0)
                for host in self.hosts
            ]
            if all(status == 200 for status, _body in answers):
                self.record.line(f"ready: {len(self.hosts)} nodes, holder is node {self.holder()}")
                return True
            await asyncio.sleep(0.3)
        return False

    async def _begin_life(self, worker: Worker) -> None:
        server = self._servers[worker.name] = HttpServer(worker.handle)
        await server.listen(worker.host, WORKER_PORT)
        self._tasks.append(asyncio.create_task(worker.watch_lease()))

    async def crash(self, worker: Worker, down_seconds: float) -> None:
        """A worker is gone without a word; another life comes at its address."""
        self.record.line(f"{worker.name} crashes with {len(worker.runs)} runs")
        worker.die()
        self._servers.pop(worker.name).reset()
        self._tasks.append(asyncio.create_task(self._come_back(worker, down_seconds)))

    async def _come_back(self, worker: Worker, down_seconds: float) -> None:
        await asyncio.sleep(down_seconds)
        name = f"i-{random.getrandbits(32):08x}"
        successor = Worker(self.record, name, worker.host, worker.cpu, worker.mem_mb)
        self.workers.append(successor)
        await self._begin_life(successor)
        self.record.line(f"{name} comes at the address of {worker.name}")
        self._put_entry(successor, 1)

    def _put_entry(self, worker: Worker, sequence: int) -> None:
        listed = self.store.partition("keyed.servers", 0)
        listed.put([(worker.name, worker.entry(sequence))])

    async def _beat(self) -> None:
        """Have every worker tell of itself; an entry goes after three heartbeats of silence."""
        sequence = 0
        while True:
            sequence += 1
            for worker in self.workers:
                if worker.is_up:
                    self._put_entry(worker, sequence)
                elif not worker.is_unlisted and now() - worker.died > 3 * HEARTBEAT_MS / 1e3:
                    worker.is_unlisted = True
                    self.store.partition("keyed.servers", 0).put([(worker.name, b"")])
            await asyncio.sleep(HEARTBEAT_MS / 1e3)

    async def start_node(self, index: int) -> None:
        path = self.folder / f"node-{index}.conf"
        path.write_text(self._settings(index), encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ONYXSPOKE_CONFIG": str(path),
        }
        process = await asyncio.create_subprocess_exec(
            "python3",
            "src/onyxspoke_node.py",
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=1 << 22,
        )
        self.processes[index] = process
        self._tasks.append(asyncio.create_task(self._follow(index, process)))

    async def _follow(self, index: int, process) -> None:
        with (self.folder / f"node-{index}.log").open("ab") as log:
            while True:
                line = await process.stdout.readline()
                if not line:
                    return
                log.write(line)
                if b"event=election shard=0 state=holding" in line:
                    self.holders.append((now(), index))
                    self.record.line(f"node-{index} holds the shard")
                elif b"event=step_down" in line or b"Error" in line:
                    text = line.decode("utf-8", "replace").strip()
                    self.record.line(f"node-{index} logs: {text[:300]}")

    def holder(self) -> int:
        """Return the node that began last to hold the shard, by the nodes' logs; -1 for none."""
        return self.holders[-1][1] if self.holders else -1

    def signal(self, index: int, number: int) -> None:
        self.record.line(f"node-{index}: {signal.Signals(number).name}")
        self.processes[index].send_signal(number)

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        for process in self.processes.values():
            await process.wait()
        for task in self._tasks:
            task.cancel()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)

    def _settings(self, index: int) -> str:
        host = self.hosts[index]
        lines = {
            "nodeName": f"front-zone-{index + 1}",
            "role": "node",
            "machineClass": "front",
            "serves": "front",
            "ip": host,
            "zone": "zone",
            "region": "region",
            "zones.zone": "region",
            "bindAddresses.front": f"{host}:{FRONT}",
            "bindAddresses.readiness": f"{host}:{READY}",
            "bindAddresses.control": f"{host}:{CONTROL}",
            "internalPortRange": "7720,7735",
            "seeds": ",".join(f"{other}:{CONTROL}" for other in self.hosts),
            "bootstrap": "true",
            "limits.cpuShare": "0.537",
            "limits.cores": "2",
            "limits.memoryMb": "300",
            "limits.maxFds": "4200",
            "limits.linkMbps": "1000.0",
            "limits.diskMb": "0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": HEARTBEAT_MS,
            "contracts": "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
            "bounds.contactMs": 3000,
            "bounds.ackTimeoutMs": 4000,
            "bounds.graceS": 6,
            "bounds.configApplyMs": 2000,
            "bounds.maxStretchMs": 5000,
            "bounds.maxHoldMs": MAX_HOLD_MS,
            "bounds.stopGraceMs": 200,
            "bounds.gangWaitMs": 3000,
            "bounds.cancel_ms": 3000,
            "bounds.visible_ms": 3000,
            "bounds.finish_s": 14,
            "bounds.status_s": 120,
            "bounds.leaseMs": 3000,
            "orders": "invoke",
            "connectFromIp": "true",
            "advice": f"{self.network}.251:{STORE_PORT}",
            "platform.address": f"{self.network}.250:{STORE_PORT}",
            "platform.form": "log",
            "platform.writes_per_s": 600,
            "platform.reads_per_s": 2000,
            "platform.parts": 24,
            "platform.append_ms": 1.0,
            "platform.part_mb_per_s": 20.0,
            "platform.read_mb_per_s": 80.0,
            "platform.record_bytes": RECORD_BYTES,
            "platform.call_bytes": CALL_BYTES,
            "platform.keep_s": 300,
            "platform.part_mb": 200,
            "platform.ttl_min_ms": 1000,
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    # Clients

    async def submit(self, index: int, job_id: str, body: dict, timeout: float = 3.0) -> int:
        """Hand a job in at a node; return the status, 0 for no answer."""
        began = now()
        data = json.dumps(body).encode()
        status, _body = await self._client_call(index, "POST", job_id, data, timeout)
        took = (now() - began) * 1e3
        self.record.line(f"client: POST {job_id} at node-{index}: {status or 'no answer'} ({took:.0f} ms)")
        return status

    async def state(self, index: int, job_id: str, timeout: float = 3.0) -> tuple[int, str]:
        """Ask a node for a job's state."""
        status, body = await self._client_call(index, "GET", job_id, b"", timeout)
        found = re.search(rb'"state":"(\w+)"', body)
        state = found.group(1).decode() if found else ""
        self.record.line(f"client: GET {job_id} at node-{index}: {status or 'no answer'} {state}")
        return status, state

    async def _client_call(self, index, method, job_id, data, timeout):
        headers = (
            f"Host: {QUEUE_HOST}\r\nContent-Type: application/json\r\n"
            f"Request-Deadline-Ms: {int(timeout * 1e3)}\r\n"
        )
        target = QUEUE_PREFIX + job_id
        host = self.hosts[index]
        return await call(host, FRONT, method, target, data, headers, timeout)


def configuration() -> dict:
    """Return the operator's configuration: one queue, without advice."""
    route = {
        "name": "r-1",
        "host": QUEUE_HOST,
        "pathPrefix": QUEUE_PREFIX,
        "type": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 250,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 3,
        "stretch": 1.5,
    }
    service = {"name": SERVICE, "maxConnections": 64, "admissionCheck": False, "spare": False}
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": 7, "routes": [route], "services": [service], "limits": limits}


def new_job_id() -> str:
    return f"{random.getrandbits(64):016x}"


def free_network() -> str:
    """Return a loopback network on which the ports of a cell are free."""
    for _attempt in range(50):
        network = f"127.{random.randrange(130, 250)}.{random.randrange(1, 250)}"
        try:
            for last, port in ((1, FRONT), (1, 9464), (250, STORE_PORT), (100, WORKER_PORT)):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{last}", port))
        except OSError:
            continue
        return network
    raise OSError("no free loopback network")


def main(folder: str, play) -> None:
    """Play a case and exit with its code."""
    record = Record(Path(folder).resolve() / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say(f"TROUBLE={int(has_trouble)}")

    async def run() -> int:
        # Exchanges that are still open as the case ends are no news.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, _context: None)
        # Ended from outside, the case still ends what it started.
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(play(record, has_trouble), 114.0)
        except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
            record.say(f"could not run: {error!r}")
            return NOT_RUN

    code = asyncio.run(run())
    record.say(f"exit {code}: {('held', 'broken', 'could not run')[code]}")
    sys.exit(code)
