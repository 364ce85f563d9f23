"""Scheduler of one shard: handles events and returns actions.

A scheduler exists only while its process holds the shard.  It learns its state from the records in
the store, from the workers, and from the events that its caller passes to it.
"""

from __future__ import annotations

from onyxspoke.core.admission.summary import AdmissionSummary
from onyxspoke.core.codes import ResultCode
from onyxspoke.core.jobs.model import RunKey, WorkerId
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.placer import MAXIMUM_PLACEMENTS, Placer
from onyxspoke.core.placement.worker_record import UnusableEntry, WorkerRecord
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.shard.actions import (
    AdviceRequested,
    RequestAdvice,
    SendAppend,
    SendPace,
    ShardAction,
    StepDownReason,
    WorkerAddress,
)
from onyxspoke.core.shard.admission_controller import AdmissionController
from onyxspoke.core.shard.call_handler import CallHandler
from onyxspoke.core.shard.calls import Call, CallReply
from onyxspoke.core.shard.commit import MINIMUM_COMMIT_INTERVAL_SECONDS, CommitQueue
from onyxspoke.core.shard.context import OrderRight, ShardContext, ShardOptions
from onyxspoke.core.shard.estimates_manager import EstimatesManager
from onyxspoke.core.shard.evacuation import Evacuation
from onyxspoke.core.shard.journal import (
    RecordCollector,
    restore_records,
    starts_are_recorded,
)
from onyxspoke.core.shard.layout import CellLayout
from onyxspoke.core.shard.log_records import (
    AppendOutcome,
    AppendResult,
    ClaimRecord,
    ShardId,
    ShardRecord,
)
from onyxspoke.core.shard.order_bounds import OrderBound
from onyxspoke.core.shard.orders import (
    AdviceResult,
    HoldResult,
    OrderOutcome,
    OrderResult,
)
from onyxspoke.core.shard.pace_controller import PaceController
from onyxspoke.core.shard.quota_coordinator import QuotaCoordinator
from onyxspoke.core.shard.run_manager import RunManager
from onyxspoke.core.shard.run_reconciler import RunReconciler
from onyxspoke.core.shard.run_starter import RunStarter
from onyxspoke.core.shard.unrecordable_jobs import UnrecordableJobs
from onyxspoke.core.shard.worker_manager import WorkerManager
from onyxspoke.core.shard.worker_registry import WorkerRegistry
from onyxspoke.core.tenants.quota_lender import QuotaRequest

#: A longer gap between two events means that the process was stalled, and may have been suspended.
STALL_THRESHOLD_SECONDS = 0.7
#: Interval of periodic maintenance: schedules, progress of runs, draining workers, paces.
MAINTENANCE_INTERVAL_SECONDS = 0.05
#: Shortest pause between two placement passes, so that events close together share one pass.
MINIMUM_PLACEMENT_PAUSE_SECONDS = 0.005
#: Additional pause per waiting step, because a pass takes longer the more steps wait.
PLACEMENT_PAUSE_PER_STEP_SECONDS = 0.0001
#: Upper bound of the pause between two placement passes.
MAXIMUM_PLACEMENT_PAUSE_SECONDS = 0.025
_MILLISECONDS = 1_000.0
_APPEND_FAILURES = {
    AppendOutcome.FENCED: StepDownReason.STORE_FENCED,
    AppendOutcome.INVALID: StepDownReason.APPEND_INVALID,
}


class ShardScheduler:
    """Schedules the jobs of one shard on the shard's workers.

    Parameters
    ----------
    shard : int
        Identifier of the shard.
    claim : ClaimRecord
        Claim of this process, as the store has it.
    next_sequence : int
        Sequence number of the next append in the claim's epoch.
    claimed_at : float
        When the claim was first sent.
    claim_call_seconds : float
        How long the store took to answer the claim.
    earlier_orders : OrderBound
        Until when earlier holders may send orders.
    options : ShardOptions
        Limits and timings.
    """

    def __init__(
        self,
        shard: ShardId,
        claim: ClaimRecord,
        next_sequence: int,
        claimed_at: float,
        claim_call_seconds: float,
        earlier_orders: OrderBound,
        options: ShardOptions,
    ) -> None:
        self.context = ShardContext(options, claim.token, shard)
        self._options = options
        self.runs = RunManager(self.context)
        self._run_starter = RunStarter(self.context, self.runs)
        run_reconciler = RunReconciler(self.context, self.runs)
        self._earlier_orders = earlier_orders
        self.worker_registry = WorkerRegistry(self.context, earlier_orders.until)
        self.workers = WorkerManager(self.context, self.runs, run_reconciler, self.worker_registry)
        self.quotas = QuotaCoordinator(self.context)
        self._admission = AdmissionController(self.context, self.worker_registry)
        self._call_handler = CallHandler(self.context, self.runs, self.quotas, self._admission)
        self._pace_controller = PaceController(self.context)
        self._evacuation = Evacuation(self.context, self.runs)
        self._estimates = EstimatesManager(self.context)
        self._unrecordable_jobs = UnrecordableJobs(self.context, self.runs)
        self._record_collector = RecordCollector(
            self.context, self.worker_registry, self._estimates, claim, self._unrecordable_jobs
        )
        self.context.commit = CommitQueue(
            shard=shard,
            epoch=claim.token,
            next_sequence=next_sequence,
            ownership_proven_at=claimed_at,
            collect=self._record_collector.collect,
            renew=self._record_collector.renew,
            is_dirty=self._record_collector.is_dirty,
            latest_call_seconds=claim_call_seconds,
        )
        stop_seconds = options.stop_grace_ms / _MILLISECONDS
        self._placer = Placer(
            self.context.table,
            self.context.advice_dispatcher,
            stop_seconds,
            is_speed_aware=options.load.unlike_workers,
            planning_limit=self._run_starter.planning_limit,
        )
        self._last_active_at = claimed_at
        self._logged_order_right = OrderRight.PROVEN
        self._is_recovered = False
        self._next_maintenance_at = 0.0
        self._next_placement_at = 0.0
        #: Whether a placement pass is needed but must wait until the pause after the last one ends.
        self._is_placement_deferred = False

    # Recovery

    def recover(
        self,
        records: list[ShardRecord],
        previous_token: int,
        now: float,
        wall_ms: float,
        read_end: int = -1,
    ) -> list[ShardAction]:
        """Restore the shard's state from the records in the store.

        Parameters
        ----------
        previous_token : int
            Fencing token of the claim that this process replaced; 0 if there was none.
        read_end : int
            Where the partition ended when the last of the records were read; -1 if not known.
        """
        self.context.job_registry.starts_are_recorded = starts_are_recorded(records, previous_token)
        self.context.wall_offset_ms = wall_ms - now * _MILLISECONDS
        self.context.job_registry.is_recovering = True
        restore_records(self.context, self.worker_registry, records, now, read_end)
        for worker_id in self.context.job_registry.workers_with_tasks_in_doubt():
            if worker_id not in self.context.table.workers:
                # A worker's record is deleted only once the worker certainly runs nothing.
                self.context.job_registry.requeue_tasks_in_doubt_on(worker_id, now)
                self.context.job_registry.settle_ended_jobs_on(worker_id, set())
        self._is_recovered = True
        self._last_active_at = now
        self.context.log(
            "previous_orders",
            token=self.context.token,
            previous=previous_token,
            basis=self._earlier_orders.basis.value,
            left_ms=int((self._earlier_orders.until - now) * _MILLISECONDS),
        )
        return self.flush(now)

    def set_commit_interval(self, seconds: float) -> None:
        """Set the pause between two appends that the store's rate limits require."""
        self.context.commit.interval_seconds = max(seconds, MINIMUM_COMMIT_INTERVAL_SECONDS)

    def on_layout(self, layout: CellLayout) -> None:
        """Write the layout of a new cell; an action reports the layout once it is stored."""
        self.context.uncommitted_layout = layout

    # Configuration, directory and store

    def on_policy(self, policy: PolicySet, now: float) -> None:
        """Apply a change of the operator's configuration."""
        self.context.policy = policy
        self.context.share_meter.keep_only(set(policy.tenants))
        self._placer.reconsider_all()
        self.context.needs_placement = True

    def on_shard_count(self, count: int) -> None:
        """Set the number of shards that share every tenant's quota and weight."""
        self.context.shard_count = count

    def on_workers_listed(
        self,
        records: list[WorkerRecord],
        unusable: list[UnusableEntry],
        is_whole: bool,
        now: float,
    ) -> None:
        """Handle a listing of the directory: its workers, and its unusable entries."""
        self.worker_registry.handle_listed(records, unusable, is_whole, now)

    def on_worker_unlisted(self, worker_id: WorkerId, now: float) -> None:
        """Handle the removal of a worker from the directory."""
        self.worker_registry.handle_unlisted(worker_id, now)

    def on_advisors(self, entry_names: list[str], now: float) -> None:
        """Set the entries that can make calls to the advice service."""
        self.context.advice_dispatcher.set_advice_entries(entry_names, now)
        self.context.needs_placement |= self.context.advice_dispatcher.has_requeued_calls

    # Results of orders, advice calls and appends

    def on_hold_result(
        self, address: WorkerAddress, number: int, result: HoldResult, now: float
    ) -> None:
        """Handle a worker's answer to a hold, or its absence."""
        worker = self._find_addressed_worker(address)
        if worker is not None and not self.context.has_stepped_down:
            self._record_activity(now)
            self.workers.handle_hold_result(worker, number, result, now)

    def on_start_result(
        self, address: WorkerAddress, run: RunKey, result: OrderResult, now: float
    ) -> None:
        """Handle a worker's answer to a start order, or its absence."""
        if self._step_down_if_fenced(result):
            self._record_activity(now)
            self._run_starter.handle_answered(address.worker_id)
            if result.outcome is not OrderOutcome.NO_ANSWER:
                self.context.table.unresolved_starts.resolve_start(address.worker_id, run)
            worker = self._find_addressed_worker(address)
            if worker is not None:
                self._run_starter.handle_start_result(worker, run, result, now)
                if result.outcome is OrderOutcome.NO_ANSWER:
                    self.workers.note_answer_lost(now)

    def on_stop_result(
        self, address: WorkerAddress, run: RunKey, result: OrderResult, now: float
    ) -> None:
        """Handle a worker's answer to a stop order, or its absence."""
        if self._step_down_if_fenced(result):
            self._record_activity(now)
            worker = self._find_addressed_worker(address)
            if worker is not None:
                self.runs.handle_stop_result(worker, run, result, now)

    def on_pace_result(self, order: SendPace, result: OrderResult, now: float) -> None:
        """Handle a worker's answer to a pace order, or its absence."""
        if self._step_down_if_fenced(result):
            worker = self._find_addressed_worker(order.address)
            if worker is not None:
                is_done = result.outcome is OrderOutcome.DONE
                self._pace_controller.handle_pace_result(worker, order.run, order.percent, is_done)

    def on_advice_result(self, call_id: int, result: AdviceResult, now: float) -> None:
        """Handle the advice service's answer to a call, or its absence."""
        step = self.context.advice_dispatcher.handle_result(call_id, result, now)
        if step is not None:
            asked = len(self.context.advice_dispatcher.queried_worker_ids(step))
            self.context.log("advice", step=step.name, good=len(result.tickets), asked=asked)
            self._placer.reconsider(step)
            self.context.needs_placement = True
        elif self.context.advice_dispatcher.has_requeued_calls:
            self.context.needs_placement = True

    def on_append_result(
        self, sequence: int, sent_at: float, result: AppendResult, now: float
    ) -> None:
        """Handle the store's answer to an append, or its absence.

        ``sequence`` is the append's sequence number; ``sent_at`` is when the call was sent.
        """
        if self.context.has_stepped_down:
            return
        self._record_activity(now)
        if self.context.commit.handle_result(sequence, sent_at, result, now):
            return
        self.context.step_down(_APPEND_FAILURES.get(result.outcome, StepDownReason.OUT_OF_SEQUENCE))

    def _find_addressed_worker(self, address: WorkerAddress) -> Worker | None:
        """Return the incarnation to which an order was addressed, unless it has ended."""
        worker = self.context.table.workers.get(address.worker_id)
        if worker is None or address.born_ms not in (0, worker.born_ms):
            return None
        return worker

    # Calls

    def on_call(self, call_id: int, call: Call, now: float) -> None:
        """Handle a client call that an entry forwards."""
        self._record_activity(now)
        self._call_handler.handle_call(call_id, call, now)

    def on_quota_reply(self, request: QuotaRequest, reply: CallReply, now: float) -> None:
        """Handle the home shard's answer to a quota request, or its absence."""
        self.quotas.handle_reply(request, reply, now)

    def admission_summary(self, now: float) -> AdmissionSummary | None:
        """Return which queues are closed, or ``None`` if this is unknown or admission is off."""
        return self._admission.summary(now) if self._is_recovered else None

    # Timeouts and flushing

    def on_tick(self, now: float, wall_ms: float) -> None:
        """Act on timeouts; ``wall_ms`` is the time of day in milliseconds since 1970."""
        if self.context.has_stepped_down or not self._is_recovered:
            return
        self.context.wall_offset_ms = wall_ms - now * _MILLISECONDS
        self._record_activity(now)
        self._log_order_right(now)
        self._call_handler.answer_overdue_calls(now)
        self.workers.tick(now)
        if now >= self._next_maintenance_at:
            self._next_maintenance_at = now + MAINTENANCE_INTERVAL_SECONDS
            self._run_maintenance(now, wall_ms)

    def _record_activity(self, now: float) -> None:
        """Record the time of an event; a stall before it voids earlier proofs of ownership."""
        gap_seconds = now - self._last_active_at
        self._last_active_at = now
        if gap_seconds > STALL_THRESHOLD_SECONDS:
            self.context.log("stalled", seconds=round(gap_seconds, 2))
            self.context.stall_ended_at = now

    def _log_order_right(self, now: float) -> None:
        """Log a change of what the right to send orders rests on."""
        right = self.context.order_right(now)
        if right is not self._logged_order_right:
            self._logged_order_right = right
            proof_age_seconds = now - self.context.commit.ownership_proven_at
            self.context.log(
                "order_right",
                basis=right.value,
                token=self.context.token,
                proof_age_ms=int(proof_age_seconds * _MILLISECONDS),
            )

    def _run_maintenance(self, now: float, wall_ms: float) -> None:
        """Run the maintenance that is not needed on every tick."""
        self.context.job_registry.tick(now, wall_ms, self._options.repetition_lead_ms)
        self.runs.tick(now)
        self._evacuation.tick(now)
        self._pace_controller.tick(now)
        self._admission.tick(now)
        self._estimates.tick(now)
        if now >= self._earlier_orders.until:
            self._record_collector.note_earlier_orders_over()
        self.context.needs_placement = True

    def flush(self, now: float) -> list[ShardAction]:
        """Place waiting steps, start an append if one is due, and return all pending actions."""
        context = self.context
        if not context.has_stepped_down and self._is_recovered:
            self._record_activity(now)
            self._place_if_due(now)
            append = context.commit.next_append(now)
            self._run_starter.release_starts(now)
            self._call_handler.refuse_withdrawn(self._unrecordable_jobs.take_withdrawn())
            if append is not None:
                self._call_handler.handle_append_sent()
                context.emit(SendAppend(append, context.commit.answer_timeout_seconds()))
        actions, context.actions = context.actions, []
        return actions

    def next_wakeup_at(self) -> float | None:
        """Return when :meth:`flush` is due without further events, or ``None``."""
        if self._run_starter.has_startable and self.context.may_send_orders(self._last_active_at):
            return self._last_active_at
        wakeup_at = self.context.commit.next_wakeup_at()
        if not self._is_placement_deferred:
            return wakeup_at
        return (
            self._next_placement_at
            if wakeup_at is None
            else min(wakeup_at, self._next_placement_at)
        )

    def _place_if_due(self, now: float) -> None:
        context = self.context
        is_placement_needed = context.needs_placement and context.may_plan(now)
        self._is_placement_deferred = is_placement_needed and now < self._next_placement_at
        if is_placement_needed and not self._is_placement_deferred:
            context.needs_placement = False
            self._run_placement_pass(now)

    def _run_placement_pass(self, now: float) -> None:
        context = self.context
        for step in context.advice_dispatcher.take_due_retries(now):
            self._placer.reconsider(step)
        for step in self._run_starter.take_replannable():
            self._placer.reconsider(step)
        steps = list(context.job_registry.startable_steps())
        pause = MINIMUM_PLACEMENT_PAUSE_SECONDS + PLACEMENT_PAUSE_PER_STEP_SECONDS * len(steps)
        self._next_placement_at = now + min(pause, MAXIMUM_PLACEMENT_PAUSE_SECONDS)
        plans = self._placer.plan(steps, context.policy, self.quotas.begin_pass(now), now)
        for plan in plans:
            self._run_starter.start(plan, now)
        for overlooked_step in self._placer.take_overlooked():
            self._log_overlooked(overlooked_step, now)
        for over_quota_step in self._placer.take_newly_over_quota():
            self._log_over_quota(over_quota_step)
        for eviction in self._placer.take_preemption_requests():
            self.runs.preempt(eviction, now)
        # A pass that reaches the limit of placements ends early; another pass places the rest.
        context.needs_placement = sum(len(item.placements) for item in plans) >= MAXIMUM_PLACEMENTS
        for call in context.advice_dispatcher.dispatch(now):
            context.emit(RequestAdvice(call.call_id, call.entry_name, call.step, call.worker_ids))
            tenant = call.progress.job.spec.tenant
            context.emit(AdviceRequested(call.queue, tenant, max(0.0, now - call.requested_at)))
        for notice in context.advice_dispatcher.take_log_events(now):
            context.log(notice.event, **notice.fields)

    def _log_overlooked(self, step: StepProgress, now: float) -> None:
        self.context.log(
            "step_overlooked",
            code=int(ResultCode.STEP_OVERLOOKED),
            step=step.key.name,
            tasks=len(step.tasks),
            waited_ms=int((now - step.ready_at) * _MILLISECONDS),
        )

    def _log_over_quota(self, step: StepProgress) -> None:
        tenant = step.job.spec.tenant
        used = self.context.quota_usage.used(tenant)
        policy = self.context.policy.tenants.get(tenant)
        self.context.log(
            "step_over_quota",
            step=step.key.name,
            tenant=tenant,
            tasks=len(step.waiting),
            used_cpu=used.processors_milli,
            used_mb=used.memory_mb,
            quota_cpu=policy.quota.processors_milli if policy is not None else 0,
            quota_mb=policy.quota.memory_mb if policy is not None else 0,
        )

    def _step_down_if_fenced(self, result: OrderResult) -> bool:
        """Step down if a worker has seen a higher token; return whether the holder may go on."""
        if self.context.has_stepped_down:
            return False
        if result.outcome.is_fenced:
            self.context.step_down(StepDownReason.WORKER_FENCED)
            return False
        return True
