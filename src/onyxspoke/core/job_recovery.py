"""Recovery of adopted jobs: finds the tasks that still run before it starts any again.

After an adoption is read back, the member timeout has to pass: by then every entry that still
holds a lease has read the adoption, so it starts no task for the previous runner.  Then
the owners of all workers in the zone report the tasks that run on them.  Only tasks that
run on no worker are started again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxspoke.core.actions import AnswerProbe, ProbeJobs
from onyxspoke.core.context import EntryContext
from onyxspoke.core.schema import EntryId, JobId, TaskName, WorkerId, split_task_name

PROBE_INTERVAL_SECONDS = 1.0


@dataclass(slots=True)
class ProbeRound:
    """One round of probes to the owners of the zone's workers."""

    number: int
    started_at: float
    job_ids: list[JobId]
    waiting: set[EntryId]
    workers: set[WorkerId] = field(default_factory=set)
    running: set[TaskName] = field(default_factory=set)


class JobRecovery:
    """Determines which tasks of adopted jobs still run."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._probe_not_before: dict[JobId, float] = {}
        self._current_round: ProbeRound | None = None
        self._round_counter = 0

    def begin(self, job_id: JobId, now: float) -> None:
        """Schedule the recovery of a job, after the member timeout."""
        self._probe_not_before[job_id] = now + self._context.options.lease.member_timeout_seconds

    def forget(self, job_id: JobId) -> None:
        """Cancel the recovery of a job that another entry has adopted, or that ended."""
        self._probe_not_before.pop(job_id, None)

    def is_recovering(self, job_id: JobId) -> bool:
        """Return whether the running tasks of a job are still being determined."""
        return job_id in self._probe_not_before

    def keep(self, now: float) -> None:
        """Start a round of probes if jobs are due and the last round is old enough."""
        if (
            self._current_round is not None
            and now - self._current_round.started_at < PROBE_INTERVAL_SECONDS
        ):
            return
        due_job_ids = sorted(
            job_id for job_id, not_before in self._probe_not_before.items() if now >= not_before
        )
        self._current_round = None
        if not due_job_ids or not self._context.holds_lease(now):
            return
        self._round_counter += 1
        peers = self._zone_peer_ids(now)
        self._current_round = ProbeRound(self._round_counter, now, due_job_ids, set(peers))
        for peer_id in peers:
            self._context.emit(ProbeJobs(peer_id, self._round_counter, due_job_ids))

    def answer_probe(self, peer_id: EntryId, probe_id: int, job_ids: list[JobId]) -> None:
        """Report to a peer the tasks that run on the workers owned by this entry."""
        workers, running = self._own_workers_and_running_tasks(set(job_ids))
        self._context.emit(AnswerProbe(peer_id, probe_id, workers, running))

    def handle_reply(
        self,
        peer_id: EntryId,
        probe_id: int,
        worker_ids: list[WorkerId],
        running: list[TaskName],
    ) -> None:
        """Record a peer's reply to the current round of probes."""
        probe = self._current_round
        if probe is None or probe.number != probe_id or peer_id not in probe.waiting:
            return
        probe.waiting.discard(peer_id)
        probe.workers.update(worker_ids)
        probe.running.update(running)

    def take_recovered(self) -> dict[JobId, set[int]]:
        """Return the jobs of a complete round, each with the indexes of its running tasks."""
        probe = self._current_round
        if probe is None or probe.waiting:
            return {}
        workers, own_running = self._own_workers_and_running_tasks(set(probe.job_ids))
        if not self._zone_worker_ids() <= probe.workers | set(workers):
            return {}  # A worker without an owner may run a task; a later round probes again.
        self._current_round = None
        recovered: dict[JobId, set[int]] = {
            job_id: set() for job_id in probe.job_ids if job_id in self._probe_not_before
        }
        for name in probe.running | set(own_running):
            job_id, index = split_task_name(name)
            if job_id in recovered:
                recovered[job_id].add(index)
        for job_id in recovered:
            del self._probe_not_before[job_id]
        return recovered

    def _own_workers_and_running_tasks(
        self, job_ids: set[JobId]
    ) -> tuple[list[WorkerId], list[TaskName]]:
        attached = [worker for worker in self._context.workers.workers.values() if worker.is_known]
        running = [
            task.task_name
            for worker in attached
            for task in worker.tasks.values()
            if task.task_name and split_task_name(task.task_name)[0] in job_ids
        ]
        return [worker.worker_id for worker in attached], running

    def _zone_worker_ids(self) -> set[WorkerId]:
        zone = self._context.identity.zone
        return {
            machine.worker_id for machine in self._context.machines.values() if machine.zone == zone
        }

    def _zone_peer_ids(self, now: float) -> list[EntryId]:
        """Return the other entries of the zone that may own workers, reachable or not."""
        context = self._context
        member_timeout_seconds = context.options.lease.member_timeout_seconds
        return sorted(
            member.entry_id
            for member in context.cell.members.values()
            if member.zone == context.identity.zone
            and member.entry_id != context.identity.entry_id
            and now - member.last_seen_at < member_timeout_seconds
        )
