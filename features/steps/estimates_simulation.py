"""Simulates workers and runs in virtual time, from which durations are learned."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.jobs.model import JobSpec, QueuePolicy, ResourceVector, StepSpec
from onyxspoke.core.jobs.progress import JobProgress, StepProgress
from onyxspoke.core.jobs.states import RunEnd, RunState
from onyxspoke.core.placement.runs import GangRun, Run
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.shard.actions import DecisionLogLine
from onyxspoke.core.shard.context import ShardContext, ShardOptions
from onyxspoke.core.shard.estimates_manager import EstimatesManager
from onyxspoke.core.shard.load_options import LoadOptions

TICK_SECONDS = 0.05
#: Interval between two lists of a worker's runs, and delay from a run's end to the list with it.
POLL_SECONDS = 0.3
LAG_SECONDS = 0.04
QUEUE = QueuePolicy(name="letters", service="service", stretch=2.0, target_latency_ms=1_000)
#: Relative tolerance of forecasts, which the bucket width and the lag of ends require.
RELATIVE_TOLERANCE = 0.16


class EstimatesSimulation:
    """Workers that run tasks, and a holder that observes the progress and ends of runs."""

    def __init__(self, learns: bool = True) -> None:
        load = LoadOptions(learned_estimates=learns)
        self.context = ShardContext(ShardOptions(load=load), 1)
        self.keeper = EstimatesManager(self.context)
        self.now = 100.0
        self.random = random.Random(7)
        self.workers: dict[str, Worker] = {}
        self.slowdown_factors: dict[str, float] = {}
        self.times: dict[tuple[str, str], float] = {}
        self.long_task_percent = 0
        self.failing_percent = 0
        self.runs: dict[Run, float] = {}
        self.ended: list[Run] = []
        self.logged_lines: list[DecisionLogLine] = []
        self.most_logged_at_once = 0
        self.count = 0
        self._polled_at = 0.0

    @property
    def durations(self) -> DurationEstimator:
        return self.context.durations

    def add_worker(self, name: str, kind: str = "", rack: str = "one") -> None:
        started_ms = 1_000 + len(self.workers)
        record = WorkerRecord(
            worker_id=name,
            host="",
            port=0,
            service="service",
            zone="zone",
            capacity=ResourceVector(64_000, 64_000, 0),
            kind=kind,
            rack=rack,
            born_ms=started_ms,
        )
        self.workers[name] = worker = Worker(record, 0.0)
        worker.speed = self.durations.begin_incarnation(name, started_ms, kind, self.now)

    def start(
        self,
        tasks: int,
        seconds: float,
        tenant: str = "",
        queue: str = "letters",
        times: float | None = None,
        prepare: Callable[[Run], None] = lambda run: None,
        **traits: Any,
    ) -> StepProgress:
        """Start a job whose tasks are distributed over the workers."""
        self.count += 1
        step_spec = StepSpec(task_count=tasks, estimated_ms=round(seconds * 1_000), **traits)
        policy = msgspec.structs.replace(QUEUE, name=queue)
        spec = JobSpec(
            job_id=f"{self.count:016x}",
            queue=policy,
            payload="",
            steps=(step_spec,),
            tenant=tenant,
        )
        job = JobProgress(spec, self.now, self.durations.work_model_for(queue, tenant))
        [step] = job.begin_repetition(0, self.now)
        gang = GangRun(step, 1) if step_spec.gang else None
        names = list(self.workers)
        first = self.random.randrange(len(names))
        if times is None:
            times = self.times.get((queue, tenant), self.times.get((queue, ""), 1.0))
        for task in step.tasks:
            worker = self.workers[names[(first + task.index) % len(names)]]
            run = Run(task, 1, worker, self.now, gang)
            run.state = RunState.RUNNING
            run.ordered_at = run.confirmed_at = self.now
            prepare(run)
            work = (
                seconds
                * times
                * (10.0 if self.random.randrange(100) < self.long_task_percent else 1.0)
            )
            self.runs[run] = work
            run.usage = round(work * 1e6)
        return step

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += TICK_SECONDS
            for run in list(self.runs):
                self._advance(run)
            if self.now - self._polled_at >= POLL_SECONDS:
                self._polled_at = self.now
                for run in self.runs:
                    self._poll(run)
            self.tick()

    def tick(self) -> None:
        self.keeper.tick(self.now)
        logged_lines = [item for item in self.context.actions if isinstance(item, DecisionLogLine)]
        self.logged_lines += logged_lines
        self.most_logged_at_once = max(self.most_logged_at_once, len(logged_lines))
        self.context.actions.clear()

    def _advance(self, run: Run) -> None:
        work = run.usage / 1e6
        self.runs[run] -= TICK_SECONDS / self.slowdown_factors.get(run.worker.worker_id, 1.0)
        if run.gang is not None:
            if all(self.runs.get(member, 0.0) <= 0.0 for member in run.gang.members):
                self._end(run, RunEnd.DONE)
        elif self.runs[run] <= 1e-9:
            self._end(run, RunEnd.DONE)
        elif self.runs[run] <= work / 2 and self.random.randrange(100) < self.failing_percent:
            self._end(run, RunEnd.FAILED)
        elif self.runs[run] <= work / 2:
            run.usage = round(work * 1e6)

    def _end(self, run: Run, end: RunEnd) -> None:
        del self.runs[run]
        self.ended.append(run)
        self.durations.observe_run_end(run, end, self.now + LAG_SECONDS)
        run.state = RunState.ENDED

    def _poll(self, run: Run) -> None:
        work = run.usage / 1e6
        percent = min(100, int(100 * (1.0 - self.runs[run] / work)))
        run.listed_at = self.now
        if percent != run.percent:
            run.percent = percent
            run.progressed_at = self.now
            self.durations.observe_progress(run, self.now)

    def drain(self) -> None:
        while self.runs:
            self.pass_time(1.0)
        self.pass_time(1.0)

    def run_jobs(self, jobs: int, tasks: int, seconds: float, **options: Any) -> None:
        for _ in range(jobs):
            self.start(tasks, seconds, **options)
            self.pass_time(0.2)
        self.drain()

    def expected(self, seconds: float, tenant: str = "", worker: str = "") -> Any:
        return self.durations.expected("letters", tenant, seconds * 1_000, worker)
