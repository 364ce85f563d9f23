"""A node's part in one shard: its election, and the scheduler while it holds the shard."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from absl import logging

from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.placement.worker_record import UnusableEntry, WorkerRecord
from onyxspoke.core.shard.actions import (
    AdviceRequested,
    CallerReturned,
    DecisionLogLine,
    DropWorkerConnections,
    JobEnded,
    JobStarted,
    LayoutKnown,
    ReplyToCall,
    RequestAdvice,
    RequestQuota,
    SendAppend,
    SendHold,
    SendPace,
    SendStart,
    SendStop,
    ShardAction,
    StepDown,
    StepDownReason,
)
from onyxspoke.core.shard.calls import Call, CallReply, QuotaCall, ReplyCode
from onyxspoke.core.shard.context import ShardOptions
from onyxspoke.core.shard.election import Election
from onyxspoke.core.shard.election_actions import (
    BecomeHolder,
    ConnectToHolder,
    ElectionLogLine,
    ElectionState,
    HolderChanged,
    NodeIdentity,
    ReadClaim,
    SendClaim,
)
from onyxspoke.core.shard.layout import CellLayout, find_layout
from onyxspoke.core.shard.log_records import (
    BEFORE_CLAIM_KEY,
    CLAIM_KEY,
    AppendResult,
    ClaimRecord,
    LatestRecordsPage,
    ShardId,
    ShardRecord,
    decode_claim,
)
from onyxspoke.core.shard.orders import AdviceResult
from onyxspoke.core.shard.scheduler import ShardScheduler
from onyxspoke.core.shard.store_budget import StorePacing
from onyxspoke.node.metrics import NodeMetrics
from onyxspoke.node.order_exchange import OrderExchange
from onyxspoke.ports.clock import Clock
from onyxspoke.ports.shard_log import ShardLogPort
from onyxspoke.ports.worker_directory import WorkerDirectoryPort
from onyxspoke.ports.worker_orders import WorkerOrdersPort

OnReply = Callable[[CallReply], None]
#: Pause before a page that the store did not give is read again.
PAGE_RETRY_SECONDS = 0.1
#: For how long the answer to a claim is waited for.
CLAIM_SECONDS = 0.5
#: For how long a node leaves the shard to others after its scheduler raised an exception.
INTERNAL_ERROR_PAUSE_SECONDS = 2.0


_INTERNAL_ERROR = "internal_error"


class SeatListener(Protocol):
    """What a seat needs of its node."""

    def handle_holder_changed(self, shard: ShardId, claim: ClaimRecord | None) -> None:
        """Another node holds the shard, or nobody that can be reached."""

    def handle_holding(self, shard: ShardId, is_holding: bool) -> None:
        """Take note that this node has begun, or ceased, to decide for the shard."""

    def handle_layout(self, layout: CellLayout) -> None:
        """The store holds the cell's layout."""

    def connect_peer(self, host: str, port: int) -> None:
        """Have a stream to a node."""

    def ask_advice(
        self, shard: ShardId, action: RequestAdvice, on_result: Callable[[AdviceResult], None]
    ) -> None:
        """Have an entry ask the advice service."""

    def ask_quota(self, home: ShardId, call: QuotaCall, on_reply: OnReply) -> None:
        """Ask the holder of a tenant's home shard for a part of its quota."""

    def time_of_day_ms(self) -> float:
        """Return the time of day on which most nodes agree."""

    def wake(self, shard: ShardId, delay: float) -> None:
        """Call :meth:`ShardSeat.flush` after a delay."""

    def retry(self, delay: float, function: Callable[[], None]) -> None:
        """Call a function after a delay."""


class ShardSeat:
    """One shard, as this node takes part in it.

    Parameters
    ----------
    shard : int
        Which shard.
    identity : NodeIdentity
        This process.
    options : ShardOptions
        Bounds and timings of a holder.
    clock : Clock
        Source of time.
    draw : callable
        Returns a random number of at least 0 and below 1.
    ports
        The store, the workers and their directory.
    listener : SeatListener
        The node.
    metrics : NodeMetrics
        Counts decisions.
    load_delay_seconds : callable
        Returns for how many seconds this node leaves a shard that nobody holds to others.
    """

    def __init__(
        self,
        shard: ShardId,
        identity: NodeIdentity,
        options: ShardOptions,
        clock: Clock,
        draw: Callable[[], float],
        store: ShardLogPort,
        orders: WorkerOrdersPort,
        directory: WorkerDirectoryPort,
        listener: SeatListener,
        metrics: NodeMetrics,
        load_delay_seconds: Callable[[], float],
    ) -> None:
        self.shard = shard
        self._metrics = metrics
        self._options = options
        self._clock = clock
        self._store = store
        self._directory = directory
        self._listener = listener
        self.election = Election(shard, identity, draw, clock.now(), load_delay_seconds)
        self.scheduler: ShardScheduler | None = None
        self._policy = PolicySet()
        self._pacing = StorePacing()
        self._shard_count = 1
        self._gathered: list[ShardRecord] = []
        self._previous_token = 0
        self._replies: dict[int, OnReply] = {}
        self._last_call_id = 0
        self._is_ready = False
        self._has_started = False
        #: Since when this node decides for the shard, if it does.
        self.held_since = 0.0
        exchange = OrderExchange(orders, self._feed)
        self._handlers: dict[type[ShardAction], Callable[[ShardScheduler, Any], None]] = {
            DecisionLogLine: lambda _scheduler, action: self._log_decision(action),
            SendHold: exchange.hold,
            SendStart: exchange.start,
            SendStop: exchange.stop,
            SendPace: exchange.pace,
            SendAppend: self._send_append,
            RequestAdvice: self._ask_advice,
            RequestQuota: self._ask_quota,
            ReplyToCall: self._reply,
            LayoutKnown: lambda _scheduler, action: listener.handle_layout(action.layout),
            JobStarted: lambda _scheduler, action: metrics.note_begun(action),
            JobEnded: lambda _scheduler, action: metrics.note_ended(action),
            CallerReturned: lambda _scheduler, action: metrics.load.note_returned(action),
            AdviceRequested: lambda _scheduler, action: metrics.load.note_advice_asked(action),
            DropWorkerConnections: exchange.drop,
            StepDown: lambda _scheduler, action: self.step_down(action.reason),
        }

    @property
    def held_claim(self) -> ClaimRecord | None:
        """Our claim, while this node decides for the shard."""
        return self.election.claim if self._is_ready else None

    # Stimuli

    def start(self) -> None:
        """Begin to take part; again changes nothing.

        A node that is told the layout as it comes up starts its seats then, and all of them once
        more with its service: by then it may hold the shard, and would claim it from itself.
        """
        if self._has_started:
            return
        self._has_started = True
        self.election.start(self._clock.now())
        self.carry_out_election()

    @property
    def open_call_count(self) -> int:
        """How many calls wait for a decision of this node."""
        return len(self._replies)

    def set_policy(self, policy: PolicySet) -> None:
        """Take the operator's configuration."""
        self._policy = policy
        if self.scheduler is not None:
            self._feed(self.scheduler, partial(self.scheduler.on_policy, policy))

    def set_pacing(self, pacing: StorePacing) -> None:
        """Take how often the store may be called in a cell of this size."""
        self._pacing = pacing
        self.election.set_pacing(pacing)
        if self.scheduler is not None:
            self.scheduler.set_commit_interval(pacing.commit_interval_seconds)

    def set_shard_count(self, count: int) -> None:
        """Take how many shards the cell has."""
        self._shard_count = count
        if self.scheduler is not None:
            self.scheduler.on_shard_count(count)

    def set_advice_entries(self, names: list[str]) -> None:
        """Take the entries that can carry calls for advice."""
        scheduler = self.scheduler
        if scheduler is not None:
            self._guard(scheduler, lambda: scheduler.on_advisors(names, self._clock.now()))

    def plan_layout(self, layout: CellLayout) -> None:
        """Have the layout of a new cell written, while this node holds its first shard."""
        if self.scheduler is not None and self._is_ready:
            self.scheduler.on_layout(layout)
            self._wake()

    def handle_call(self, call: Call, on_reply: OnReply) -> None:
        """Take a client's call; ``on_reply`` may never be called if the shard is lost."""
        scheduler = self.scheduler
        if not self._is_ready or scheduler is None:
            on_reply(CallReply(code=ReplyCode.NOT_HOLDER))
            return
        self._last_call_id += 1
        call_id = self._last_call_id
        self._replies[call_id] = on_reply
        if self._guard(scheduler, lambda: scheduler.on_call(call_id, call, self._clock.now())):
            self._wake()
        else:
            # Sent on to the next holder, the call could end that one, too.
            on_reply(CallReply(code=ReplyCode.UNKNOWN, reason=_INTERNAL_ERROR))

    def is_quiet(self, now: float) -> bool:
        """Return whether the passing of time changes nothing here."""
        return self.scheduler is None and self.election.is_idle(now)

    def tick(self, wall_ms: float) -> None:
        """Some time has passed."""
        now = self._clock.now()
        self.election.tick(now)
        self.carry_out_election()
        scheduler = self.scheduler
        if scheduler is not None and self._is_ready:
            self._guard(scheduler, lambda: scheduler.on_tick(now, wall_ms))
            self.flush()

    def flush(self) -> None:
        """Carry out what the scheduler has decided."""
        scheduler = self.scheduler
        if scheduler is not None and self._is_ready:
            self._guard(scheduler, lambda: self._flush(scheduler))

    def _flush(self, scheduler: ShardScheduler) -> None:
        for action in scheduler.flush(self._clock.now()):
            self._carry_out(action)
            if self.scheduler is not scheduler:
                return
        moment = scheduler.next_wakeup_at()
        if moment is not None:
            self._listener.wake(self.shard, max(0.0, moment - self._clock.now()))

    def step_down(self, reason: StepDownReason) -> None:
        """Give the shard up, if it is held."""
        if self.scheduler is None:
            return
        commit = self.scheduler.context.commit
        logging.info(
            "event=step_down shard=%d reason=%s token=%d acknowledged=%d acknowledged_end=%d",
            self.shard,
            reason.value,
            commit.epoch,
            commit.acknowledged_sequence,
            commit.acknowledged_end,
        )
        self.scheduler = None
        self._replies.clear()
        self._directory.stop_watching()
        if self._is_ready:
            self._is_ready = False
            self._listener.handle_holding(self.shard, False)
        self.election.handle_step_down(self._clock.now())
        self.carry_out_election()

    # Election

    def carry_out_election(self) -> None:
        """Carry out what the election has decided."""
        for action in self.election.take_actions():
            if isinstance(action, ReadClaim):
                self._store.read_newest(self.shard, BEFORE_CLAIM_KEY, self._take_claim_page)
            elif isinstance(action, ConnectToHolder):
                self._listener.connect_peer(action.host, action.port)
            elif isinstance(action, SendClaim):
                self._store.append(action.append, CLAIM_SECONDS, self._take_claim_result)
            elif isinstance(action, BecomeHolder):
                self._begin_holding(action)
            elif isinstance(action, HolderChanged):
                self._listener.handle_holder_changed(self.shard, action.claim)
            else:
                self._log_note(action)

    def _take_claim_page(self, page: LatestRecordsPage) -> None:
        claim = next(
            (decode_claim(item.value) for item in page.records if item.key == CLAIM_KEY), None
        )
        layout = find_layout(page.records)
        if layout is not None:
            self._listener.handle_layout(layout)
        self.election.handle_claim_read(page.is_known, claim, page.end, self._clock.now())
        self.carry_out_election()

    def _take_claim_result(self, result: AppendResult) -> None:
        self.election.handle_append_result(result, self._clock.now())
        self.carry_out_election()

    def _log_note(self, note: ElectionLogLine) -> None:
        logging.info(
            "event=election shard=%d state=%s reason=%s token=%d",
            self.shard,
            note.state.value,
            note.reason,
            note.token,
        )

    # Taking over

    def _begin_holding(self, action: BecomeHolder) -> None:
        scheduler = ShardScheduler(
            self.shard,
            action.claim,
            action.next_sequence,
            action.claimed_at,
            action.claim_call_seconds,
            action.earlier_orders,
            self._options,
        )
        scheduler.set_commit_interval(self._pacing.commit_interval_seconds)
        scheduler.on_shard_count(self._shard_count)
        self.scheduler = scheduler
        self._gathered = []
        self._previous_token = action.previous_token
        self._read_state(scheduler, "")

    def _read_state(self, scheduler: ShardScheduler, after_key: str) -> None:
        if self.scheduler is scheduler:
            self._store.read_newest(
                self.shard, after_key, lambda page: self._take_state(scheduler, after_key, page)
            )

    def _take_state(
        self, scheduler: ShardScheduler, after_key: str, page: LatestRecordsPage
    ) -> None:
        if self.scheduler is not scheduler:
            return
        if not page.is_known:
            self._listener.retry(PAGE_RETRY_SECONDS, lambda: self._read_state(scheduler, after_key))
            return
        self._gathered += page.records
        if page.has_more and page.records:
            self._read_state(scheduler, page.records[-1].key)
            return
        records, self._gathered = self._gathered, []
        if not self._is_ours(records):
            self.step_down(StepDownReason.STORE_FENCED)
            return
        self._guard(scheduler, lambda: self._finish_takeover(scheduler, records, page.end))

    def _is_ours(self, records: list[ShardRecord]) -> bool:
        """Return whether the claim that stands in the store is ours."""
        ours = self.election.claim
        for record in records:
            if record.key == CLAIM_KEY:
                claim = decode_claim(record.value)
                return (
                    claim is not None and ours is not None and claim.incarnation == ours.incarnation
                )
        return False

    def _finish_takeover(
        self, scheduler: ShardScheduler, records: list[ShardRecord], read_end: int
    ) -> None:
        now = self._clock.now()
        scheduler.on_policy(self._policy, now)
        wall_ms = self._listener.time_of_day_ms()
        actions = scheduler.recover(records, self._previous_token, now, wall_ms, read_end)
        self._is_ready = True
        self.held_since = now
        for action in actions:
            self._carry_out(action)
        if self.scheduler is scheduler:
            self._directory.watch(self)
        if self.scheduler is not scheduler:
            return
        self._listener.handle_holding(self.shard, True)
        self._wake()

    # Directory

    def handle_workers_listed(
        self, records: list[WorkerRecord], unusable: list[UnusableEntry], is_whole: bool
    ) -> None:
        """The directory lists these workers."""
        scheduler = self.scheduler
        if scheduler is not None:
            self._feed(
                scheduler,
                lambda now: scheduler.on_workers_listed(records, unusable, is_whole, now),
            )

    def handle_worker_unlisted(self, worker_id: str) -> None:
        """The directory lists a worker no longer."""
        scheduler = self.scheduler
        if scheduler is not None:
            self._feed(scheduler, partial(scheduler.on_worker_unlisted, worker_id))

    # Actions

    def _carry_out(self, action: ShardAction) -> None:
        scheduler = self.scheduler
        if scheduler is None:
            return
        handler = self._handlers[type(action)]
        handler(scheduler, action)

    def _ask_advice(self, scheduler: ShardScheduler, action: RequestAdvice) -> None:
        def take(result: AdviceResult) -> None:
            self._feed(
                scheduler,
                lambda now: scheduler.on_advice_result(action.call_id, result, now),
            )

        self._listener.ask_advice(self.shard, action, take)

    def _ask_quota(self, scheduler: ShardScheduler, action: RequestQuota) -> None:
        def take(reply: CallReply) -> None:
            self._feed(scheduler, lambda now: scheduler.on_quota_reply(action.request, reply, now))

        self._listener.ask_quota(action.home, QuotaCall(action.request), take)

    def _reply(self, _scheduler: ShardScheduler, action: ReplyToCall) -> None:
        on_reply = self._replies.pop(action.call_id, None)
        if on_reply is None:
            return
        try:
            on_reply(action.reply)
        except Exception:
            # The reply belongs to one caller; the decision behind it stands.
            logging.exception("event=reply_failed shard=%d call=%d", self.shard, action.call_id)

    def _log_decision(self, decision: DecisionLogLine) -> None:
        self._metrics.decisions.labels(decision.event).inc()
        fields = " ".join(f"{name}={value}" for name, value in decision.fields)
        logging.info("event=%s shard=%d %s", decision.event, self.shard, fields)

    def _send_append(self, scheduler: ShardScheduler, action: SendAppend) -> None:
        sequence, sent_at = action.append.sequence, self._clock.now()

        def take(result: AppendResult) -> None:
            self._feed(
                scheduler,
                lambda now: scheduler.on_append_result(sequence, sent_at, result, now),
            )

        self._store.append(action.append, action.answer_timeout_seconds, take)

    def _feed(self, scheduler: ShardScheduler, stimulus: Callable[[float], None]) -> None:
        """Give an answer to the scheduler that asked, if it is still the one."""
        if self.scheduler is not scheduler:
            return
        if self._guard(scheduler, lambda: stimulus(self._clock.now())):
            self._wake()

    def _guard(self, scheduler: ShardScheduler, stimulus: Callable[[], None]) -> bool:
        """Run a stimulus, and return whether it raised nothing; otherwise give the shard up.

        The exception may have left the scheduler's state half changed, with effects of changes
        that no append contains.
        """
        try:
            stimulus()
        except Exception:
            self._metrics.note_internal_error()
            logging.exception("event=internal_error shard=%d", self.shard)
            if self.scheduler is scheduler:
                pause_until = self._clock.now() + INTERNAL_ERROR_PAUSE_SECONDS
                self.election.defer_claims_until(pause_until)
                self.step_down(StepDownReason.INTERNAL_ERROR)
            return False
        return True

    def _wake(self) -> None:
        self._listener.wake(self.shard, 0.0)

    @property
    def is_holding(self) -> bool:
        """Whether this node decides for the shard now."""
        return self._is_ready

    @property
    def is_following(self) -> bool:
        """Whether the holder is another node that answers."""
        return self.election.state is ElectionState.FOLLOWING
