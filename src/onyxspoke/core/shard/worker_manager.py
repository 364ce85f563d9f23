"""Contact with workers: hold requests, missed answers, reconciliation and lease expiry."""

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

#: Interval between two polls of a worker that does not answer.
UNRESPONSIVE_POLL_INTERVAL_SECONDS = 0.35
#: Interval between two holds while the reported ends are not committed yet.
UNCOMMITTED_HOLD_INTERVAL_SECONDS = 0.25
#: Consecutive holds without an answer after which a worker counts as unresponsive.
MISSED_HOLDS_UNTIL_UNRESPONSIVE = 2
#: If an unanswered hold ends at most this long after its wait time, its connection was refused or
#: reset.  A lost hold ends later, by its timeout.
EARLY_END_TOLERANCE_SECONDS = 0.1
#: Interval after which a worker that answered as unhealthy is polled again.
UNHEALTHY_HOLD_INTERVAL_SECONDS = 0.3
#: How long a worker may delay its answer while filler tasks on it are paced.
PACED_HOLD_WAIT_MS = 300
#: How long a worker may delay its answer while answers are being lost; losing an answer hides
#: the worker's ends for as long as the answer was delayed.
LOSSY_HOLD_WAIT_MS = 200
#: How long after a lost answer further losses are expected.
LOSSY_PERIOD_SECONDS = 2.0

_MILLISECONDS = 1_000.0


class WorkerManager:
    """Maintains contact with every worker of the shard.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    run_manager : RunManager
        Abandons the runs of incarnations that have ended.
    reconciler : RunReconciler
        Processes the lists that workers report.
    worker_registry : WorkerRegistry
        Knows the shard's workers.
    """

    def __init__(
        self,
        context: ShardContext,
        run_manager: RunManager,
        reconciler: RunReconciler,
        worker_registry: WorkerRegistry,
    ) -> None:
        self._context = context
        self._run_manager = run_manager
        self._reconciler = reconciler
        self._worker_registry = worker_registry
        self._is_recovery_complete = False
        self._last_hold_number = 0
        #: When an answer of a reconciled worker was last lost.
        self._last_answer_loss_at = -math.inf

    # Holds

    def tick(self, now: float) -> None:
        """Send due holds, and end incarnations whose leases have expired."""
        self._worker_registry.tick(now)
        for worker in list(self._context.table.workers.values()):
            if worker.contact is WorkerContact.ENDED:
                self._handle_ended_incarnation(worker, now)
                continue
            if worker.contact is not WorkerContact.RECONCILED and now > worker.lease_over_at():
                self._end_incarnation(worker, now, IncarnationEndReason.LEASE_EXPIRED)
                continue
            self._hold_if_due(worker, now)
        self._complete_recovery_if_reconciled(now)

    def _may_run_tasks(self, worker: Worker) -> bool:
        """Return whether a worker has runs of the shard, or may get some.

        The directory may list workers of services that are not configured.  Such workers get no
        runs and are not contacted, because any program may answer at their addresses.
        """
        services = self._context.policy.services
        is_service_known = not services or worker.record.service in services
        return is_service_known or bool(worker.runs) or worker.was_used_by_previous_holder

    def _hold_if_due(self, worker: Worker, now: float) -> None:
        if not self._may_run_tasks(worker):
            return
        if worker.poll_requested and not worker.immediate_hold.sent_at:
            worker.poll_requested = False
            self._send_hold(worker, worker.immediate_hold, now, wait_ms=0)
        elif not worker.long_hold.sent_at and now >= worker.next_hold_at:
            is_reconciled = worker.contact is WorkerContact.RECONCILED
            are_ends_committed = worker.acknowledged_through >= worker.processed_through
            may_wait = is_reconciled and are_ends_committed and worker.missed_holds == 0
            wait_ms = self._context.options.hold_wait_ms if may_wait else 0
            if now - self._last_answer_loss_at < LOSSY_PERIOD_SECONDS and worker.runs:
                wait_ms = min(wait_ms, LOSSY_HOLD_WAIT_MS)
            if worker.needs_pacing():
                # Latency measurements of serving tasks are needed more often than runs end.
                wait_ms = min(wait_ms, PACED_HOLD_WAIT_MS)
            self._send_hold(worker, worker.long_hold, now, wait_ms=wait_ms)

    def _send_hold(self, worker: Worker, hold: HoldInFlight, now: float, wait_ms: int) -> None:
        context = self._context
        hold.sent_at = now
        self._last_hold_number += 1
        hold.number = self._last_hold_number
        hold.wait_seconds = wait_ms / _MILLISECONDS
        until_ms = hold.until_ms = 0
        # An unresponsive worker may receive our holds although its answers are lost.  Such holds
        # must not extend its lease, or the lease would never expire.
        is_reconciled = worker.contact is WorkerContact.RECONCILED
        if is_reconciled and worker.clock.is_known and context.may_send_orders(now):
            until_ms = worker.clock.estimate_ms(now) + context.options.maximum_hold_ms
            hold.until_ms = until_ms
            worker.extend_lease(until_ms)
        context.emit(
            SendHold(
                address=address_of(worker),
                token=context.token,
                acknowledged_through=worker.acknowledged_through,
                until_ms=until_ms,
                wait_ms=wait_ms,
                number=hold.number,
                decided_at=now,
            )
        )

    def handle_hold_result(
        self, worker: Worker, number: int, result: HoldResult, now: float
    ) -> None:
        """Handle a worker's answer to a hold, or its absence."""
        hold = worker.long_hold if worker.long_hold.number == number else worker.immediate_hold
        if hold.number != number or not hold.sent_at:
            return
        sent_at, hold.sent_at = hold.sent_at, 0.0
        has_ended_early = now - sent_at < hold.wait_seconds + EARLY_END_TOLERANCE_SECONDS
        if result.outcome is OrderOutcome.DONE:
            self._process_answer(worker, result, sent_at, now)
            if result.is_complete:
                worker.note_granted_lease(hold.until_ms)
        elif result.outcome is OrderOutcome.FENCED:
            self._context.step_down(StepDownReason.WORKER_FENCED)
        elif result.outcome is OrderOutcome.OTHER_INCARNATION:
            next_incarnation = None
            if result.born_ms:
                next_incarnation = self._begin_next_incarnation(worker, result.born_ms, now)
            self._end_incarnation(
                worker, now, IncarnationEndReason.OTHER_INCARNATION, next_incarnation
            )
        else:
            if result.outcome in (OrderOutcome.NO_ANSWER, OrderOutcome.NOT_SENT):
                worker.note_failed_poll(has_ended_early)
            self._process_missed_hold(worker, result.outcome, now)

    def _process_answer(
        self, worker: Worker, result: HoldResult, sent_at: float, now: float
    ) -> None:
        worker.clock.read(result.clock_ms, now)
        worker.born_ms = worker.born_ms or result.born_ms
        if sent_at >= worker.unanswered_order_at:
            worker.unanswered_order_at = 0.0
        worker.missed_holds = 0
        worker.hold_answered_at = now
        worker.note_answer(now)
        was_reconciled = worker.contact is WorkerContact.RECONCILED
        if worker.contact is WorkerContact.ENDED:
            self._log_return(worker, result, now - sent_at)
        are_all_listed = self._reconciler.reconcile(worker, result, sent_at, now)
        # The runs of an unresponsive worker are known; of others, an end beyond the list is not.
        are_runs_known = are_all_listed or worker.contact is WorkerContact.UNRESPONSIVE
        if not was_reconciled and are_runs_known:
            self._mark_reconciled(worker, result, now)
        if are_all_listed:
            self._reconciler.settle_worker(worker, now)
        self._after_answer(worker, now)

    def _log_return(self, worker: Worker, result: HoldResult, age_seconds: float) -> None:
        """Log that a worker answers whose lease counted as over."""
        self._log_worker(
            worker,
            "worker_returned",
            clock_ms=result.clock_ms,
            lease_until_ms=worker.lease_until_ms,
            lease=worker.lease_verdict(result.clock_ms, age_seconds).value,
            running=len(result.running),
            ended=len(result.ended),
        )

    def _mark_reconciled(self, worker: Worker, result: HoldResult, now: float) -> None:
        if worker.contact is not WorkerContact.UNRESPONSIVE:
            # A previous holder may have extended the lease just before; if it counts as over, its
            # bound may have been too low.
            worker.extend_lease(result.clock_ms + self._context.options.maximum_hold_ms)
        worker.move_to(WorkerContact.RECONCILED)
        self._log_worker(worker, "worker_settled", runs=len(worker.runs), born_ms=result.born_ms)
        worker.next_hold_at = now
        self._context.needs_placement = True

    def _after_answer(self, worker: Worker, now: float) -> None:
        context = self._context
        interval_seconds = context.options.hold_interval_seconds
        if worker.processed_through > worker.acknowledged_through:
            interval_seconds = UNCOMMITTED_HOLD_INTERVAL_SECONDS
            context.commit.after_commit(_AcknowledgeEnds(worker, worker.processed_through, context))
        worker.next_hold_at = max(worker.next_hold_at, now + interval_seconds)

    def _process_missed_hold(self, worker: Worker, outcome: OrderOutcome, now: float) -> None:
        worker.missed_holds += 1
        if outcome is OrderOutcome.NO_ANSWER and worker.contact is WorkerContact.RECONCILED:
            self.note_answer_lost(now)
        if outcome is OrderOutcome.UNHEALTHY:
            worker.next_hold_at = now + UNHEALTHY_HOLD_INTERVAL_SECONDS
        elif worker.missed_holds < MISSED_HOLDS_UNTIL_UNRESPONSIVE:
            worker.next_hold_at = now
        else:
            worker.next_hold_at = now + UNRESPONSIVE_POLL_INTERVAL_SECONDS
        if (
            worker.missed_holds >= MISSED_HOLDS_UNTIL_UNRESPONSIVE
            and worker.contact is WorkerContact.RECONCILED
        ):
            worker.move_to(WorkerContact.UNRESPONSIVE)
            worker.unresponsive_since = now
            lease_left = round(worker.lease_over_at() - now, 2)
            self._log_worker(worker, "worker_silent", outcome=outcome.value, lease_left=lease_left)

    def note_answer_lost(self, now: float) -> None:
        """Record the loss of a reconciled worker's answer, and poll more often for a while."""
        if now - self._last_answer_loss_at >= LOSSY_PERIOD_SECONDS:
            self._context.log("answers_lost", wait_ms=LOSSY_HOLD_WAIT_MS)
        self._last_answer_loss_at = now

    # Ends of incarnations

    def _end_incarnation(
        self,
        worker: Worker,
        now: float,
        reason: IncarnationEndReason,
        next_incarnation: Worker | None = None,
    ) -> None:
        if worker.contact is WorkerContact.ENDED:
            if next_incarnation is not None:
                self._run_manager.transfer_unconfirmed_starts(worker, next_incarnation, now)
            return
        worker.move_to(WorkerContact.ENDED)
        self._log_worker(
            worker,
            "worker_over",
            reason=reason.value,
            runs=len(worker.runs),
            listing=worker.listing.value,
            unheard_ms=int((now - worker.last_answer_at) * _MILLISECONDS)
            if worker.last_answer_at
            else -1,
        )
        self._run_manager.abandon_runs(worker, reason, now, next_incarnation)
        self._reconciler.settle_worker(worker, now)
        self._context.needs_placement = True
        if reason is IncarnationEndReason.OTHER_INCARNATION:
            worker.listing = WorkerListing.GONE

    def _begin_next_incarnation(self, previous: Worker, born_ms: int, now: float) -> Worker:
        """Return the next incarnation of a worker that has restarted under its name.

        The counters and lists of the previous incarnation must not be carried over.  Otherwise the
        next incarnation would drop ends that were never read, so that tasks run twice.  The holder
        would also ignore the next incarnation's lists as out of order, so that tasks never run.
        """
        self._context.emit(DropWorkerConnections(address_of(previous)))
        worker = self._worker_registry.begin_next_incarnation(previous, born_ms, now)
        self._context.advice_dispatcher.forget_worker(worker.worker_id)
        self._log_worker(
            worker,
            "worker_started_again",
            born_ms=born_ms,
            former_born_ms=previous.born_ms,
            described=int(worker.is_record_current),
        )
        return worker

    def _handle_ended_incarnation(self, worker: Worker, now: float) -> None:
        if worker.listing is not WorkerListing.GONE:
            # The directory still lists the worker: it may have been partitioned, and may return.
            self._hold_if_due(worker, now)
            return
        if worker.long_hold.sent_at or worker.immediate_hold.sent_at:
            return
        self._worker_registry.forget(worker)
        self._context.emit(DropWorkerConnections(address_of(worker)))

    def _complete_recovery_if_reconciled(self, now: float) -> None:
        if self._is_recovery_complete or self._context.table.unreconciled():
            return
        self._is_recovery_complete = True
        self._context.log("recovery_complete", workers=len(self._context.table.workers))
        self._context.job_registry.is_recovering = False
        self._context.job_registry.requeue_tasks_in_doubt(now)
        self._run_manager.stop_incomplete_gangs(now)
        self._context.needs_placement = True

    def _log_worker(self, worker: Worker, event: str, **fields: str | int | float) -> None:
        self._context.log(event, worker=worker.worker_id, **fields)


class _AcknowledgeEnds:
    """Acknowledges ends to their worker once they are committed."""

    def __init__(self, worker: Worker, last_end_number: int, context: ShardContext) -> None:
        self._worker = worker
        self._last_end_number = last_end_number
        self._context = context

    def __call__(self, now: float) -> None:
        worker = self._worker
        worker.acknowledged_through = max(worker.acknowledged_through, self._last_end_number)
        interval_seconds = self._context.options.hold_interval_seconds
        worker.next_hold_at = min(
            worker.next_hold_at, max(now, worker.hold_answered_at + interval_seconds)
        )
