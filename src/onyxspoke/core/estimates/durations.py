"""How long tasks take, by queue, tenant and worker: learned from ends and from progress."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from onyxspoke.core.estimates.evidence import (
    FIRST_PERCENT,
    PROGRESS_SHARE,
    RESOLUTION_SECONDS,
    Observation,
    ObservedRunPace,
    StepObservations,
    baseline_of,
    compare,
    estimated_seconds,
    gang_tells_nothing,
    is_end_certain,
    log_ratio,
    projected_seconds,
    slowest_member,
    tells_nothing,
)
from onyxspoke.core.estimates.expected import DurationEstimate
from onyxspoke.core.estimates.speeds import Speeds, WorkerSpeed
from onyxspoke.core.estimates.work_model import DEFAULT_WORK_MODEL, WorkModel
from onyxspoke.core.jobs.states import RunEnd

if TYPE_CHECKING:
    from onyxspoke.core.jobs.progress import StepProgress
    from onyxspoke.core.placement.runs import GangRun, Run

#: Factors are worked out anew so often, in seconds.
REFRESH_SECONDS = 0.5
#: Queues, and tenants in queues, of which something is kept at most; some 1,000 bytes each.
MAXIMUM_QUEUES = 64
MAXIMUM_TENANTS = 256
#: What nothing was seen of for so long, in seconds, is dropped.
FORGET_SECONDS = 3_600.0
_MILLISECONDS = 1_000.0


class DurationEstimator:
    """Expects how long tasks take.

    Parameters
    ----------
    is_learning : bool
        Whether anything is learned; if not, callers' estimates are taken as they are.
    """

    def __init__(self, is_learning: bool = True) -> None:
        self._is_learning = is_learning
        self.queues: dict[str, WorkModel] = {}
        self.tenants: dict[tuple[str, str], WorkModel] = {}
        self.speeds = Speeds()
        #: Since when the holder has been at work without a pause, in its seconds.
        self.observing_since = -math.inf
        #: Whether something was seen since the last record of it.
        self.has_unrecorded_observations = False
        self._refresh_at = 0.0

    # What is expected

    def expected(
        self, queue: str, tenant: str, estimated_ms: float, worker_id: str = ""
    ) -> DurationEstimate:
        """Return how long a task takes on a worker; on one of usual speed where none is named."""
        seconds = estimated_ms / _MILLISECONDS
        work = self.tenants.get((queue, tenant)) or self.queues.get(queue)
        if not self._is_learning or work is None:
            return self._on_worker(seconds, seconds, 0.0, worker_id)
        evidence = work.evidence(self._refresh_at) if work.is_known else 0.0
        upper = seconds * work.upper_factor
        return self._on_worker(seconds * work.factor, upper, evidence, worker_id)

    def _on_worker(
        self, median: float, upper: float, evidence: float, worker_id: str
    ) -> DurationEstimate:
        factor = self.speeds.factor_of(worker_id) if worker_id else 1.0
        return DurationEstimate(median * factor, upper * factor, evidence)

    def work_model_for(self, queue: str, tenant: str) -> WorkModel:
        """Return the model that jobs of a queue and tenant share.

        It is the queue's where there is no more room for the tenant's.
        """
        if not self._is_learning:
            return DEFAULT_WORK_MODEL
        return self.find_or_add(queue, tenant) or self.queues.get(queue, DEFAULT_WORK_MODEL)

    def find_or_add(self, queue: str, tenant: str) -> WorkModel | None:
        """Return the model of exactly this work, or ``None`` if there is no room for it."""
        of_queue = self.queues.get(queue)
        if of_queue is None:
            if len(self.queues) >= MAXIMUM_QUEUES:
                return None
            of_queue = self.queues[queue] = WorkModel(queue)
        if not tenant:
            return of_queue
        of_tenant = self.tenants.get((queue, tenant))
        if of_tenant is None and len(self.tenants) < MAXIMUM_TENANTS:
            of_tenant = self.tenants[queue, tenant] = WorkModel(queue, tenant, of_queue)
        return of_tenant

    # Lives of workers

    def begin_incarnation(self, worker_id: str, born_ms: int, kind: str, now: float) -> WorkerSpeed:
        """Return what is known of a life of a worker that begins, or is first heard of."""
        if not self._is_learning:
            return WorkerSpeed(worker_id, born_ms, kind)
        return self.speeds.begin_incarnation(worker_id, born_ms, kind, now)

    def forget_worker(self, worker_id: str) -> None:
        """Drop what is known of a worker that is gone."""
        self.speeds.forget(worker_id)

    # What was seen

    def observe_progress(self, run: Run, now: float) -> None:
        """A worker reports how far a run is."""
        if not self._is_learning or run.percent < FIRST_PERCENT or run.gang is not None:
            return
        if tells_nothing(run, self.observing_since):
            return
        if run.evidence is not None:
            change = run.evidence.take_change(run.percent, now)
            if change is not None:
                # Tasks keep their pace, so it is the worker that has changed.
                run.worker.speed.note_change(run.evidence.speed_log + change, now)
                self.has_unrecorded_observations = True
            return
        seconds = projected_seconds(run, now)
        ratio = log_ratio(seconds, estimated_seconds(run))
        if ratio is None or now - run.confirmed_at <= RESOLUTION_SECONDS:
            return
        run.evidence = ObservedRunPace(seconds, run.percent, now, run.worker.speed.log)
        self._take(run, ratio, PROGRESS_SHARE, now)

    def observe_run_end(self, run: Run, end: RunEnd, now: float) -> None:
        """A worker lists the end of a run."""
        if not self._is_learning or end is not RunEnd.DONE or not is_end_certain(run, now):
            return
        if run.gang is not None:
            self._note_gang_end(run.gang, now)
            return
        if tells_nothing(run, self.observing_since):
            return
        ratio = log_ratio(now - run.confirmed_at, estimated_seconds(run))
        if ratio is not None:
            share = 1.0 if run.evidence is None else 1.0 - PROGRESS_SHARE
            self._take(run, ratio, share, now)

    def _take(self, run: Run, ratio: float, share: float, now: float) -> None:
        """Divide what a run told between its job's work and its worker."""
        step = run.task.step
        if step.evidence is None:
            step.evidence = StepObservations()
        speed = run.worker.speed
        usual = ratio - speed.log
        step.evidence.note(Observation(run.task.index, speed, ratio, share))
        self._compare_waiting(step, step.evidence, now)
        # A job counts once, however many tasks it has: they share its caller's error.
        tasks = len(step.tasks) * len(step.job.spec.steps)
        self._note_work(step.job.work, usual, share / tasks, now)

    def _compare_waiting(self, step: StepProgress, evidence: StepObservations, now: float) -> None:
        """Tell workers by what their runs took beside others' of the same step."""
        waiting, evidence.waiting = evidence.waiting, []
        for seen in waiting:
            speed = seen.speed
            base = compare(step, evidence, speed.worker_id)
            if base is None:
                evidence.waiting.append(seen)
                continue
            alike = evidence.count_on(speed.worker_id, seen.task_index)
            weight = seen.share * base.sureness / (1.0 + alike)
            speed.note(seen.log_ratio - base.log_ratio, weight, now)

    def _note_gang_end(self, gang: GangRun, now: float) -> None:
        """All members end with the slowest, so that a gang tells one thing."""
        if gang.is_duration_recorded:
            return
        gang.is_duration_recorded = True
        if gang_tells_nothing(gang, self.observing_since):
            return
        began = max(member.confirmed_at for member in gang.members)
        seconds = now - began
        ratio = log_ratio(seconds, estimated_seconds(gang.members[0]))
        if ratio is None:
            return
        job = gang.step.job
        slowest = slowest_member(gang, seconds, now)
        base = baseline_of(job.work)
        if slowest is not None and base is not None:
            slowest.worker.speed.note(ratio - base.log_ratio, base.sureness, now)
        slowest_log = max(member.worker.speed.log for member in gang.members)
        self._note_work(job.work, ratio - slowest_log, 1.0 / len(job.spec.steps), now)

    def _note_work(self, work: WorkModel, usual: float, weight: float, now: float) -> None:
        self.has_unrecorded_observations = True
        if work is not DEFAULT_WORK_MODEL:
            work.note(usual, weight, now)

    # Time

    def refresh_if_due(self, now: float) -> bool:
        """Work the factors out anew if that is due; return whether it was."""
        if not self._is_learning or now < self._refresh_at:
            return False
        self._refresh_at = now + REFRESH_SECONDS
        self.refresh_works(now)
        self.speeds.refresh(now)
        self._forget_unseen(now)
        return True

    def refresh_works(self, now: float) -> None:
        """Work the factors of queues out anew, and then those of tenants, which may follow them."""
        for of_queue in self.queues.values():
            of_queue.refresh(now)
        for of_tenant in self.tenants.values():
            of_tenant.refresh(now)

    def _forget_unseen(self, now: float) -> None:
        horizon = now - FORGET_SECONDS
        for key in [key for key, work in self.tenants.items() if work.seen_at < horizon]:
            del self.tenants[key]
        # A tenant's work tells of its queue as well, which stays for as long.
        followed = {queue for queue, _tenant in self.tenants}
        for name in [name for name, work in self.queues.items() if work.seen_at < horizon]:
            if name not in followed:
                del self.queues[name]
