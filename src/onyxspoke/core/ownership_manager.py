"""Keeps the entry's lease and its set of owned workers up to date with the log."""

from __future__ import annotations

from onyxspoke.core.actions import AttachWorker, DetachWorker
from onyxspoke.core.context import EntryContext
from onyxspoke.core.log_records import ClaimItem, WorkerClaim, WorkerRelease
from onyxspoke.core.owned_worker import OwnedWorker, WorkerState
from onyxspoke.core.ownership import PreferenceCache, plan_ownership
from onyxspoke.core.schema import FencingToken, MachineRecord, Resources, RunningTask, WorkerId


class OwnershipManager:
    """Claims, attaches, releases and detaches the workers of this entry."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._preferences = PreferenceCache()
        self._pending_claim_worker_ids: set[WorkerId] = set()
        self._pending_release_worker_ids: set[WorkerId] = set()
        self._attached_worker_ids: set[WorkerId] = set()
        self._first_renewal_read_at: float | None = None
        self._next_plan_at = float("-inf")

    def handle_machine_list(self, machines: list[MachineRecord]) -> list[WorkerId]:
        """Apply a new machine list; return the owned workers that the list no longer contains."""
        context = self._context
        context.machines = {machine.worker_id: machine for machine in machines}
        removed_worker_ids: list[WorkerId] = []
        for worker in list(context.workers.workers.values()):
            machine = context.machines.get(worker.worker_id)
            if machine is None:
                removed_worker_ids.append(worker.worker_id)
            else:
                worker.machine = machine
                context.workers.refresh(worker)
        return removed_worker_ids

    def handle_own_batch(self, created_at: float, now: float) -> None:
        """Extend the lease, because a batch of this entry was read back from the log.

        The lease is counted from ``created_at``, the time at which the batch was created.
        """
        context = self._context
        lease_until = created_at + context.options.lease.lease_seconds
        context.lease_until = max(context.lease_until, lease_until)
        if self._first_renewal_read_at is None:
            self._first_renewal_read_at = now

    def sync_with_log(self, now: float) -> list[WorkerId]:
        """Update the worker table from the state of the cell; return the workers that were lost."""
        lost_worker_ids = self._drop_lost()
        self._attach_claimed(now)
        for worker in self._context.workers.workers.values():
            worker.draining = worker.worker_id in self._context.cell.draining
            self._context.workers.refresh(worker)
        return lost_worker_ids

    def plan(self, now: float) -> None:
        """Append claims and releases for workers whose preferred entry is not their owner."""
        context = self._context
        if now < self._next_plan_at or not self._is_past_settle_time(now):
            return
        self._next_plan_at = now + context.options.plan_interval_seconds
        if context.stopping:
            return
        plan = plan_ownership(
            context.identity,
            context.cell,
            context.machines.values(),
            now,
            context.options.lease,
            self._preferences,
            context.holdover_promised_until,
        )
        self._append_claims(plan.claims)
        self._append_releases(plan.releases)
        context.cell.remove_expired_members(now, context.options.lease.member_retention_seconds)

    def release_all(self) -> None:
        """Release every owned worker, as part of a planned stop."""
        self._append_releases(list(self._context.workers.workers))

    def reattach(self, now: float) -> None:
        """Reattach the workers that are disconnected or have not answered."""
        interval_seconds = self._context.options.reattach_interval_seconds
        for worker in self._context.workers.workers.values():
            needs_attach = worker.state is not WorkerState.ACTIVE
            if needs_attach and now - worker.attach_sent_at >= interval_seconds:
                self._attach(worker, now)
        self._detach_idle()

    def handle_inventory(
        self,
        worker_id: WorkerId,
        token: FencingToken,
        capacity: Resources,
        running: list[RunningTask],
    ) -> bool:
        """Load a worker's inventory; return whether the worker became active."""
        worker = self._context.workers.workers.get(worker_id)
        if worker is None or worker.token != token or worker.state is WorkerState.ACTIVE:
            return False
        worker.load_inventory(capacity, running)
        worker.transition(WorkerState.ACTIVE)
        self._context.workers.refresh(worker)
        return True

    def handle_disconnect(self, worker_id: WorkerId) -> bool:
        """Handle a lost connection to a worker; return whether this entry still owns the worker."""
        self._attached_worker_ids.discard(worker_id)
        worker = self._context.workers.workers.get(worker_id)
        if worker is None:
            return False
        worker.transition(WorkerState.DISCONNECTED)
        self._context.workers.refresh(worker)
        return True

    def _is_past_settle_time(self, now: float) -> bool:
        if self._first_renewal_read_at is None:
            return False
        return now - self._first_renewal_read_at >= self._context.options.lease.settle_seconds

    def _append_claims(self, claims: list[ClaimItem]) -> None:
        new_claims = [
            item for item in claims if item.worker_id not in self._pending_claim_worker_ids
        ]
        if new_claims:
            self._pending_claim_worker_ids.update(item.worker_id for item in new_claims)
            ownership_of = self._context.cell.ownership_of
            self._context.takeover_pending_from.update(
                ownership_of(item.worker_id).holder for item in new_claims
            )
            self._context.cell_append_queue.add(WorkerClaim(new_claims))

    def _append_releases(self, worker_ids: list[WorkerId]) -> None:
        new_release_ids = [
            worker for worker in worker_ids if worker not in self._pending_release_worker_ids
        ]
        if not new_release_ids:
            return
        self._pending_release_worker_ids.update(new_release_ids)
        for worker_id in new_release_ids:
            # The worker gets no new task from now on, even before the release is read back.
            self._context.workers.remove(worker_id)
        self._context.cell_append_queue.add(WorkerRelease(new_release_ids))

    def handle_own_records(self, claims: list[ClaimItem], releases: list[WorkerId]) -> None:
        """Handle this entry's claims and releases that were read back from the log.

        They are no longer pending, whether or not readers accept them.
        """
        self._pending_claim_worker_ids.difference_update(item.worker_id for item in claims)
        if not self._pending_claim_worker_ids:
            self._context.takeover_pending_from.clear()
        self._pending_release_worker_ids.difference_update(releases)

    def _drop_lost(self) -> list[WorkerId]:
        context = self._context
        lost_worker_ids = [
            worker.worker_id
            for worker in context.workers.workers.values()
            if context.cell.ownership_of(worker.worker_id).holder != context.identity.entry_id
        ]
        for worker_id in lost_worker_ids:
            context.workers.remove(worker_id)
        return lost_worker_ids

    def _attach_claimed(self, now: float) -> None:
        context = self._context
        for worker_id, ownership in context.cell.ownerships.items():
            if ownership.holder != context.identity.entry_id:
                continue
            if worker_id in self._pending_release_worker_ids:
                continue
            machine = context.machines.get(worker_id)
            owned = context.workers.workers.get(worker_id)
            if machine is None or (owned is not None and owned.epoch == ownership.epoch):
                continue
            self._attach(context.workers.add(machine, ownership.epoch), now)

    def _attach(self, worker: OwnedWorker, now: float) -> None:
        worker.attach_sent_at = now
        worker.session += 1
        worker.transition(WorkerState.ATTACHING)
        self._context.workers.refresh(worker)
        self._attached_worker_ids.add(worker.worker_id)
        self._context.emit(AttachWorker(worker.machine, worker.token))

    def _detach_idle(self) -> None:
        context = self._context
        candidate_worker_ids = self._attached_worker_ids - context.workers.workers.keys()
        if not candidate_worker_ids:
            return
        busy_worker_ids = {request.worker_id for request in context.attempts.values()}
        for worker_id in sorted(candidate_worker_ids - busy_worker_ids):
            self._attached_worker_ids.discard(worker_id)
            context.emit(DetachWorker(worker_id))
