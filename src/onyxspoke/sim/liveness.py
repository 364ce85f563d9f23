"""Watches a simulated cell for tasks that could run, on room that is free, and do not."""

from __future__ import annotations

from onyxspoke.core.jobs.model import JobId, JobSpec, ResourceVector, StepKey, StepSpec, TaskKey
from onyxspoke.core.jobs.resource_vectors import add_vectors, subtract_vectors
from onyxspoke.core.placement.worker_record import WorkerListing
from onyxspoke.kit.jobs.audit import CRASHES_TO_GIVE_UP, JobAudit, TaskFacts, Violation
from onyxspoke.kit.jobs.workers import FakeWorker
from onyxspoke.sim.job_cluster import JobCluster

#: Between two looks.
LOOK_SECONDS = 0.25
#: A job may run nothing for so long though a task of it could run.
IDLE_SECONDS = 3.0
#: After the last disturbance everything that may hold a task back has come to its end: the longest
#: are the lease of a worker that is cut off (6.4 s) and the trial of workers that are up again.
CALM_SECONDS = 10.0
#: The room that a task needs is to be there so many times over.
TIMES_OVER = 2
#: Of all room at most so much is taken.
TAKEN_SHARE = 0.5


class LivenessWatch:
    """Looks at one shard's jobs now and then; what waits without need is a finding.

    Parameters
    ----------
    cluster : JobCluster
        The cell; its workers take the jobs of one shard.
    disturbed_until : float
        When the last drawn fault has come to its end.
    """

    def __init__(self, cluster: JobCluster, disturbed_until: float) -> None:
        self._cluster = cluster
        self._audit: JobAudit = cluster.audit
        self._disturbed_until = disturbed_until
        self._idle_since: dict[JobId, float] = {}
        self._found: set[JobId] = set()
        self.looks = 0

    def start(self) -> None:
        """Look from now on."""
        self._look()

    def _look(self) -> None:
        cluster = self._cluster
        cluster.time.schedule(LOOK_SECONDS, self._look)
        now = cluster.time.now()
        calm_since = max(self._disturbed_until, cluster.disturbed_at)
        if now < calm_since + CALM_SECONDS or cluster.holder() is None:
            self._idle_since.clear()
            return
        self.looks += 1
        workers = [worker for worker in cluster.pool.workers.values() if self._is_sound(worker)]
        if not workers or self._is_busy(workers):
            self._idle_since.clear()
            return
        for facts in self._audit.jobs.values():
            if facts.accepted_at is not None and not facts.cancel_sent:
                self._look_at(facts.spec, workers, now)

    def _look_at(self, spec: JobSpec, workers: list[FakeWorker], now: float) -> None:
        job_id = spec.job_id
        if not self._could_run(spec, workers):
            self._idle_since.pop(job_id, None)
            return
        since = self._idle_since.setdefault(job_id, now)
        if now - since >= IDLE_SECONDS and job_id not in self._found:
            self._found.add(job_id)
            self._audit.note(Violation.IDLE, f"{job_id} could run since {since:.2f} and does not")

    def _could_run(self, spec: JobSpec, workers: list[FakeWorker]) -> bool:
        """Return whether a job runs nothing though a step of it could."""
        work = self._cluster.pool.work
        if spec.job_id in work.hopeless or self._crashes_workers(spec):
            return False
        tasks = {key: task for key, task in self._audit.tasks.items() if key.job_id == spec.job_id}
        if any(task.running for task in tasks.values()):
            return False
        if any(_may_be_given_up(task, spec) for task in tasks.values()):
            return False
        if any(
            step.gang and _has_gang_used_up(tasks, number, spec)
            for number, step in enumerate(spec.steps)
        ):
            return False
        return any(
            self._turn_has_come(spec, number)
            and self._has_room(StepKey(spec.job_id, 0, number), step, workers)
            for number, step in enumerate(spec.steps)
        )

    def _crashes_workers(self, spec: JobSpec) -> bool:
        return any(key.job_id == spec.job_id for key in self._cluster.pool.work.crashing)

    def _turn_has_come(self, spec: JobSpec, number: int) -> bool:
        def is_done(step: int) -> bool:
            count = spec.steps[step].task_count
            keys = [TaskKey(spec.job_id, 0, step, index) for index in range(count)]
            done = [key in self._audit.tasks and self._audit.tasks[key].is_done for key in keys]
            return any(done) if spec.steps[step].gang else all(done)

        return not is_done(number) and all(is_done(step) for step in spec.steps[number].depends_on)

    def _has_room(self, key: StepKey, step: StepSpec, workers: list[FakeWorker]) -> bool:
        wanted = TIMES_OVER * (step.task_count if step.gang else 1)
        places = 0
        for worker in workers:
            if step.required_label and step.required_label not in worker.record.labels:
                continue
            if self._cluster.options.with_advice and not self._cluster.advice.is_good(
                key, worker.worker_id
            ):
                continue
            places += _times(
                step.needs, subtract_vectors(worker.record.capacity, self._taken(worker))
            )
        return places >= wanted

    def _is_sound(self, worker: FakeWorker) -> bool:
        directory = self._cluster.directory
        listed = directory.records.get(worker.worker_id)
        faults = worker.faults
        return (
            worker.is_up
            and listed is not None
            and listed.born_ms == worker.record.born_ms
            and listed.listing is WorkerListing.READY
            and worker.worker_id not in directory.unusable
            and not (faults.late_share or faults.hangs or faults.fails_all)
        )

    def _is_busy(self, workers: list[FakeWorker]) -> bool:
        room = sum(worker.record.capacity.processors_milli for worker in workers)
        taken = sum(self._taken(worker).processors_milli for worker in workers)
        return taken > TAKEN_SHARE * room

    def _taken(self, worker: FakeWorker) -> ResourceVector:
        taken = ResourceVector()
        for run in worker.runs:
            spec = self._cluster.pool.specs[run.task.job_id]
            taken = add_vectors(taken, spec.steps[run.task.step].needs)
        return taken


def _may_be_given_up(task: TaskFacts, spec: JobSpec) -> bool:
    attempts = len(task.failed) >= spec.queue.max_attempts
    return attempts or task.crashes >= CRASHES_TO_GIVE_UP


def _has_gang_used_up(tasks: dict[TaskKey, TaskFacts], number: int, spec: JobSpec) -> bool:
    """Return whether a gang's attempts are used up: each run of it counts, whoever failed in it."""
    failed = {
        run.number for key, task in tasks.items() if key.step == number for run in task.failed
    }
    return len(failed) >= spec.queue.max_attempts


def _times(needs: ResourceVector, room: ResourceVector) -> int:
    """Return how often an amount fits into a room."""
    return min((left // need for need, left in zip(needs, room, strict=True) if need), default=0)
