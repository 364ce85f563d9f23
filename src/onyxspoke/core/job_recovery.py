"""Jobs taken over from another entry: find what still runs before anything runs again.

After an adoption is read back, a full lease has to pass: by then no entry that could still
start a task for the old runner holds a lease without having read the adoption.  Then the
owners of all workers of the zone say what runs.  Only what runs nowhere is run again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from onyxspoke.core.actions import AnswerProbe, ProbeJobs
from onyxspoke.core.context import EntryContext
from onyxspoke.core.schema import EntryId, JobId, TaskName, WorkerId, split_task_name

PROBE_INTERVAL_SECONDS = 1.0


@dataclass(slots=True)
class ProbeRound:
    """One round of questions to the owners of the zone's workers."""

    number: int
    began_at: float
    job_ids: list[JobId]
    waiting: set[EntryId]
    workers: set[WorkerId] = field(default_factory=set)
    running: set[TaskName] = field(default_factory=set)


class JobRecovery:
    """Finds out which tasks of adopted jobs still run."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._not_before: dict[JobId, float] = {}
        self._round: ProbeRound | None = None
        self._round_counter = 0

    def begin(self, job_id: JobId, now: float) -> None:
        """Start to recover a job whose adoption was read back."""
        self._not_before[job_id] = now + self._context.options.lease.member_timeout_seconds

    def forget(self, job_id: JobId) -> None:
        """Stop to recover a job that another entry has taken, or that ended."""
        self._not_before.pop(job_id, None)

    def is_recovering(self, job_id: JobId) -> bool:
        """Return whether it is not yet known what of a job still runs."""
        return job_id in self._not_before

    def keep(self, now: float) -> None:
        """Begin a round of probes if jobs are due and none is under way."""
        if self._round is not None and now - self._round.began_at < PROBE_INTERVAL_SECONDS:
            return
        due = sorted(job_id for job_id, moment in self._not_before.items() if now >= moment)
        self._round = None
        if not due or not self._context.holds_lease(now):
            return
        self._round_counter += 1
        peers = self._zone_peers(now)
        self._round = ProbeRound(self._round_counter, now, due, set(peers))
        for peer_id in peers:
            self._context.emit(ProbeJobs(peer_id, self._round_counter, due))

    def answer_probe(self, peer_id: EntryId, probe_id: int, job_ids: list[JobId]) -> None:
        """Tell a peer what runs on the workers that this entry owns."""
        workers, running = self._own_knowledge(set(job_ids))
        self._context.emit(AnswerProbe(peer_id, probe_id, workers, running))

    def handle_reply(
        self,
        peer_id: EntryId,
        probe_id: int,
        worker_ids: list[WorkerId],
        running: list[TaskName],
    ) -> None:
        """Take a peer's word."""
        probe = self._round
        if probe is None or probe.number != probe_id or peer_id not in probe.waiting:
            return
        probe.waiting.discard(peer_id)
        probe.workers.update(worker_ids)
        probe.running.update(running)

    def take_recovered(self) -> dict[JobId, set[int]]:
        """Return the jobs of a complete round with the indexes of the tasks that run."""
        probe = self._round
        if probe is None or probe.waiting:
            return {}
        workers, own_running = self._own_knowledge(set(probe.job_ids))
        if not self._zone_workers() <= probe.workers | set(workers):
            return {}  # Some worker has no owner yet; it may run a task. Ask again later.
        self._round = None
        recovered: dict[JobId, set[int]] = {
            job_id: set() for job_id in probe.job_ids if job_id in self._not_before
        }
        for name in probe.running | set(own_running):
            job_id, index = split_task_name(name)
            if job_id in recovered:
                recovered[job_id].add(index)
        for job_id in recovered:
            del self._not_before[job_id]
        return recovered

    def _own_knowledge(self, job_ids: set[JobId]) -> tuple[list[WorkerId], list[TaskName]]:
        attached = [worker for worker in self._context.workers.workers.values() if worker.is_known]
        running = [
            task.task_name
            for worker in attached
            for task in worker.tasks.values()
            if task.task_name and split_task_name(task.task_name)[0] in job_ids
        ]
        return [worker.worker_id for worker in attached], running

    def _zone_workers(self) -> set[WorkerId]:
        zone = self._context.identity.zone
        return {
            machine.worker_id for machine in self._context.machines.values() if machine.zone == zone
        }

    def _zone_peers(self, now: float) -> list[EntryId]:
        """Return the zone's entries that may own workers, reachable or not."""
        context = self._context
        member_timeout_seconds = context.options.lease.member_timeout_seconds
        return sorted(
            member.entry_id
            for member in context.cell.members.values()
            if member.zone == context.identity.zone
            and member.entry_id != context.identity.entry_id
            and now - member.last_seen_at < member_timeout_seconds
        )
