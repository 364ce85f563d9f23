"""Keeps this entry's lease, and its owned workers in step with the log."""

from __future__ import annotations

from onyxspoke.core.actions import AttachWorker, DetachWorker
from onyxspoke.core.context import EntryContext
from onyxspoke.core.log_records import ClaimItem, WorkerClaim, WorkerRelease
from onyxspoke.core.owned_worker import OwnedWorker, WorkerState
from onyxspoke.core.ownership import PreferenceCache, plan_ownership
from onyxspoke.core.schema import FencingToken, MachineRecord, Resources, RunningTask, WorkerId


class OwnershipManager:
    """Claims, attaches, releases and drops workers."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._preferences = PreferenceCache()
        self._claims_pending: set[WorkerId] = set()
        self._releases_pending: set[WorkerId] = set()
        self._attached: set[WorkerId] = set()
        self._joined_at: float | None = None
        self._next_plan_at = float("-inf")

    def handle_machine_list(self, machines: list[MachineRecord]) -> list[WorkerId]:
        """Take a new machine list; return the owned workers that are no longer on it."""
        context = self._context
        context.machines = {machine.worker_id: machine for machine in machines}
        gone: list[WorkerId] = []
        for worker in list(context.workers.workers.values()):
            machine = context.machines.get(worker.worker_id)
            if machine is None:
                gone.append(worker.worker_id)
            else:
                worker.machine = machine
                context.workers.refresh(worker)
        return gone

    def handle_own_batch(self, created_at: float, now: float) -> None:
        """Extend the lease: an own batch, created at that time, was read back."""
        context = self._context
        lease_until = created_at + context.options.lease.lease_seconds
        context.lease_until = max(context.lease_until, lease_until)
        if self._joined_at is None:
            self._joined_at = now

    def sync_with_log(self, now: float) -> list[WorkerId]:
        """Bring the worker table in step with the fold; return the workers that were lost."""
        lost = self._drop_lost()
        self._adopt_claimed(now)
        for worker in self._context.workers.workers.values():
            worker.draining = worker.worker_id in self._context.cell.draining
            self._context.workers.refresh(worker)
        return lost

    def plan(self, now: float) -> None:
        """Append claims and releases where wanted and seen ownership differ."""
        context = self._context
        if now < self._next_plan_at or not self._has_settled(now):
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
        context.cell.forget_members(now, context.options.lease.member_retention_seconds)

    def release_all(self) -> None:
        """Give up every owned worker, as part of a planned stop."""
        self._append_releases(list(self._context.workers.workers))

    def reattach(self, now: float) -> None:
        """Try again to attach workers whose connection or answer is missing."""
        interval = self._context.options.reattach_interval_seconds
        for worker in self._context.workers.workers.values():
            waits = worker.state is not WorkerState.ACTIVE
            if waits and now - worker.attach_sent_at >= interval:
                self._attach(worker, now)
        self._detach_idle()

    def handle_inventory(
        self,
        worker_id: WorkerId,
        token: FencingToken,
        capacity: Resources,
        running: list[RunningTask],
    ) -> bool:
        """Take a worker's inventory; return whether the worker became active."""
        worker = self._context.workers.workers.get(worker_id)
        if worker is None or worker.token != token or worker.state is WorkerState.ACTIVE:
            return False
        worker.load_inventory(capacity, running)
        worker.transition(WorkerState.ACTIVE)
        self._context.workers.refresh(worker)
        return True

    def handle_disconnect(self, worker_id: WorkerId) -> bool:
        """Note that the connection to a worker was lost; return whether it is still ours."""
        self._attached.discard(worker_id)
        worker = self._context.workers.workers.get(worker_id)
        if worker is None:
            return False
        worker.transition(WorkerState.DISCONNECTED)
        self._context.workers.refresh(worker)
        return True

    def _has_settled(self, now: float) -> bool:
        if self._joined_at is None:
            return False
        return now - self._joined_at >= self._context.options.lease.settle_seconds

    def _append_claims(self, claims: list[ClaimItem]) -> None:
        fresh = [item for item in claims if item.worker_id not in self._claims_pending]
        if fresh:
            self._claims_pending.update(item.worker_id for item in fresh)
            ownership_of = self._context.cell.ownership_of
            self._context.takeover_pending_from.update(
                ownership_of(item.worker_id).holder for item in fresh
            )
            self._context.cell_append_queue.add(WorkerClaim(fresh))

    def _append_releases(self, worker_ids: list[WorkerId]) -> None:
        fresh = [worker for worker in worker_ids if worker not in self._releases_pending]
        if not fresh:
            return
        self._releases_pending.update(fresh)
        for worker_id in fresh:
            # From here on nothing new goes to it, though the record is not yet read back.
            self._context.workers.remove(worker_id)
        self._context.cell_append_queue.add(WorkerRelease(fresh))

    def handle_own_records(self, claims: list[ClaimItem], releases: list[WorkerId]) -> None:
        """Note that own claims and releases were read back, whatever the fold decided."""
        self._claims_pending.difference_update(item.worker_id for item in claims)
        if not self._claims_pending:
            self._context.takeover_pending_from.clear()
        self._releases_pending.difference_update(releases)

    def _drop_lost(self) -> list[WorkerId]:
        context = self._context
        lost = [
            worker.worker_id
            for worker in context.workers.workers.values()
            if context.cell.ownership_of(worker.worker_id).holder != context.identity.entry_id
        ]
        for worker_id in lost:
            context.workers.remove(worker_id)
        return lost

    def _adopt_claimed(self, now: float) -> None:
        context = self._context
        for worker_id, holding in context.cell.ownerships.items():
            if holding.holder != context.identity.entry_id:
                continue
            if worker_id in self._releases_pending:
                continue
            machine = context.machines.get(worker_id)
            owned = context.workers.workers.get(worker_id)
            if machine is None or (owned is not None and owned.epoch == holding.epoch):
                continue
            self._attach(context.workers.add(machine, holding.epoch), now)

    def _attach(self, worker: OwnedWorker, now: float) -> None:
        worker.attach_sent_at = now
        worker.session += 1
        worker.transition(WorkerState.ATTACHING)
        self._context.workers.refresh(worker)
        self._attached.add(worker.worker_id)
        self._context.emit(AttachWorker(worker.machine, worker.token))

    def _detach_idle(self) -> None:
        context = self._context
        candidates = self._attached - context.workers.workers.keys()
        if not candidates:
            return
        busy = {request.worker_id for request in context.attempts.values()}
        for worker_id in sorted(candidates - busy):
            self._attached.discard(worker_id)
            context.emit(DetachWorker(worker_id))
