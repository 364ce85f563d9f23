"""Stops all nodes of a small cell in quick succession while clients hand jobs in.

Starts nodes with the command of the deploy file, and the project's own stand-ins of the store, the
advice service and the workers. Clients are the ones below. Everything that was sent, answered and
run goes to record.txt.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import msgspec

from onyxspoke.core.jobs.model import StepSpec
from onyxspoke.kit.jobs.drawn_jobs import QUEUES
from onyxspoke.platform.counterpart.jobs import encode_job
from onyxspoke.soak.payloads import make_job
from onyxspoke.soak.plan import (
    CALLER_PORT,
    HOST_HEADER,
    READINESS_PORT,
    STOP_GRACE_SECONDS,
    SoakPlan,
    choose_network,
    make_settings,
)
from onyxspoke.soak.worker_server import SERVICE

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
#: The zone of each node.
ZONES = ("sever", "sever", "stred", "stred", "juh", "juh")
NODES = len(ZONES)
WORKERS = 6
READY_SECONDS = 40.0
JOBS_PER_SECOND = 40.0
CALM_SECONDS = 3.0
#: In each zone two nodes are stopped at a time, two such stops so far apart; as in the day.
STOPPED_AT_ONCE = 2
GAP_SECONDS = 1.25
#: A process that has ended starts again after so long.
RESTART_SECONDS = 0.5
#: After the first stop clients go on for so long.
TRAFFIC_SECONDS = 12.0
DEADLINE_SECONDS = 3.0
#: The balancer looks so often, and takes a node out after so many misses in a row.
LOOK_SECONDS = 1.0
MISSES = 2
#: lossSlackMs of the site's sheet, in seconds.
LOSS_SLACK_SECONDS = 0.2
#: A request that was sent so soon after the SIGTERM may be excused by a worker still at work.
EXCUSED_SECONDS = 3.0
LONGEST_SECONDS = 110.0


class Record:
    """Writes record.txt."""

    def __init__(self) -> None:
        self._file = (HERE / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write a line with its time."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
            self._file.flush()


class Cell:
    """The processes of one cell; each is ended by its own id."""

    def __init__(self, record: Record, directory: Path) -> None:
        self._record = record
        self._directory = directory
        self.plan = SoakPlan(
            seed=3,
            network=choose_network(os.getpid()),
            nodes=NODES,
            workers=WORKERS,
            with_proxy=False,
        )
        self._processes: list[subprocess.Popen[bytes]] = []
        self.nodes: dict[int, subprocess.Popen[bytes]] = {}
        #: When each node was told to stop last.
        self.stopped_at: dict[int, float] = {}
        self.starts = 0

    def start(self) -> None:
        """Start the stand-ins and the nodes."""
        plan = self._directory / "plan.json"
        plan.write_bytes(msgspec.json.encode(self.plan))
        for name in ("store", "advice", "workers"):
            arguments = [sys.executable, "-m", "onyxspoke.cli.soak", name, "--plan", str(plan)]
            process = self._open(name, arguments, dict(os.environ))
            reader = self._read_runs if name == "workers" else self._skip
            threading.Thread(target=reader, args=(process,), daemon=True).start()
        for index in range(NODES):
            path = self._directory / f"node-{index}.conf"
            settings = make_settings(self.plan, index)
            settings = settings.replace("zone=zone\n", f"zone={ZONES[index]}\n")
            path.write_text(settings, encoding="utf-8")
            self.start_node(index)

    def start_node(self, index: int) -> None:
        """Start a node as the deploy file does."""
        environment = dict(os.environ)
        environment["ONYXSPOKE_CONFIG"] = str(self._directory / f"node-{index}.conf")
        process = self._open(
            f"node-{index}", [sys.executable, "src/onyxspoke_node.py"], environment
        )
        self.nodes[index] = process
        threading.Thread(target=self._read_log, args=(index, process), daemon=True).start()
        self._record.write(f"started node-{index} pid={process.pid}")

    async def restart_node(self, index: int) -> None:
        """Stop a node as the platform does, and start it again once it has ended."""
        process = self.nodes[index]
        stopped_at = self.stopped_at[index] = time.monotonic()
        process.send_signal(signal.SIGTERM)
        self._record.write(f"SIGTERM to node-{index} pid={process.pid}")
        while process.poll() is None:
            await asyncio.sleep(0.02)
            if time.monotonic() > stopped_at + STOP_GRACE_SECONDS and process.poll() is None:
                process.kill()
                self._record.write(f"SIGKILL to node-{index}: the grace is over")
        self._record.write(f"ended node-{index} code={process.returncode}")
        await asyncio.sleep(RESTART_SECONDS)
        self.start_node(index)

    def end(self) -> None:
        """End every process that was started."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
        for process in self._processes:
            process.wait()

    def _open(
        self, name: str, arguments: list[str], environment: dict[str, str]
    ) -> subprocess.Popen[bytes]:
        with (self._directory / f"{name}.err").open("ab") as errors:
            process = subprocess.Popen(
                arguments,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        self._processes.append(process)
        return process

    def _skip(self, process: subprocess.Popen[bytes]) -> None:
        assert process.stdout is not None
        for _line in process.stdout:
            pass

    def _read_runs(self, process: subprocess.Popen[bytes]) -> None:
        assert process.stdout is not None
        for line in process.stdout:
            event = json.loads(line)
            self.starts += event[0] == "RunStarted"
            if event[0] in ("RunStarted", "RunEnded"):
                self._record.write(f"worker {event[0]} {json.dumps(event[2:4])}")

    def _read_log(self, index: int, process: subprocess.Popen[bytes]) -> None:
        assert process.stdout is not None
        with (self._directory / f"node-{index}.log").open("ab") as log:
            for line in process.stdout:
                log.write(line)
                log.flush()


class Clients:
    """Hands jobs in, each on a connection of its own, at the node that the balancer chooses.

    As the pages say, a node that misses two looks in a row gets no new connections until it is
    ready again. Where fewer than half of a zone's nodes are in, all of them are used, and where
    none is in, those of another zone.
    """

    def __init__(self, record: Record, cell: Cell) -> None:
        self._record = record
        self._cell = cell
        self._random = random.Random(3)
        self._misses = dict.fromkeys(range(NODES), 0)
        self.answered = 0
        self.unconnected = 0
        self.lost: list[str] = []
        self.other: list[str] = []

    async def is_ready(self, node: int) -> bool:
        """Return whether a node is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self._cell.plan.node_host(node), READINESS_PORT
            )
            writer.write(b"GET /onyxspoke/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return answer.startswith(b"HTTP/1.1 200")

    async def look(self) -> None:
        """Ask every node each second whether it is ready, as the balancer does."""
        while True:
            started_at = time.monotonic()
            answers = await asyncio.gather(*(self.is_ready(node) for node in range(NODES)))
            for node, is_ready in enumerate(answers):
                was_in = self._misses[node] < MISSES
                self._misses[node] = 0 if is_ready else self._misses[node] + 1
                if was_in is not (self._misses[node] < MISSES):
                    self._record.write(f"balancer: node-{node} is {'out' if was_in else 'in'}")
            await asyncio.sleep(max(0.0, started_at + LOOK_SECONDS - time.monotonic()))

    def _choose_node(self) -> int:
        own = self._random.choice(sorted(set(ZONES)))
        for zone in (own, *(set(ZONES) - {own})):
            nodes = [node for node in range(NODES) if ZONES[node] == zone]
            are_in = [node for node in nodes if self._misses[node] < MISSES]
            if are_in:
                return self._random.choice(are_in if 2 * len(are_in) >= len(nodes) else nodes)
        return self._random.choice([node for node in range(NODES) if ZONES[node] == own])

    async def hand_in_until(self, until: float) -> None:
        """Hand jobs in at a steady rate."""
        tasks = []
        number = 0
        while time.monotonic() < until:
            task = self._hand_in(self._choose_node(), f"{number:016x}")
            tasks.append(asyncio.create_task(task))
            number += 1
            await asyncio.sleep(1.0 / JOBS_PER_SECOND)
        await asyncio.gather(*tasks)

    async def _hand_in(self, node: int, name: str) -> None:
        try:
            reader, writer = await asyncio.open_connection(
                self._cell.plan.node_host(node), CALLER_PORT
            )
        except OSError:
            self.unconnected += 1
            return
        steps = (StepSpec(task_count=1, processors_milli=500, memory_mb=64, estimated_ms=800),)
        body = encode_job(make_job(name, QUEUES[1], SERVICE, steps))
        head = (
            f"POST /{QUEUES[1]}/{name} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n"
            f"Request-Deadline-Ms: {DEADLINE_SECONDS * 1000:.0f}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        sent_at = time.monotonic()
        writer.write(head.encode() + body)
        self._record.write(f"node-{node} <- POST {name}")
        answer = b""
        try:
            answer = await asyncio.wait_for(self._read_answer(reader), DEADLINE_SECONDS)
            how = "the connection ends"
        except asyncio.TimeoutError:
            how = "the deadline passes"
        except OSError as error:
            how = f"the connection ends: {error}"
        finally:
            writer.close()
        self._judge(node, name, sent_at, answer, how)

    async def _read_answer(self, reader: asyncio.StreamReader) -> bytes:
        """Return a whole answer, or what came of it until the connection ended."""
        answer = b""
        while not _is_whole(answer):
            piece = await reader.read(65_536)
            if not piece:
                break
            answer += piece
        return answer

    def _judge(self, node: int, name: str, sent_at: float, answer: bytes, how: str) -> None:
        waited = time.monotonic() - sent_at
        if _is_whole(answer):
            self.answered += 1
            status = answer.split(b" ", 2)[1].decode()
            self._record.write(f"node-{node} -> POST {name} {status} after {waited:.3f} s")
            return
        since = sent_at - self._cell.stopped_at.get(node, sent_at)
        line = (
            f"node-{node} -> POST {name} no whole answer, {how} after {waited:.3f} s,"
            f" sent {since:.3f} s after the SIGTERM"
        )
        is_planned = EXCUSED_SECONDS < since <= STOP_GRACE_SECONDS + 1.0
        is_cut = how.startswith("the connection ends") and waited > LOSS_SLACK_SECONDS
        if is_planned and is_cut:
            self.lost.append(name)
            line = f"LOST {line}"
        else:
            self.other.append(name)
        self._record.write(line)


def _is_whole(answer: bytes) -> bool:
    """Return whether an answer has its head and as much of a body as the head tells."""
    head, end, body = answer.partition(b"\r\n\r\n")
    if not end:
        return False
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.strip().lower() == b"content-length":
            return len(body) >= int(value)
    return False


async def play(cell: Cell, clients: Clients, record: Record, trouble: str) -> int:
    """Play the case and judge it."""
    until = time.monotonic() + READY_SECONDS
    while not all(await asyncio.gather(*(clients.is_ready(node) for node in range(NODES)))):
        if time.monotonic() > until:
            record.write("the cell did not come up")
            return COULD_NOT_RUN
        await asyncio.sleep(0.3)
    await asyncio.sleep(1.0)
    end = time.monotonic() + CALM_SECONDS + TRAFFIC_SECONDS
    balancer = asyncio.create_task(clients.look())
    traffic = asyncio.create_task(clients.hand_in_until(end))
    await asyncio.sleep(CALM_SECONDS)
    restarts = []
    if trouble != "0":
        waiting = {zone: [n for n in range(NODES) if ZONES[n] == zone] for zone in ZONES}
        while any(waiting.values()):
            for nodes in waiting.values():
                for index in nodes[:STOPPED_AT_ONCE]:
                    restarts.append(asyncio.create_task(cell.restart_node(index)))
                del nodes[:STOPPED_AT_ONCE]
            await asyncio.sleep(GAP_SECONDS)
    await traffic
    await asyncio.gather(*restarts)
    balancer.cancel()
    summary = (
        f"answered={clients.answered} lost={len(clients.lost)} other={len(clients.other)}"
        f" unconnected={clients.unconnected} starts={cell.starts} trouble={trouble}"
    )
    record.write(summary)
    print(summary)
    if not clients.answered:
        return COULD_NOT_RUN
    return BROKEN if clients.lost else HELD


def main() -> int:
    """Run the case within its time."""
    trouble = os.environ.get("TROUBLE", "1")
    record = Record()
    directory = Path(tempfile.mkdtemp(prefix="review-3-"))
    cell = Cell(record, directory)
    clients = Clients(record, cell)

    async def bounded() -> int:
        return await asyncio.wait_for(play(cell, clients, record, trouble), LONGEST_SECONDS)

    try:
        cell.start()
        return asyncio.run(bounded())
    except Exception as error:  # whatever keeps the case from running is told as such
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
    finally:
        cell.end()
        if os.environ.get("KEEP"):
            print(directory)
        else:
            shutil.rmtree(directory, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
