"""Workers' stand-ins behind the platform's wire: many lives in one process, logic of the kit."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from absl import logging
from twisted.internet.interfaces import IListeningPort

from onyxspoke.core.jobs.model import ResourceVector, RunKey
from onyxspoke.core.jobs.states import RunEnd
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.shard.actions import SendHold, SendPace, SendStart, SendStop, WorkerAddress
from onyxspoke.core.shard.orders import OrderResult
from onyxspoke.kit.jobs.worker_orders import FakeWorkerOrders
from onyxspoke.kit.jobs.workers import FakeWorker, FakeWorkerPool, SeenWorker, WorkOptions
from onyxspoke.platform.counterpart.answers import HTTP_NOT_FOUND, HTTP_OTHER_LIFE
from onyxspoke.platform.counterpart.orders import (
    HOLD_CALL,
    LIFE_HEADER,
    PACE_CALL,
    START_CALL,
    STOP_CALL,
    encode_hold_result,
    encode_order_result,
    read_order,
)
from onyxspoke.platform.counterpart.settings import encode_entry
from onyxspoke.platform.workers import decode_task
from onyxspoke.soak import events
from onyxspoke.soak.http import Exchange, StandInSite
from onyxspoke.soak.payloads import read_payload
from onyxspoke.soak.plan import HEARTBEAT_MS, WORKER_PORT, SoakPlan
from onyxspoke.soak.timers import DueTimers, LocalPath

SERVICE = "service"
#: The platform drops the entry of a worker that is silent for so long, in seconds.
ENTRY_SECONDS = 3 * HEARTBEAT_MS / 1_000.0
CAPACITY = ResourceVector(16_000, 32_768, 0)
KINDS = "ab"
RACK_SIZE = 4
#: Share of the runs that fail by their own fault.
FAILING_SHARE = 0.03
#: Share of the tasks that outlast a lease.
LONG_SHARE = 0.1

Tell = Callable[[events.AnyEvent], None]


class EventTeller:
    """Tells what happens at workers; implements ``WorkerAudit``."""

    def __init__(self, timers: DueTimers, tell: Tell) -> None:
        self._timers = timers
        self._tell = tell

    def handle_started(self, worker: SeenWorker, run: RunKey, payload: str, node: str) -> None:
        """A run was started on a node's order."""
        now = self._timers.now()
        self._tell(events.RunStarted(now, worker.worker_id, run, payload, node))

    def handle_ended(self, worker: SeenWorker, run: RunKey, end: RunEnd) -> None:
        """A run ended."""
        self._tell(events.RunEnded(self._timers.now(), worker.worker_id, run, end))

    def handle_noted(self, worker: SeenWorker, run: RunKey, end: RunEnd) -> None:
        """A node told the worker that an end was noted."""
        self._tell(events.RunNoted(self._timers.now(), worker.worker_id, run, end))

    def handle_crashed(self, worker: SeenWorker, run: RunKey) -> None:
        """The worker crashed under a run."""
        self._tell(events.RunCrashed(self._timers.now(), worker.worker_id, run))

    def handle_lapsed(self, worker: SeenWorker) -> None:
        """The worker's lease ran out."""
        listed = tuple(worker.listed_runs())
        self._tell(events.LeaseLapsed(self._timers.now(), worker.worker_id, listed))


class Listen(Protocol):
    """Opens a server socket; ``listenTCP`` of a reactor."""

    def __call__(self, port: int, factory: Any, *, interface: str) -> IListeningPort:
        """Listen."""


class WorkerHost:
    """All workers of a cell: their lives, their sockets, their entries in the directory."""

    def __init__(
        self,
        plan: SoakPlan,
        timers: DueTimers,
        tell: Tell,
        listen: Listen,
        write_entry: Callable[[str, bytes], None],
    ) -> None:
        self._plan = plan
        self._timers = timers
        self._tell = tell
        self._listen = listen
        self._write_entry = write_entry
        self._pool = FakeWorkerPool(
            timers,
            random.Random(f"workers/{plan.seed}"),
            EventTeller(timers, tell),
            WorkOptions(
                seed=plan.seed,
                shortest_seconds=plan.task_seconds[0],
                longest_seconds=plan.task_seconds[1],
                failing_share=FAILING_SHARE,
                long_share=LONG_SHARE,
            ),
            maximum_hold_ms=plan.maximum_hold_ms,
        )
        self._lives = 0
        self._sites: dict[str, tuple[StandInSite, IListeningPort]] = {}
        self._late_share = 0.0

    @property
    def maximum_hold_ms(self) -> int:
        """Longest lease that the workers grant."""
        return self._pool.maximum_hold_ms

    def start(self) -> None:
        """Begin the first life of every worker."""
        for index in range(self._plan.workers):
            self._begin_life(index)

    def handle_command(self, command: events.AnyCommand) -> None:
        """Carry out a fault."""
        if isinstance(command, events.CrashWorker):
            self._crash(command.index, command.seconds)
        elif isinstance(command, events.SetLateOrders):
            self._late_share = command.share
            for worker in self._pool.workers.values():
                worker.faults.late_share = command.share

    def _begin_life(self, index: int) -> None:
        self._lives += 1
        kind = KINDS[index % len(KINDS)]
        rack = f"r1-{index // RACK_SIZE}"
        record = WorkerRecord(
            worker_id=f"w{index}.{self._lives}",
            host=self._plan.worker_host(index),
            port=WORKER_PORT,
            service=SERVICE,
            zone=self._plan.zone_name(index),
            capacity=CAPACITY,
            kind=kind,
            rack=rack,
            labels=(kind, rack),
        )
        worker = self._pool.add(record)
        worker.faults.late_share = self._late_share
        self._tell(events.WorkerBorn(self._timers.now(), record))
        site = StandInSite(self._timers, partial(self._handle, worker))
        port = self._listen(self._plan.worker_port, site, interface=record.host)
        self._sites[record.worker_id] = (site, port)
        self._beat(worker, 1)

    def _crash(self, index: int, seconds: float) -> None:
        prefix = f"w{index}."
        for worker in list(self._pool.workers.values()):
            if not worker.is_up or not worker.worker_id.startswith(prefix):
                continue
            worker.die()
            site, port = self._sites.pop(worker.worker_id)
            site.reset_connections()
            port.stopListening()
            logging.info("event=worker_crashed worker=%s", worker.worker_id)
            drop = partial(self._write_entry, worker.worker_id, b"")
            self._timers.schedule(ENTRY_SECONDS, drop)
            self._timers.schedule(seconds, partial(self._begin_life, index))

    def _beat(self, worker: FakeWorker, sequence: int) -> None:
        if not worker.is_up:
            return
        self._write_entry(worker.worker_id, encode_entry(worker.record, sequence))
        self._timers.schedule(HEARTBEAT_MS / 1_000.0, lambda: self._beat(worker, sequence + 1))

    def _handle(self, worker: FakeWorker, exchange: Exchange) -> None:
        """Answer an order; ``worker`` is the life that listens here."""
        if exchange.header(LIFE_HEADER) not in ("", worker.worker_id):
            exchange.answer({}, HTTP_OTHER_LIFE)
            return
        body = read_order(exchange.body)
        address = WorkerAddress(worker.worker_id, worker.record.host, worker.record.port)
        orders = FakeWorkerOrders(self._pool, exchange.machine, LocalPath())
        token = body.fencing_token

        def answer(result: OrderResult) -> None:
            exchange.send(encode_order_result(result))

        if exchange.name == HOLD_CALL:
            hold = SendHold(address, token, body.last_seen, body.until_ms, body.wait_ms, 0)
            orders.hold(hold, lambda result: exchange.send(encode_hold_result(result)))
            return
        run = RunKey(decode_task(body.task), body.run)
        if exchange.name == START_CALL:
            spec = read_payload(body.spec)
            self._pool.specs.setdefault(spec.job_id, spec)
            start = SendStart(
                address, token, run, body.spec, body.until_ms, body.checkpoint, body.ticket
            )
            orders.start(start, answer)
        elif exchange.name == STOP_CALL:
            orders.stop(SendStop(address, token, run), answer)
        elif exchange.name == PACE_CALL:
            orders.pace(SendPace(address, token, run, body.percent), answer)
        else:
            exchange.answer({}, HTTP_NOT_FOUND)
