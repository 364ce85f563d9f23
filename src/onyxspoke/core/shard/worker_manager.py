"""Contact with workers: the hold loop, silence, settlement, the end of leases."""

from __future__ import annotations

import math

from onyxspoke.core.placement.blame import IncarnationEndReason
from onyxspoke.core.placement.worker_record import WorkerListing
from onyxspoke.core.placement.workers import HoldInFlight, Worker, WorkerContact
from onyxspoke.core.shard.actions import DropWorkerConnections, SendHold, StepDownReason
from onyxspoke.core.shard.context import ShardContext, address_of
from onyxspoke.core.shard.orders import HoldResult, OrderOutcome
from onyxspoke.core.shard.run_manager import RunManager
from onyxspoke.core.shard.run_reconciler import RunReconciler
from onyxspoke.core.shard.worker_registry import WorkerRegistry

#: Pause between looks at a worker that does not answer.
SILENT_LOOK_SECONDS = 0.35
#: Pause between looks while ends cannot be committed.
UNCOMMITTED_PAUSE_SECONDS = 0.25
#: Holds in a row without an answer after which a worker counts as silent.
MISSES_TO_SILENCE = 2
#: A hold without an answer that ends so soon, in seconds, after it could have been answered was
#: refused or reset; one that is lost on its way ends later, with its time.
PROMPT_SECONDS = 0.1
#: Pause before a worker that answered as unhealthy is looked at again.
UNHEALTHY_PAUSE_SECONDS = 0.3
#: For how long an answer may wait where tasks that fill are kept at their pace.
FIGURES_WAIT_MS = 300
#: For how long an answer may wait while answers are being lost: a lost one hides a worker's ends
#: for as long as it was to wait...
LOSSY_WAIT_MS = 200
#: ... and for how long after a lost answer that is so, in seconds.
LOSSY_SECONDS = 2.0

_MILLISECONDS = 1_000.0


class WorkerManager:
    """Keeps contact with every worker of the shard.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    runs : RunManager
        Ends what is certainly over.
    reports : RunReconciler
        Takes in what workers list.
    worker_registry : WorkerRegistry
        Which workers there are.
    """

    def __init__(
        self,
        context: ShardContext,
        runs: RunManager,
        reports: RunReconciler,
        worker_registry: WorkerRegistry,
    ) -> None:
        self._context = context
        self._runs = runs
        self._reports = reports
        self._worker_registry = worker_registry
        self._settled_once = False
        self._hold_counter = 0
        #: When an answer of a worker that was in contact was last lost.
        self._answer_lost_at = -math.inf

    # Holds

    def tick(self, now: float) -> None:
        """Send the holds that are due, and end what is certainly over."""
        self._worker_registry.tick(now)
        for worker in list(self._context.table.workers.values()):
            if worker.contact is WorkerContact.ENDED:
                self._keep_over(worker, now)
                continue
            if worker.contact is not WorkerContact.RECONCILED and now > worker.lease_over_at():
                self._end_life(worker, now, IncarnationEndReason.LEASE_EXPIRED)
                continue
            self._hold_if_due(worker, now)
        self._settle_if_known(now)

    def _is_of_use(self, worker: Worker) -> bool:
        """Return whether a worker runs something, or may come to.

        Entries of the directory may name services that no configuration has; nothing ever runs
        there, and what answers at the address may be anything.
        """
        services = self._context.policy.services
        is_known = not services or worker.record.service in services
        return is_known or bool(worker.runs) or worker.was_used_by_previous_holder

    def _hold_if_due(self, worker: Worker, now: float) -> None:
        if not self._is_of_use(worker):
            return
        if worker.poll_requested and not worker.immediate_hold.sent_at:
            worker.poll_requested = False
            self._send_hold(worker, worker.immediate_hold, now, wait_ms=0)
        elif not worker.long_hold.sent_at and now >= worker.next_hold_at:
            is_settled = worker.contact is WorkerContact.RECONCILED
            is_committed = worker.acknowledged_through >= worker.processed_through
            may_wait = is_settled and is_committed and worker.missed_holds == 0
            wait_ms = self._context.options.hold_wait_ms if may_wait else 0
            if now - self._answer_lost_at < LOSSY_SECONDS and worker.runs:
                wait_ms = min(wait_ms, LOSSY_WAIT_MS)
            if worker.needs_pacing():
                # Figures of what serves are wanted more often than ends come.
                wait_ms = min(wait_ms, FIGURES_WAIT_MS)
            self._send_hold(worker, worker.long_hold, now, wait_ms=wait_ms)

    def _send_hold(self, worker: Worker, hold: HoldInFlight, now: float, wait_ms: int) -> None:
        context = self._context
        hold.sent_at = now
        self._hold_counter += 1
        hold.number = self._hold_counter
        hold.wait_seconds = wait_ms / _MILLISECONDS
        until_ms = 0
        # A silent worker may hear us though we do not hear it; then its lease is to run out.
        is_heard = worker.contact is WorkerContact.RECONCILED
        if is_heard and worker.clock.is_known and context.may_send_orders(now):
            until_ms = worker.clock.estimate_ms(now) + context.options.maximum_hold_ms
            worker.extend_lease(until_ms)
        context.emit(
            SendHold(
                address=address_of(worker),
                token=context.token,
                acknowledged_through=worker.acknowledged_through,
                until_ms=until_ms,
                wait_ms=wait_ms,
                number=hold.number,
            )
        )

    def handle_hold_result(
        self, worker: Worker, number: int, result: HoldResult, now: float
    ) -> None:
        """A worker answered a hold, or did not."""
        hold = worker.long_hold if worker.long_hold.number == number else worker.immediate_hold
        if hold.number != number or not hold.sent_at:
            return
        sent_at, hold.sent_at = hold.sent_at, 0.0
        ended_early = now - sent_at < hold.wait_seconds + PROMPT_SECONDS
        if result.outcome is OrderOutcome.DONE:
            self._take_answer(worker, result, sent_at, now)
        elif result.outcome is OrderOutcome.FENCED:
            self._context.step_down(StepDownReason.WORKER_FENCED)
        elif result.outcome is OrderOutcome.OTHER_INCARNATION:
            next_life = None
            if result.born_ms:
                next_life = self._begin_next_life(worker, result.born_ms, now)
            self._end_life(worker, now, IncarnationEndReason.OTHER_INCARNATION, next_life)
        else:
            if result.outcome in (OrderOutcome.NO_ANSWER, OrderOutcome.NOT_SENT):
                worker.note_failed_poll(ended_early)
            self._take_miss(worker, result.outcome, now)

    def _take_answer(self, worker: Worker, result: HoldResult, sent_at: float, now: float) -> None:
        worker.clock.read(result.clock_ms, now)
        worker.born_ms = worker.born_ms or result.born_ms
        if sent_at >= worker.unanswered_order_at:
            worker.unanswered_order_at = 0.0
        worker.missed_holds = 0
        worker.hold_answered_at = now
        worker.note_answer(now)
        was_settled = worker.contact is WorkerContact.RECONCILED
        self._reports.reconcile(worker, result, sent_at, now)
        if not was_settled:
            self._settle(worker, result, now)
        if result.is_complete:
            self._reports.settle_worker(worker, now)
        self._after_answer(worker, now)

    def _settle(self, worker: Worker, result: HoldResult, now: float) -> None:
        if worker.contact is WorkerContact.UNRECONCILED:
            # A former holder may have extended the lease just before.
            worker.extend_lease(result.clock_ms + self._context.options.maximum_hold_ms)
        worker.move_to(WorkerContact.RECONCILED)
        self._log(worker, "worker_settled", runs=len(worker.runs), born_ms=result.born_ms)
        worker.next_hold_at = now
        self._context.needs_placement = True

    def _after_answer(self, worker: Worker, now: float) -> None:
        context = self._context
        pause = context.options.hold_interval_seconds
        if worker.processed_through > worker.acknowledged_through:
            pause = UNCOMMITTED_PAUSE_SECONDS
            context.commit.after_commit(_TellWorker(worker, worker.processed_through, context))
        worker.next_hold_at = max(worker.next_hold_at, now + pause)

    def _take_miss(self, worker: Worker, outcome: OrderOutcome, now: float) -> None:
        worker.missed_holds += 1
        if outcome is OrderOutcome.NO_ANSWER and worker.contact is WorkerContact.RECONCILED:
            self.note_answer_lost(now)
        if outcome is OrderOutcome.UNHEALTHY:
            worker.next_hold_at = now + UNHEALTHY_PAUSE_SECONDS
        elif worker.missed_holds < MISSES_TO_SILENCE:
            worker.next_hold_at = now
        else:
            worker.next_hold_at = now + SILENT_LOOK_SECONDS
        if worker.missed_holds >= MISSES_TO_SILENCE and worker.contact is WorkerContact.RECONCILED:
            worker.move_to(WorkerContact.UNRESPONSIVE)
            worker.unresponsive_since = now
            lease_left = round(worker.lease_over_at() - now, 2)
            self._log(worker, "worker_silent", outcome=outcome.value, lease_left=lease_left)

    def note_answer_lost(self, now: float) -> None:
        """An answer of a worker that is in contact did not come: look more often for a while."""
        if now - self._answer_lost_at >= LOSSY_SECONDS:
            self._context.log("answers_lost", wait_ms=LOSSY_WAIT_MS)
        self._answer_lost_at = now

    # Ends of lives

    def _end_life(
        self,
        worker: Worker,
        now: float,
        sign: IncarnationEndReason,
        next_life: Worker | None = None,
    ) -> None:
        if worker.contact is WorkerContact.ENDED:
            if next_life is not None:
                self._runs.hand_over_starts(worker, next_life, now)
            return
        worker.move_to(WorkerContact.ENDED)
        self._log(
            worker,
            "worker_over",
            reason=sign.value,
            runs=len(worker.runs),
            listing=worker.listing.value,
            unheard_ms=int((now - worker.last_answer_at) * _MILLISECONDS)
            if worker.last_answer_at
            else -1,
        )
        self._runs.abandon_all(worker, sign, now, next_life)
        self._reports.settle_worker(worker, now)
        self._context.needs_placement = True
        if sign is IncarnationEndReason.OTHER_INCARNATION:
            worker.listing = WorkerListing.GONE

    def _begin_next_life(self, former: Worker, born_ms: int, now: float) -> Worker:
        """Return the life that follows: a worker has started again under its name.

        Whatever is counted for a worker (ends, lists by its clock, runs, tickets) was the former
        life's.  Kept for the next one, it made that drop its own ends unread, so that tasks ran
        again, and made us leave its lists aside, so that tasks did not run at all.
        """
        self._context.emit(DropWorkerConnections(address_of(former)))
        worker = self._worker_registry.begin_next_life(former, born_ms, now)
        self._context.advice_dispatcher.forget_worker(worker.worker_id)
        self._log(
            worker,
            "worker_started_again",
            born_ms=born_ms,
            former_born_ms=former.born_ms,
            described=int(worker.is_record_current),
        )
        return worker

    def _keep_over(self, worker: Worker, now: float) -> None:
        if worker.listing is not WorkerListing.GONE:
            # The directory still has it: it may have been cut off, and come back.
            self._hold_if_due(worker, now)
            return
        if worker.long_hold.sent_at or worker.immediate_hold.sent_at:
            return
        self._worker_registry.forget(worker)
        self._context.emit(DropWorkerConnections(address_of(worker)))

    def _settle_if_known(self, now: float) -> None:
        if self._settled_once or self._context.table.unreconciled():
            return
        self._settled_once = True
        self._context.log("recovery_complete", workers=len(self._context.table.workers))
        self._context.job_registry.is_recovering = False
        self._context.job_registry.requeue_tasks_in_doubt(now)
        self._runs.repair_gangs(now)
        self._context.needs_placement = True

    def _log(self, worker: Worker, event: str, **fields: str | int | float) -> None:
        self._context.log(event, worker=worker.worker_id, **fields)


class _TellWorker:
    """Once ends are committed, their worker may forget them."""

    def __init__(self, worker: Worker, number: int, context: ShardContext) -> None:
        self._worker = worker
        self._number = number
        self._context = context

    def __call__(self, now: float) -> None:
        worker = self._worker
        worker.acknowledged_through = max(worker.acknowledged_through, self._number)
        pause = self._context.options.hold_interval_seconds
        worker.next_hold_at = min(worker.next_hold_at, max(now, worker.hold_answered_at + pause))
