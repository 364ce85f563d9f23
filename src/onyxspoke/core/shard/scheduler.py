"""The holder of one shard: stimuli in, actions out.

It exists only while its process holds the shard; what it knows comes from the store's
records, from the workers, and from what it is told.
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
from onyxspoke.core.shard.commit import MINIMUM_INTERVAL_SECONDS, CommitQueue
from onyxspoke.core.shard.context import ShardContext, ShardOptions
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
from onyxspoke.core.shard.worker_manager import WorkerManager
from onyxspoke.core.shard.worker_registry import WorkerRegistry
from onyxspoke.core.tenants.quota_lender import QuotaRequest

#: The loop stood still for longer: the process may have been paused.
STALL_SECONDS = 0.7
#: Between two looks at what changes slowly: schedules, progress, leaving workers, paces.
ROUND_SECONDS = 0.05
#: Between two passes of placement, so that in a busy cell what happens close together shares one.
PLACEMENT_PAUSE_SECONDS = 0.005
#: The more steps wait, the longer a pass takes and the rarer they are: so much for each step, ...
PLACEMENT_PAUSE_A_STEP_SECONDS = 0.0001
#: ... up to here.
LONGEST_PLACEMENT_PAUSE_SECONDS = 0.025
_MILLISECONDS = 1_000.0


class ShardScheduler:
    """Decides for one shard.

    Parameters
    ----------
    shard : int
        Which shard.
    claim : ClaimRecord
        Our claim, as it stands in the store.
    next_sequence : int
        Number of the next append of our epoch.
    claimed_at : float
        When the claim was sent.
    claim_call_seconds : float
        How long the store took to answer the claim.
    options : ShardOptions
        Bounds and timings.
    """

    def __init__(
        self,
        shard: ShardId,
        claim: ClaimRecord,
        next_sequence: int,
        claimed_at: float,
        claim_call_seconds: float,
        options: ShardOptions,
    ) -> None:
        self.context = ShardContext(options, claim.token, shard)
        self._options = options
        self.runs = RunManager(self.context)
        self._starter = RunStarter(self.context, self.runs)
        reports = RunReconciler(self.context, self.runs)
        self.worker_registry = WorkerRegistry(
            self.context, previous_orders_until=claimed_at + options.proof_seconds
        )
        self.workers = WorkerManager(self.context, self.runs, reports, self.worker_registry)
        self.quotas = QuotaCoordinator(self.context)
        self._admission = AdmissionController(self.context, self.worker_registry)
        self._calls = CallHandler(self.context, self.runs, self.quotas, self._admission)
        self._paces = PaceController(self.context)
        self._evacuation = Evacuation(self.context, self.runs)
        self._estimates = EstimatesManager(self.context)
        self._collector = RecordCollector(
            self.context, self.worker_registry, self._estimates, claim
        )
        self.context.commit = CommitQueue(
            shard=shard,
            epoch=claim.token,
            next_sequence=next_sequence,
            ownership_proven_at=claimed_at,
            collect=self._collector.collect,
            renew=self._collector.renew,
            is_dirty=self._collector.is_dirty,
            latest_seconds=claim_call_seconds,
        )
        stop_seconds = options.stop_grace_ms / _MILLISECONDS
        self._placer = Placer(
            self.context.table,
            self.context.advice_dispatcher,
            stop_seconds,
            is_speed_aware=options.load.unlike_workers,
        )
        self._last_active_at = claimed_at
        self._is_recovered = False
        self._next_round_at = 0.0
        self._next_placement_at = 0.0
        #: Whether a pass of placement is wanted that is to come a little later.
        self._is_placement_put_off = False

    # Recovery

    def recover(
        self, records: list[ShardRecord], previous_token: int, now: float, wall_ms: float
    ) -> list[ShardAction]:
        """Take in everything that the store holds of the shard.

        Parameters
        ----------
        previous_token : int
            Of the claim that ours replaced; 0 where there was none.
        """
        self.context.job_registry.starts_are_recorded = starts_are_recorded(records, previous_token)
        self.context.wall_offset_ms = wall_ms - now * _MILLISECONDS
        self.context.job_registry.is_recovering = True
        restore_records(self.context, self.worker_registry, records, now)
        for worker_id in self.context.job_registry.workers_with_tasks_in_doubt():
            if worker_id not in self.context.table.workers:
                # Its record was dropped when it was certain that it ran nothing more.
                self.context.job_registry.requeue_tasks_in_doubt_on(worker_id, now)
        self._is_recovered = True
        self._last_active_at = now
        return self.flush(now)

    def handle_previous_holder_dead(self, since: float) -> None:
        """The former holder's process is known to have ended by then."""
        self.worker_registry.shorten_previous_leases(since)

    def set_commit_interval(self, seconds: float) -> None:
        """Take the pause between two appends that the store's rates ask for."""
        self.context.commit.interval_seconds = max(seconds, MINIMUM_INTERVAL_SECONDS)

    def on_layout(self, layout: CellLayout) -> None:
        """Write the layout of a new cell; it is told once the store has it."""
        self.context.new_layout = layout

    # The platform

    def on_policy(self, policy: PolicySet, now: float) -> None:
        """The operator's configuration changed."""
        self.context.policy = policy
        self.context.share_meter.keep_only(set(policy.tenants))
        self._placer.reconsider_all()
        self.context.needs_placement = True

    def on_shard_count(self, count: int) -> None:
        """The cell has so many shards, which share every tenant's quota and weight."""
        self.context.shard_count = count

    def on_workers_listed(
        self,
        records: list[WorkerRecord],
        unusable: list[UnusableEntry],
        is_whole: bool,
        now: float,
    ) -> None:
        """The directory lists these workers, and entries that name none."""
        self.worker_registry.handle_listed(records, unusable, is_whole, now)

    def on_worker_unlisted(self, worker_id: WorkerId, now: float) -> None:
        """The directory lists a worker no longer."""
        self.worker_registry.handle_unlisted(worker_id, now)

    def on_advisors(self, names: list[str], now: float) -> None:
        """These entries can carry calls for advice."""
        self.context.advice_dispatcher.set_advice_entries(names, now)
        self.context.needs_placement |= self.context.advice_dispatcher.has_requeued_calls

    def on_store_unreachable(self, until: float) -> None:
        """No node reaches the store, so that nobody can claim the shard until then."""
        self.context.unclaimable_until = until

    # Answers

    def on_hold_result(
        self, address: WorkerAddress, number: int, result: HoldResult, now: float
    ) -> None:
        """A worker answered a hold, or did not."""
        worker = self._find_worker(address)
        if worker is not None and not self.context.has_stepped_down:
            self._note_active(now)
            self.workers.handle_hold_result(worker, number, result, now)

    def on_start_result(
        self, address: WorkerAddress, run: RunKey, result: OrderResult, now: float
    ) -> None:
        """A worker answered an order to start, or did not."""
        if self._check_fence(result):
            self._note_active(now)
            if result.outcome is not OrderOutcome.NO_ANSWER:
                self.context.table.unresolved_starts.resolve_start(address.worker_id, run)
            worker = self._find_worker(address)
            if worker is not None:
                self._starter.handle_start_result(worker, run, result, now)
                if result.outcome is OrderOutcome.NO_ANSWER:
                    self.workers.note_answer_lost(now)

    def on_stop_result(
        self, address: WorkerAddress, run: RunKey, result: OrderResult, now: float
    ) -> None:
        """A worker answered an order to stop, or did not."""
        if self._check_fence(result):
            self._note_active(now)
            worker = self._find_worker(address)
            if worker is not None:
                self.runs.handle_stop_result(worker, run, result, now)

    def on_pace_result(self, order: SendPace, result: OrderResult, now: float) -> None:
        """A worker answered a change of pace, or did not."""
        if self._check_fence(result):
            worker = self._find_worker(order.address)
            if worker is not None:
                is_done = result.outcome is OrderOutcome.DONE
                self._paces.handle_pace_result(worker, order.run, order.percent, is_done)

    def on_advice_result(self, call_id: int, result: AdviceResult, now: float) -> None:
        """The advice service answered, or did not."""
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
        """The store answered the append with this sequence that was sent then, or did not."""
        if self.context.has_stepped_down:
            return
        self._note_active(now)
        if self.context.commit.handle_result(sequence, sent_at, result, now):
            return
        is_fenced = result.outcome is AppendOutcome.FENCED
        reason = StepDownReason.STORE_FENCED if is_fenced else StepDownReason.OUT_OF_SEQUENCE
        self.context.step_down(reason)

    def _find_worker(self, address: WorkerAddress) -> Worker | None:
        """Return the life that an order was meant for, unless it is over."""
        worker = self.context.table.workers.get(address.worker_id)
        if worker is None or address.born_ms not in (0, worker.born_ms):
            return None
        return worker

    # Calls

    def on_call(self, call_id: int, call: Call, now: float) -> None:
        """An entry passes on a client's call."""
        self._note_active(now)
        self._calls.handle_call(call_id, call, now)

    def on_quota_reply(self, request: QuotaRequest, reply: CallReply, now: float) -> None:
        """A tenant's home shard answered a request for a part of its quota, or did not."""
        self.quotas.handle_reply(request, reply, now)

    def admission_summary(self, now: float) -> AdmissionSummary | None:
        """Return which queues are closed; nothing while that is not known, or switched off."""
        return self._admission.summary(now) if self._is_recovered else None

    # Time

    def on_tick(self, now: float, wall_ms: float) -> None:
        """Some time has passed; ``wall_ms`` is the time of day, counted from 1970."""
        if self.context.has_stepped_down or not self._is_recovered:
            return
        self.context.wall_offset_ms = wall_ms - now * _MILLISECONDS
        self._note_active(now)
        self._calls.keep(now)
        self.workers.tick(now)
        if now >= self._next_round_at:
            self._next_round_at = now + ROUND_SECONDS
            self._keep_slowly(now, wall_ms)

    def _note_active(self, now: float) -> None:
        """The process runs; after a pause the shard is unproven, whatever came in first."""
        gap = now - self._last_active_at
        self._last_active_at = now
        if gap > STALL_SECONDS:
            self.context.log("stalled", seconds=round(gap, 2))
            self.context.stall_ended_at = now

    def _keep_slowly(self, now: float, wall_ms: float) -> None:
        """Look at everything that need not be looked at on every tick."""
        self.context.job_registry.tick(now, wall_ms, self._options.early_ms)
        self.runs.tick(now)
        self._evacuation.tick(now)
        self._paces.tick(now)
        self._admission.tick(now)
        self._estimates.tick(now)
        self.context.needs_placement = True

    def flush(self, now: float) -> list[ShardAction]:
        """Place what can be placed, commit what is due, and hand out the instructions."""
        context = self.context
        if not context.has_stepped_down and self._is_recovered:
            self._note_active(now)
            self._place_if_due(now)
            append = context.commit.next_append(now)
            if append is not None:
                self._calls.note_append_sent()
                context.emit(SendAppend(append, context.commit.patience_seconds()))
        actions, context.actions = context.actions, []
        return actions

    def next_wakeup_at(self) -> float | None:
        """Return when :meth:`flush` is to be called though nothing comes in."""
        moment = self.context.commit.next_wakeup_at()
        if not self._is_placement_put_off:
            return moment
        return self._next_placement_at if moment is None else min(moment, self._next_placement_at)

    def _place_if_due(self, now: float) -> None:
        context = self.context
        is_wanted = context.needs_placement and context.may_send_orders(now)
        self._is_placement_put_off = is_wanted and now < self._next_placement_at
        if is_wanted and not self._is_placement_put_off:
            context.needs_placement = False
            self._place(now)

    def _place(self, now: float) -> None:
        context = self.context
        for step in context.advice_dispatcher.take_due_retries(now):
            self._placer.reconsider(step)
        steps = list(context.job_registry.startable_steps())
        pause = PLACEMENT_PAUSE_SECONDS + PLACEMENT_PAUSE_A_STEP_SECONDS * len(steps)
        self._next_placement_at = now + min(pause, LONGEST_PLACEMENT_PAUSE_SECONDS)
        plans = self._placer.plan(steps, context.policy, self.quotas.begin_pass(now), now)
        for plan in plans:
            self._starter.start(plan, now)
        for overlooked in self._placer.take_overlooked():
            self._log_overlooked(overlooked, now)
        for held_back in self._placer.take_newly_over_quota():
            self._log_over_quota(held_back)
        for eviction in self._placer.take_preemption_requests():
            self.runs.preempt(eviction, now)
        # A long plan was cut off; the rest follows.
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

    def _check_fence(self, result: OrderResult) -> bool:
        """Step down if a worker has seen a higher token; return whether to go on."""
        if self.context.has_stepped_down:
            return False
        if result.outcome.is_fenced:
            self.context.step_down(StepDownReason.WORKER_FENCED)
            return False
        return True
