"""Estimates task durations by queue, tenant and worker from the ends and progress of runs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from onyxspoke.core.estimates.evidence import (
    FIRST_PERCENT,
    PROGRESS_WEIGHT,
    RESOLUTION_SECONDS,
    Observation,
    ObservedRunPace,
    StepObservations,
    estimated_seconds,
    find_baseline,
    is_end_time_known,
    is_gang_uninformative,
    is_uninformative,
    log_ratio,
    projected_seconds,
    slowest_member,
    work_baseline,
)
from onyxspoke.core.estimates.expected import DurationEstimate
from onyxspoke.core.estimates.speeds import WorkerSpeed, WorkerSpeeds
from onyxspoke.core.estimates.work_model import DEFAULT_WORK_MODEL, WorkModel
from onyxspoke.core.jobs.states import RunEnd

if TYPE_CHECKING:
    from onyxspoke.core.jobs.progress import StepProgress
    from onyxspoke.core.placement.runs import GangRun, Run

#: Interval between two recomputations of the factors, in seconds.
REFRESH_SECONDS = 0.5
#: Maximum numbers of queue models and tenant models; each takes about 1,000 bytes.
MAXIMUM_QUEUES = 64
MAXIMUM_TENANTS = 256
#: A model without new observations for this long, in seconds, is dropped.
RETENTION_SECONDS = 3_600.0
_MILLISECONDS = 1_000.0


class DurationEstimator:
    """Estimates how long tasks take.

    Parameters
    ----------
    is_learning : bool
        Whether observed durations correct the callers' estimates; if not, the estimates are used
        unchanged.
    """

    def __init__(self, is_learning: bool = True) -> None:
        self._is_learning = is_learning
        self.queues: dict[str, WorkModel] = {}
        self.tenants: dict[tuple[str, str], WorkModel] = {}
        self.speeds = WorkerSpeeds()
        #: Time, in seconds on the holder's clock, since which the holder has run without a pause.
        self.observing_since = -math.inf
        #: Whether runs were observed since the estimates were last recorded.
        self.has_unrecorded_observations = False
        self._refresh_at = 0.0

    # Expected durations

    def expected(
        self, queue: str, tenant: str, estimated_ms: float, worker_id: str = ""
    ) -> DurationEstimate:
        """Return a task's expected duration on a worker, or at usual speed if none is given."""
        seconds = estimated_ms / _MILLISECONDS
        work = self.tenants.get((queue, tenant)) or self.queues.get(queue)
        if not self._is_learning or work is None:
            return self._on_worker(seconds, seconds, 0.0, worker_id)
        evidence = work.evidence(self._refresh_at) if work.is_known else 0.0
        upper_seconds = seconds * work.upper_factor
        return self._on_worker(seconds * work.factor, upper_seconds, evidence, worker_id)

    def _on_worker(
        self, median_seconds: float, upper_seconds: float, evidence: float, worker_id: str
    ) -> DurationEstimate:
        factor = self.speeds.factor_of(worker_id) if worker_id else 1.0
        return DurationEstimate(median_seconds * factor, upper_seconds * factor, evidence)

    def work_model_for(self, queue: str, tenant: str) -> WorkModel:
        """Return the model that all jobs of a queue and tenant share.

        The queue's model is returned when the maximum number of tenant models is reached.
        """
        if not self._is_learning:
            return DEFAULT_WORK_MODEL
        return self.find_or_create(queue, tenant) or self.queues.get(queue, DEFAULT_WORK_MODEL)

    def find_or_create(self, queue: str, tenant: str) -> WorkModel | None:
        """Return the model of this queue and tenant; ``None`` if the maximum number is reached."""
        queue_model = self.queues.get(queue)
        if queue_model is None:
            if len(self.queues) >= MAXIMUM_QUEUES:
                return None
            queue_model = self.queues[queue] = WorkModel(queue)
        if not tenant:
            return queue_model
        tenant_model = self.tenants.get((queue, tenant))
        if tenant_model is None and len(self.tenants) < MAXIMUM_TENANTS:
            tenant_model = self.tenants[queue, tenant] = WorkModel(queue, tenant, queue_model)
        return tenant_model

    # Incarnations of workers

    def begin_incarnation(self, worker_id: str, born_ms: int, kind: str, now: float) -> WorkerSpeed:
        """Return the speed of an incarnation that has started or is listed for the first time."""
        if not self._is_learning:
            return WorkerSpeed(worker_id, born_ms, kind)
        return self.speeds.begin_incarnation(worker_id, born_ms, kind, now)

    def forget_worker(self, worker_id: str) -> None:
        """Drop the speed of a worker that has left the cell."""
        self.speeds.forget(worker_id)

    # Observations

    def observe_progress(self, run: Run, now: float) -> None:
        """Learn from a run's progress as reported by its worker."""
        if not self._is_learning or run.percent < FIRST_PERCENT or run.gang is not None:
            return
        if is_uninformative(run, self.observing_since):
            return
        if run.evidence is not None:
            change = run.evidence.update_pace(run.percent, now)
            if change is not None:
                # A task's own pace is constant, so a change of pace is a change of the worker's
                # speed.
                run.worker.speed.add_pace_change(run.evidence.assumed_speed_log + change, now)
                self.has_unrecorded_observations = True
            return
        seconds = projected_seconds(run, now)
        ratio = log_ratio(seconds, estimated_seconds(run))
        if ratio is None or now - run.confirmed_at <= RESOLUTION_SECONDS:
            return
        run.evidence = ObservedRunPace(seconds, run.percent, now, run.worker.speed.log)
        self._attribute_ratio(run, ratio, PROGRESS_WEIGHT, now)

    def observe_run_end(self, run: Run, end: RunEnd, now: float) -> None:
        """Learn from a run's end as listed by its worker."""
        if not self._is_learning or end is not RunEnd.DONE or not is_end_time_known(run, now):
            return
        if run.gang is not None:
            self._observe_gang_end(run.gang, now)
            return
        if is_uninformative(run, self.observing_since):
            return
        ratio = log_ratio(now - run.confirmed_at, estimated_seconds(run))
        if ratio is not None:
            share = 1.0 if run.evidence is None else 1.0 - PROGRESS_WEIGHT
            self._attribute_ratio(run, ratio, share, now)

    def _attribute_ratio(self, run: Run, ratio: float, share: float, now: float) -> None:
        """Use a run's observed ratio for both its work model and its worker's speed."""
        step = run.task.step
        if step.evidence is None:
            step.evidence = StepObservations()
        speed = run.worker.speed
        usual_log = ratio - speed.log
        step.evidence.add_sample(Observation(run.task.index, speed, ratio, share))
        self._compare_pending(step, step.evidence, now)
        # A job's tasks share the error of its caller's estimate, so together they weigh as one.
        tasks = len(step.tasks) * len(step.job.spec.steps)
        self._observe_work(step.job.work, usual_log, share / tasks, now)

    def _compare_pending(self, step: StepProgress, evidence: StepObservations, now: float) -> None:
        """Update workers' speeds by comparing their runs with other runs of the same step."""
        pending, evidence.pending = evidence.pending, []
        baselines = {
            worker_id: find_baseline(step, evidence, worker_id)
            for worker_id in {observation.speed.worker_id for observation in pending}
        }
        for observation in pending:
            speed = observation.speed
            baseline = baselines[speed.worker_id]
            if baseline is None:
                evidence.pending.append(observation)
                continue
            others_on_worker = evidence.count_others_on(speed.worker_id, observation.task_index)
            weight = observation.share * baseline.confidence / (1.0 + others_on_worker)
            speed.add_sample(observation.log_ratio - baseline.log_ratio, weight, now)

    def _observe_gang_end(self, gang: GangRun, now: float) -> None:
        """Learn once from a gang's duration, because all members end together with the slowest."""
        if gang.is_duration_recorded:
            return
        gang.is_duration_recorded = True
        if is_gang_uninformative(gang, self.observing_since):
            return
        started_at = max(member.confirmed_at for member in gang.members)
        seconds = now - started_at
        ratio = log_ratio(seconds, estimated_seconds(gang.members[0]))
        if ratio is None:
            return
        job = gang.step.job
        slowest = slowest_member(gang, seconds, now)
        baseline = work_baseline(job.work)
        if slowest is not None and baseline is not None:
            slowest.worker.speed.add_sample(ratio - baseline.log_ratio, baseline.confidence, now)
        slowest_log = max(member.worker.speed.log for member in gang.members)
        self._observe_work(job.work, ratio - slowest_log, 1.0 / len(job.spec.steps), now)

    def _observe_work(self, work: WorkModel, usual_log: float, weight: float, now: float) -> None:
        self.has_unrecorded_observations = True
        if work is not DEFAULT_WORK_MODEL:
            work.add_sample(usual_log, weight, now)

    # Periodic work

    def refresh_if_due(self, now: float) -> bool:
        """Recompute the factors if the interval has passed; return whether they were recomputed."""
        if not self._is_learning or now < self._refresh_at:
            return False
        self._refresh_at = now + REFRESH_SECONDS
        self.refresh_work_models(now)
        self.speeds.refresh(now)
        self._drop_stale_models(now)
        return True

    def refresh_work_models(self, now: float) -> None:
        """Recompute queue factors first, because tenants may inherit them."""
        for queue_model in self.queues.values():
            queue_model.refresh(now)
        for tenant_model in self.tenants.values():
            tenant_model.refresh(now)

    def _drop_stale_models(self, now: float) -> None:
        horizon = now - RETENTION_SECONDS
        for key in [key for key, work in self.tenants.items() if work.seen_at < horizon]:
            del self.tenants[key]
        # A tenant's model also updates its queue's model, so the queue's model is kept as long.
        queues_with_tenants = {queue for queue, _tenant in self.tenants}
        for name in [name for name, work in self.queues.items() if work.seen_at < horizon]:
            if name not in queues_with_tenants:
                del self.queues[name]
