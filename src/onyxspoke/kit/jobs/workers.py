"""Stand-ins for workers: leases on slow clocks, fences, runs, gangs, orders that come late.

They start whatever they are told, as the platform's do; the audit notes what they should
not have been told.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from onyxspoke.core.jobs.model import JobId, JobSpec, RunKey, StepKey, TaskKey, WorkerId
from onyxspoke.core.jobs.states import RunEnd
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.shard.actions import (
    SendHold,
    SendPace,
    SendStart,
    SendStop,
    WorkerAddress,
)
from onyxspoke.core.shard.orders import (
    EndReport,
    HoldResult,
    OrderOutcome,
    OrderResult,
    RunningReport,
)
from onyxspoke.kit.jobs.timers import Timers

_MILLISECONDS = 1_000.0
_FULL_PERCENT = 100


class SeenWorker(Protocol):
    """What the audit needs to know of a life of a worker."""

    @property
    def worker_id(self) -> WorkerId:
        """The life's name."""

    @property
    def record(self) -> WorkerRecord:
        """What the directory lists of it."""

    def listed_runs(self) -> list[RunKey]:
        """Return the runs whose ends the worker lists, not noted yet."""


class WorkerAudit(Protocol):
    """Told of everything that happens at workers."""

    def handle_started(self, worker: SeenWorker, run: RunKey, payload: str, node: str) -> None:
        """A run was started on a node's order."""

    def handle_ended(self, worker: SeenWorker, run: RunKey, end: RunEnd) -> None:
        """A run ended."""

    def handle_noted(self, worker: SeenWorker, run: RunKey, end: RunEnd) -> None:
        """A node told the worker that an end was noted."""

    def handle_crashed(self, worker: SeenWorker, run: RunKey) -> None:
        """The worker crashed under a run."""

    def handle_lapsed(self, worker: SeenWorker) -> None:
        """The worker's lease ran out."""


@dataclass(slots=True)
class WorkOptions:
    """What tasks are like.

    ``long_share`` of the tasks take ``long_seconds``, so that leases end under them.
    ``failing_share`` of the runs fail; ``hopeless`` jobs always do.  Tasks in ``crashing`` crash
    each worker that starts them, ``crash_seconds`` after the start.
    """

    seed: int = 0
    shortest_seconds: float = 0.2
    longest_seconds: float = 1.5
    long_share: float = 0.0
    long_seconds: float = 10.0
    failing_share: float = 0.0
    hopeless: set[JobId] = field(default_factory=set)
    crashing: set[TaskKey] = field(default_factory=set)
    crash_seconds: float = 0.01


@dataclass(slots=True)
class WorkerFaults:
    """Faults of one worker.

    ``late_share``: share of the orders that are not answered and carried out
    ``late_seconds`` later.  ``hangs``: runs make no progress.  ``fails_all``: runs fail.
    """

    late_share: float = 0.0
    late_seconds: float = 3.0
    hangs: bool = False
    fails_all: bool = False


class _FakeRun:
    __slots__ = ("began_at", "is_stopping", "key", "pace", "seconds", "started_at")

    def __init__(self, key: RunKey, now: float, seconds: float) -> None:
        self.key = key
        self.started_at = now
        self.began_at: float | None = None
        self.seconds = seconds
        self.pace = _FULL_PERCENT
        self.is_stopping = False

    def percent(self, now: float) -> int:
        if self.began_at is None:
            return 0
        return min(_FULL_PERCENT - 1, int((now - self.began_at) / self.seconds * _FULL_PERCENT))


class FakeWorkerPool:
    """All workers, and the gangs that stretch over several."""

    def __init__(
        self,
        timers: Timers,
        source: random.Random,
        audit: WorkerAudit,
        work: WorkOptions,
        *,
        maximum_hold_ms: int = 6_000,
        stop_grace_seconds: float = 0.2,
        gang_wait_seconds: float = 3.0,
    ) -> None:
        self.timers = timers
        self.random = source
        self.audit = audit
        self.work = work
        self.maximum_hold_ms = maximum_hold_ms
        self.stop_grace_seconds = stop_grace_seconds
        self.gang_wait_seconds = gang_wait_seconds
        self.workers: dict[WorkerId, FakeWorker] = {}
        self.specs: dict[JobId, JobSpec] = {}
        self._gangs: dict[tuple[StepKey, int], dict[int, tuple[FakeWorker, RunKey]]] = {}
        #: Lives that crashed, where another life answers at the same address by now.
        self.replaced: set[WorkerId] = set()
        #: Ends a life and brings the next one, when a task crashes its worker.
        self.on_crash: Callable[[WorkerId], None] = lambda worker_id: None

    def add(self, record: WorkerRecord) -> FakeWorker:
        """Start a worker, perhaps again under the name that it had."""
        worker = FakeWorker(self, record, rate=1.0 - self.random.random() * 0.02)
        self.workers[record.worker_id] = worker
        return worker

    def find(self, address: WorkerAddress) -> FakeWorker | None:
        """Return the life that an order is meant for, if it is up."""
        worker = self.workers.get(address.worker_id)
        return worker if worker is not None and worker.is_up else None

    def join_gang(self, worker: FakeWorker, key: RunKey) -> None:
        """A member of a gang is there; with the last one all begin."""
        members = self._gangs.setdefault((key.task.step_key, key.number), {})
        members[key.task.task_index] = (worker, key)
        step = self.specs[key.task.job_id].steps[key.task.step]
        if len(members) == step.task_count:
            for member, member_key in members.values():
                member.begin(member_key)
        else:
            self.timers.schedule(
                self.gang_wait_seconds, lambda: worker.end_if_idle(key, RunEnd.GANG_INCOMPLETE)
            )

    def leave_gang(self, key: RunKey, end: RunEnd) -> None:
        """A member ended; the others end with it."""
        members = self._gangs.pop((key.task.step_key, key.number), {})
        others = RunEnd.DONE if end is RunEnd.DONE else RunEnd.GANG_BROKEN
        for index, (worker, member_key) in members.items():
            if index != key.task.task_index:
                worker.end(member_key, others)

    def seconds_of(self, task: TaskKey) -> float:
        """Return how long a task works."""
        work = self.work
        source = random.Random(f"{work.seed}/{task}")
        seconds = source.uniform(work.shortest_seconds, work.longest_seconds)
        return work.long_seconds if source.random() < work.long_share else seconds

    def fails(self, key: RunKey) -> bool:
        """Return whether a run fails by its own fault."""
        if key.task.job_id in self.work.hopeless:
            return True
        return random.Random(f"{self.work.seed}/{key}").random() < self.work.failing_share


class FakeWorker:
    """One life of a worker."""

    def __init__(self, pool: FakeWorkerPool, record: WorkerRecord, rate: float) -> None:
        self._pool = pool
        self.record = record
        self.is_up = True
        self.faults = WorkerFaults()
        self.token = 0
        self._rate = rate
        self._born_at = pool.timers.now()
        self._clock_base_ms = pool.random.randrange(1_000_000) if not record.born_ms else 0
        self._lease_until_ms = 0
        self._lease_timer = 0
        self.runs: dict[RunKey, _FakeRun] = {}
        self._ended: list[EndReport] = []
        self._last_number = 0
        #: Ends up to this number are dropped, also those that are yet to come.
        self._noted_through = 0
        self._settled: dict[TaskKey, int] = {}
        self._waiting: list[Callable[[], None]] = []

    @property
    def worker_id(self) -> WorkerId:
        """The life's name."""
        return self.record.worker_id

    def clock_ms(self) -> int:
        """Return what the worker's own clock shows."""
        elapsed = self._pool.timers.now() - self._born_at
        return self._clock_base_ms + int(elapsed * self._rate * _MILLISECONDS)

    def die(self, *, is_planned: bool = False) -> None:
        """End this life; what ran ends with it, and nothing is said of it."""
        self.is_up = False
        for key in list(self.runs):
            if not is_planned:
                self._pool.audit.handle_crashed(self, key)
            self._pool.audit.handle_ended(self, key, RunEnd.ABANDONED)
            self.runs.pop(key)
            self._pool.leave_gang(key, RunEnd.ABANDONED)

    # Orders

    def start(self, order: SendStart, node: str) -> OrderResult:
        """Start a run."""
        if not self._take_token(order.token):
            return self._answer(OrderOutcome.FENCED)
        is_late = order.until_ms < self.clock_ms()
        self._extend(order.until_ms)
        if is_late:
            return self._answer(OrderOutcome.EXPIRED)
        if order.run in self.runs:
            return self._answer(OrderOutcome.DONE)
        if order.run.number <= self._settled.get(order.run.task, 0):
            return self._answer(OrderOutcome.STALE)
        now = self._pool.timers.now()
        self.runs[order.run] = _FakeRun(order.run, now, self._pool.seconds_of(order.run.task))
        self._pool.audit.handle_started(self, order.run, order.payload, node)
        if order.run.task in self._pool.work.crashing:
            seconds = self._pool.work.crash_seconds
            self._pool.timers.schedule(seconds, lambda: self._crash_under(order.run))
        spec = self._pool.specs.get(order.run.task.job_id)
        if spec is not None and spec.steps[order.run.task.step].gang:
            self._pool.join_gang(self, order.run)
        else:
            self.begin(order.run)
        return self._answer(OrderOutcome.DONE)

    def stop(self, order: SendStop) -> OrderResult:
        """Stop a run, and settle it for good."""
        if not self._take_token(order.token):
            return self._answer(OrderOutcome.FENCED)
        task, number = order.run.task, order.run.number
        self._settled[task] = max(self._settled.get(task, 0), number)
        run = self.runs.get(order.run)
        if run is not None and not run.is_stopping:
            run.is_stopping = True
            delay = self._pool.random.random() * self._pool.stop_grace_seconds
            self._pool.timers.schedule(delay, lambda: self.end(order.run, RunEnd.STOPPED))
        return self._answer(OrderOutcome.DONE)

    def set_pace(self, order: SendPace) -> OrderResult:
        """Change the pace of a run."""
        if not self._take_token(order.token):
            return self._answer(OrderOutcome.FENCED)
        run = self.runs.get(order.run)
        if run is None:
            return self._answer(OrderOutcome.STALE)
        run.pace = order.percent
        return self._answer(OrderOutcome.DONE)

    def hold(self, order: SendHold, on_result: Callable[[HoldResult], None]) -> None:
        """Fence, extend and look; the answer may wait for an end."""
        if not self._take_token(order.token):
            on_result(HoldResult(OrderOutcome.FENCED))
            return
        self._noted_through = max(self._noted_through, order.acknowledged_through)
        self._drop_noted()
        if order.until_ms:
            self._extend(order.until_ms)
        if order.wait_ms and not self._ended:
            self._wait(order.wait_ms / _MILLISECONDS, on_result)
        else:
            on_result(self._lists())

    def listed_runs(self) -> list[RunKey]:
        """Return the runs whose ends the worker lists, not noted yet."""
        return [report.run for report in self._ended]

    # Work

    def begin(self, key: RunKey) -> None:
        """A run begins to work."""
        run = self.runs.get(key)
        if run is None:
            return
        now = self._pool.timers.now()
        run.began_at = now
        if self.faults.hangs:
            return
        end = RunEnd.FAILED if self.faults.fails_all or self._pool.fails(key) else RunEnd.DONE
        seconds = run.seconds if end is RunEnd.DONE else run.seconds / 2
        self._pool.timers.schedule(seconds, lambda: self._end_work(key, run, end))

    def end_if_idle(self, key: RunKey, end: RunEnd) -> None:
        """End a run that has not begun to work."""
        run = self.runs.get(key)
        if run is not None and run.began_at is None:
            self.end(key, end)

    def end(self, key: RunKey, end: RunEnd) -> None:
        """End a run and list the end."""
        if not self.is_up or self.runs.pop(key, None) is None:
            return
        self._settled[key.task] = max(self._settled.get(key.task, 0), key.number)
        self._last_number += 1
        self._ended.append(EndReport(self._last_number, key, end))
        self._pool.audit.handle_ended(self, key, end)
        self._pool.leave_gang(key, end)
        self._drop_noted()
        if not self._ended:
            return
        waiting, self._waiting = self._waiting, []
        for answer in waiting:
            answer()

    def _end_work(self, key: RunKey, run: _FakeRun, end: RunEnd) -> None:
        if self.runs.get(key) is run and not run.is_stopping:
            self.end(key, end)

    # Internals

    def _crash_under(self, key: RunKey) -> None:
        if self.is_up and key in self.runs:
            self._pool.on_crash(self.worker_id)

    def _take_token(self, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self.clock_ms() + self._pool.maximum_hold_ms)
        if until_ms <= self._lease_until_ms:
            return
        self._lease_until_ms = until_ms
        self._lease_timer += 1
        number = self._lease_timer
        seconds = (until_ms - self.clock_ms()) / _MILLISECONDS / self._rate
        self._pool.timers.schedule(max(0.0, seconds), lambda: self._lapse(number))

    def _lapse(self, number: int) -> None:
        if number != self._lease_timer or not self.is_up:
            return
        self._pool.audit.handle_lapsed(self)
        for key in list(self.runs):
            self.end(key, RunEnd.LEASE_EXPIRED)

    def _wait(self, seconds: float, on_result: Callable[[HoldResult], None]) -> None:
        is_answered = False

        def answer() -> None:
            nonlocal is_answered
            if not is_answered and self.is_up:
                is_answered = True
                on_result(self._lists())

        self._waiting.append(answer)
        self._pool.timers.schedule(seconds, answer)

    def _drop_noted(self) -> None:
        """Forget the ends that a node has said it noted."""
        for report in self._ended:
            if report.number <= self._noted_through:
                self._pool.audit.handle_noted(self, report.run, report.end)
        self._ended = [report for report in self._ended if report.number > self._noted_through]

    def _lists(self) -> HoldResult:
        now = self._pool.timers.now()
        running = [RunningReport(key, "", run.percent(now)) for key, run in self.runs.items()]
        return HoldResult(
            OrderOutcome.DONE,
            self.clock_ms(),
            running,
            list(self._ended),
            born_ms=self.record.born_ms,
        )

    def _answer(self, outcome: OrderOutcome) -> OrderResult:
        return OrderResult(outcome, self.clock_ms())
