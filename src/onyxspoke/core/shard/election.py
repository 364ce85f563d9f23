"""Leader election for one shard: nodes find, follow, monitor and replace the shard's holder.

A node claims a shard with a conditional append to the shard's partition.  The store accepts the
append only if the partition still ends at the offset that the claimant last read.  The epoch of
the claim is that offset plus one; epochs are therefore unique and increasing.  The epoch fences the
writes of all earlier holders, and is the fencing token of the new holder's orders.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from onyxspoke.core.shard.election_actions import (
    BecomeHolder,
    ConnectionLossReason,
    ConnectToHolder,
    ElectionAction,
    ElectionLogLine,
    ElectionState,
    HolderChanged,
    NodeIdentity,
    ReadClaim,
    SendClaim,
)
from onyxspoke.core.shard.known_holder import KnownHolder
from onyxspoke.core.shard.log_records import (
    CLAIM_KEY,
    AppendOutcome,
    AppendResult,
    ClaimRecord,
    ShardAppend,
    ShardId,
    ShardRecord,
    encode_claim,
)
from onyxspoke.core.shard.order_bounds import OrderBound, ReplacedHolder, bound_earlier_orders
from onyxspoke.core.shard.store_budget import StorePacing

#: Pause before a node reads the claim again after a read without an answer.
READ_RETRY_SECONDS = 0.15
#: Interval at which a node that watches a silent holder reads the end of the partition.
WATCH_INTERVAL_SECONDS = 0.15
#: A watched holder is presumed dead if the end of its partition has not moved for this long.
IDLE_PARTITION_SECONDS = 0.6
#: Pause before a node whose claims are deferred reads the claim again.
DEFERRED_RETRY_SECONDS = 0.8
#: Delay between the turns of two successive claimants, and the longest delay of any turn apart
#: from the random spread.
TURN_INTERVAL_SECONDS = 0.1
MAXIMUM_TURN_DELAY_SECONDS = 1.0
#: Interval at which a node that waits for its turn checks whether another node has claimed.
TURN_POLL_SECONDS = 0.2
#: A node that is not a successor claims only if its latest read of the claim is at most this old.
MAXIMUM_READ_AGE_SECONDS = 0.1
#: The first claims of a shard that has never been held are spread at random over this time.
FIRST_CLAIM_SPREAD_SECONDS = 0.06
#: Small nodes delay their first claim by this time, so that larger nodes can claim before them.
SMALL_NODE_DELAY_SECONDS = 0.1
CLAIM_RETRY_SECONDS = 0.1
#: After this many unanswered or refused attempts to append its claim, a node reads the claim.
MAXIMUM_CLAIM_ATTEMPTS = 8
#: A follower suspects its holder after this time without a heartbeat, or after this many
#: heartbeat intervals if they are longer.
HEARTBEAT_TIMEOUT_SECONDS = 0.5
HEARTBEAT_TIMEOUT_INTERVALS = 2.5
#: Other nodes may read a claim before the claimant receives the store's answer.  For this long
#: after the read, a status without the claim therefore does not count as a release of the shard.
#: A store that answers in 0.4 s uses about half of this time.
CLAIM_CONFIRMATION_SECONDS = 1.0
#: The first sequence number of a claim is random below this bound, so that two claimants do not
#: use the same number.
SEQUENCE_RANGE = 2**40


#: States in which the status of the holder's node, or the loss of its connection, is evaluated.
_HOLDER_MONITORING_STATES = frozenset(
    {ElectionState.FOLLOWING, ElectionState.CONNECTING, ElectionState.WATCHING}
)


class Election:
    """State machine with which one node finds, follows, monitors and replaces a shard's holder.

    Parameters
    ----------
    shard : int
        Identifier of the shard.
    identity : NodeIdentity
        Identity of this process.
    random_fraction : callable
        Returns a random number of at least 0 and below 1.
    started_at : float
        When this process started; earlier incarnations on this host had ended by then.
    load_delay_seconds : callable
        Returns by how many seconds this node delays its claim in favour of nodes that hold fewer
        shards.
    """

    def __init__(
        self,
        shard: ShardId,
        identity: NodeIdentity,
        random_fraction: Callable[[], float],
        started_at: float,
        load_delay_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._shard = shard
        self._identity = identity
        self._random_fraction = random_fraction
        self._started_at = started_at
        self._load_delay_seconds = load_delay_seconds
        self.state = ElectionState.READING
        self._known_holder = KnownHolder()
        self._partition_end = -1
        #: Successors that the holder has named, in the order of their turns.
        self.successors: list[NodeIdentity] = []
        self._pacing = StorePacing()
        self._turn_load_delay_seconds = 0.0
        self._due_at = 0.0
        self._is_read_pending = False
        self._last_read_at = 0.0
        self._last_heartbeat_at = 0.0
        self._heartbeat_timeout_seconds = HEARTBEAT_TIMEOUT_SECONDS
        #: When the current claim was read; minus infinity once its holder has confirmed it.
        self._claim_unconfirmed_since = -math.inf
        self._end_moved_at = 0.0
        self._suspects_holder_dead = False
        self._pending_append: ShardAppend | None = None
        self._pending_claim: ClaimRecord | None = None
        self._claim_first_sent_at = 0.0
        self._claim_last_sent_at = 0.0
        self._claim_attempts = 0
        #: The holder whose claim the pending claim replaces.
        self._replaced_holder = ReplacedHolder()
        self._claims_deferred_until = -math.inf
        self._are_claims_allowed = True
        self.actions: list[ElectionAction] = []

    @property
    def claim(self) -> ClaimRecord | None:
        """The latest known claim."""
        return self._known_holder.claim

    # Events

    def start(self, now: float) -> None:
        """Start to look for the holder."""
        self._start_reading(now, "started")

    def defer_claims_until(self, deferred_until: float) -> None:
        """Do not claim the shard before a given time, so that other nodes take over."""
        self._claims_deferred_until = deferred_until

    def set_claims_allowed(self, are_allowed: bool, now: float) -> None:
        """Set whether this node may claim the shard; once it may, it looks at once."""
        if are_allowed is self._are_claims_allowed:
            return
        self._are_claims_allowed = are_allowed
        if are_allowed and self.state is ElectionState.READING and not self._is_read_pending:
            self._send_read(now)

    def set_successors(self, successors: list[NodeIdentity]) -> None:
        """Set the successors that the holder has named, in the order of their turns."""
        self.successors = successors

    def set_pacing(self, pacing: StorePacing) -> None:
        """Set how often nodes that are not successors may call the store."""
        self._pacing = pacing

    def handle_claim_read(
        self, is_answered: bool, claim: ClaimRecord | None, end: int, now: float
    ) -> None:
        """Handle the answer to a read of the claim and of the partition's end, or its absence."""
        self._is_read_pending = False
        if self.state in (ElectionState.HOLDING, ElectionState.CLAIMING):
            return
        if not is_answered:
            self._due_at = now + self._poll_interval_seconds(READ_RETRY_SECONDS)
            return
        has_end_moved = end != self._partition_end
        self._partition_end = end
        if has_end_moved:
            self._end_moved_at = now
        if self._is_newer(claim):
            self._adopt_claim(claim, now)
            return
        self._known_holder.renew(claim)
        if self.state is ElectionState.WATCHING:
            self._continue_watching(now)
        elif self.state is ElectionState.WAITING_TURN and has_end_moved:
            self._suspects_holder_dead = False
            self._connect_to_holder(now, "holder_writes")
        elif self.state is ElectionState.READING:
            self._choose_next_state(now)

    def handle_peer_status(
        self,
        peer: NodeIdentity,
        claim: ClaimRecord | None,
        now: float,
        interval_seconds: float = 0.0,
        stream_opened_at: float = -math.inf,
    ) -> None:
        """Handle a peer's status: the claim that it holds or follows, and its sending interval.

        ``stream_opened_at`` is when this node began to open the stream on which the status came;
        minus infinity if the peer opened it.
        """
        if self.state in (ElectionState.HOLDING, ElectionState.CLAIMING):
            return
        if claim is not None and self._is_newer(claim) and claim.host != self._identity.host:
            self._adopt_reported_claim(peer, claim, now)
            return
        known = self.claim
        if known is None or peer.host != known.host:
            return
        if (
            claim is not None
            and claim.token == known.token
            and peer.incarnation == known.incarnation
        ):
            self._heartbeat_timeout_seconds = max(
                HEARTBEAT_TIMEOUT_SECONDS, HEARTBEAT_TIMEOUT_INTERVALS * interval_seconds
            )
            self._follow_holder(now, known)
        elif self.state in _HOLDER_MONITORING_STATES:
            if peer.incarnation != known.incarnation:
                self._known_holder.note_other_process(peer.port, stream_opened_at, now)
            elif now - self._claim_unconfirmed_since < CLAIM_CONFIRMATION_SECONDS:
                return
            self._suspects_holder_dead = True
            self._start_reading(now, "holder_let_go")

    def handle_peer_lost(self, host: str, reason: ConnectionLossReason, now: float) -> None:
        """Handle the loss of the connection to a peer, or a failure to connect."""
        claim = self.claim
        if claim is None or host != claim.host:
            return
        if self.state not in _HOLDER_MONITORING_STATES:
            return
        if reason is ConnectionLossReason.REFUSED:
            self._suspects_holder_dead = True
            self._start_reading(now, "holder_refuses")
        elif reason is ConnectionLossReason.CLOSED and self.state is ElectionState.FOLLOWING:
            self._connect_to_holder(now, "stream_closed")
        elif self.state is not ElectionState.WATCHING:
            self._watch_holder(now, "holder_silent")

    def handle_append_result(self, result: AppendResult, now: float) -> None:
        """Handle the store's answer to the claim, or its absence."""
        if self.state is not ElectionState.CLAIMING:
            return
        if result.outcome is AppendOutcome.DONE:
            self._become_holder(now)
        elif result.outcome in (AppendOutcome.UNKNOWN, AppendOutcome.NOT_DONE):
            if self._claim_attempts >= MAXIMUM_CLAIM_ATTEMPTS:
                self._start_reading(now, "claim_unanswered")
            else:
                self._due_at = now + CLAIM_RETRY_SECONDS
        else:
            self._suspects_holder_dead = False
            self._start_reading(now, f"claim_{result.outcome.value}")

    def handle_step_down(self, now: float) -> None:
        """Look for the new holder after this process has given the shard up."""
        self._known_holder.note_stopped(now)
        self._pending_append = None
        self._start_reading(now, "stepped_down")

    def is_held_by(self, host: str) -> bool:
        """Return whether the latest known claim was made by a host."""
        return self.claim is not None and self.claim.host == host

    def is_idle(self, now: float) -> bool:
        """Return whether this node follows a holder and its latest heartbeat is recent enough."""
        return (
            self.state is ElectionState.FOLLOWING
            and now - self._last_heartbeat_at <= self._heartbeat_timeout_seconds
        )

    def tick(self, now: float) -> None:
        """Act on timeouts that have expired."""
        if self.state is ElectionState.FOLLOWING:
            if now - self._last_heartbeat_at > self._heartbeat_timeout_seconds:
                self._watch_holder(now, "heartbeat_missing")
            return
        if now < self._due_at:
            self._poll_while_waiting(now)
            return
        if self.state is ElectionState.READING and not self._is_read_pending:
            self._send_read(now)
        elif self.state is ElectionState.WATCHING:
            self._poll_holder(now)
        elif self.state is ElectionState.CONNECTING:
            self._watch_holder(now, "connecting_takes_long")
        elif self.state is ElectionState.WAITING_TURN:
            self._claim_or_poll(now)
        elif self.state is ElectionState.CLAIMING and self._pending_append is not None:
            self._send_claim(now)

    def _claim_or_poll(self, now: float) -> None:
        """Claim the shard, or read the claim first if the latest read is too old.

        A node that has taken over another shard while it waited delays its claim further.
        """
        load_delay_seconds = self._load_delay_seconds()
        if not self._may_claim(now):
            self._rest(now)
        elif load_delay_seconds > self._turn_load_delay_seconds:
            self._due_at = now + load_delay_seconds - self._turn_load_delay_seconds
            self._turn_load_delay_seconds = load_delay_seconds
        elif not self._is_successor and now - self._last_read_at > MAXIMUM_READ_AGE_SECONDS:
            self._due_at = now + MAXIMUM_READ_AGE_SECONDS / 2
            if not self._is_read_pending:
                self._send_read(now)
        else:
            self._claim_shard(now)

    def _poll_while_waiting(self, now: float) -> None:
        """Read the claim if it is time to check whether a node with an earlier turn has claimed."""
        if self.state is not ElectionState.WAITING_TURN or self._is_read_pending:
            return
        if now - self._last_read_at >= self._poll_interval_seconds(TURN_POLL_SECONDS):
            self._send_read(now)

    def take_actions(self) -> list[ElectionAction]:
        """Return the actions that have not been returned yet, and clear the list."""
        actions, self.actions = self.actions, []
        return actions

    # Decisions

    def _is_newer(self, claim: ClaimRecord | None) -> bool:
        if claim is None:
            return False
        return self.claim is None or claim.token > self.claim.token

    def _adopt_claim(self, claim: ClaimRecord | None, now: float) -> None:
        assert claim is not None
        self._known_holder.adopt(claim, now)
        self._claim_unconfirmed_since = now
        self._suspects_holder_dead = False
        if claim.host == self._identity.host:
            # An earlier incarnation made this claim, or the store carried out our claim late.
            self._known_holder.note_own_process(self._identity, self._started_at)
            self._wait_for_turn(now, 0.0, "own_earlier_claim")
        else:
            self._connect_to_holder(now, "claim_read")

    def _adopt_reported_claim(self, peer: NodeIdentity, claim: ClaimRecord, now: float) -> None:
        self._known_holder.adopt(claim, now)
        self._heartbeat_timeout_seconds = HEARTBEAT_TIMEOUT_SECONDS
        self._suspects_holder_dead = False
        if claim.incarnation != peer.incarnation:
            self._connect_to_holder(now, "claim_told")
            return
        if self.state is ElectionState.FOLLOWING:
            # This node followed another holder until now.
            self.actions.append(HolderChanged(claim))
        self._follow_holder(now, claim)

    def _follow_holder(self, now: float, claim: ClaimRecord) -> None:
        self._last_heartbeat_at = now
        self._claim_unconfirmed_since = -math.inf
        if self.state is not ElectionState.FOLLOWING:
            self._change_state(ElectionState.FOLLOWING, now, "holder_answers")
            self.actions.append(HolderChanged(claim))

    def _choose_next_state(self, now: float) -> None:
        """Choose the next state after a read that returned no newer claim."""
        claim = self.claim
        if claim is None:
            self._wait_for_turn(now, self._first_turn_delay_seconds(), "nobody_claimed")
        elif claim.host == self._identity.host:
            self._wait_for_turn(now, 0.0, "own_earlier_claim")
        elif self._suspects_holder_dead:
            self._wait_for_turn(now, self._turn_delay_seconds(claim), "holder_gone")
        else:
            self._connect_to_holder(now, "claim_unchanged")

    def _continue_watching(self, now: float) -> None:
        if now - self._end_moved_at >= IDLE_PARTITION_SECONDS:
            claim = self.claim
            assert claim is not None
            self._wait_for_turn(now, self._turn_delay_seconds(claim), "partition_rests")
        else:
            self._due_at = now + self._poll_interval_seconds(WATCH_INTERVAL_SECONDS)

    @property
    def _is_successor(self) -> bool:
        """Whether the holder has named this node as a successor."""
        return any(member.host == self._identity.host for member in self.successors)

    def _poll_interval_seconds(self, seconds: float) -> float:
        """Return the seconds until the next read; nodes that are not successors wait longer."""
        return seconds if self._is_successor else max(seconds, self._pacing.poll_interval_seconds)

    def _turn_delay_seconds(self, claim: ClaimRecord) -> float:
        """Return the delay before this node claims, so that nodes with earlier turns go first."""
        candidate_hosts = [member.host for member in self.successors if member.host != claim.host]
        if self._identity.host in candidate_hosts:
            return min(
                candidate_hosts.index(self._identity.host) * TURN_INTERVAL_SECONDS,
                MAXIMUM_TURN_DELAY_SECONDS,
            )
        delay = min(
            (len(candidate_hosts) + self._random_fraction()) * TURN_INTERVAL_SECONDS,
            MAXIMUM_TURN_DELAY_SECONDS,
        )
        return delay + self._random_fraction() * self._pacing.poll_interval_seconds

    def _first_turn_delay_seconds(self) -> float:
        """Return the delay before this node claims a shard that no node has ever held."""
        successor_hosts = [member.host for member in self.successors]
        if self._identity.host in successor_hosts:
            return (
                self._load_delay_seconds()
                + successor_hosts.index(self._identity.host) * TURN_INTERVAL_SECONDS
            )
        delay = MAXIMUM_TURN_DELAY_SECONDS if successor_hosts else self._load_delay_seconds()
        if self._identity.weight < 1.0:
            delay += SMALL_NODE_DELAY_SECONDS
        return delay + self._random_fraction() * max(
            FIRST_CLAIM_SPREAD_SECONDS, self._pacing.poll_interval_seconds
        )

    # Transitions

    def _change_state(self, state: ElectionState, now: float, reason: str) -> None:
        self.state = state
        token = self.claim.token if self.claim is not None else 0
        self.actions.append(ElectionLogLine(state, reason, token))

    def _start_reading(self, now: float, reason: str) -> None:
        if self.state is not ElectionState.READING:
            self._change_state(ElectionState.READING, now, reason)
            self.actions.append(HolderChanged(None))
        if not self._is_read_pending:
            self._send_read(now)

    def _send_read(self, now: float) -> None:
        self._is_read_pending = True
        self._last_read_at = now
        self.actions.append(ReadClaim())

    def _connect_to_holder(self, now: float, reason: str) -> None:
        claim = self.claim
        assert claim is not None
        self._change_state(ElectionState.CONNECTING, now, reason)
        self._due_at = now + HEARTBEAT_TIMEOUT_SECONDS
        self.actions.append(HolderChanged(None))
        self.actions.append(ConnectToHolder(claim.host, claim.port))

    def _watch_holder(self, now: float, reason: str) -> None:
        self._change_state(ElectionState.WATCHING, now, reason)
        self._end_moved_at = now
        self.actions.append(HolderChanged(None))
        self._poll_holder(now)

    def _poll_holder(self, now: float) -> None:
        claim = self.claim
        assert claim is not None
        self._due_at = now + self._poll_interval_seconds(WATCH_INTERVAL_SECONDS)
        if not self._is_read_pending:
            self._send_read(now)
        self.actions.append(ConnectToHolder(claim.host, claim.port))

    def _may_claim(self, now: float) -> bool:
        return self._are_claims_allowed and now >= self._claims_deferred_until

    def _rest(self, now: float) -> None:
        """Leave the shard to other nodes, and look again later."""
        self._due_at = now + DEFERRED_RETRY_SECONDS
        self._change_state(ElectionState.READING, now, "resting")

    def _wait_for_turn(self, now: float, delay: float, reason: str) -> None:
        if not self._may_claim(now):
            self._rest(now)
            return
        self._change_state(ElectionState.WAITING_TURN, now, reason)
        self._turn_load_delay_seconds = self._load_delay_seconds()
        self._due_at = now + delay
        if delay <= 0:
            self._claim_shard(now)

    def _claim_shard(self, now: float) -> None:
        identity = self._identity
        token = self._partition_end + 1
        # The known claim is the latest: a newer one would have moved the end of the partition.
        self._replaced_holder = self._known_holder.describe()
        claim = ClaimRecord(
            incarnation=identity.incarnation,
            host=identity.host,
            port=identity.port,
            token=token,
            earlier_orders_seconds=self._bound_earlier_orders(now).seconds_after(now),
        )
        self._pending_claim = claim
        self._pending_append = ShardAppend(
            shard=self._shard,
            epoch=token,
            sequence=1 + int(self._random_fraction() * SEQUENCE_RANGE),
            records=[ShardRecord(CLAIM_KEY, encode_claim(claim))],
            expected_end=self._partition_end,
        )
        self._claim_attempts = 0
        self._change_state(ElectionState.CLAIMING, now, "claims")
        self._claim_first_sent_at = now
        self._send_claim(now)

    def _bound_earlier_orders(self, claim_sent_at: float) -> OrderBound:
        return bound_earlier_orders(claim_sent_at, self._replaced_holder)

    def _send_claim(self, now: float) -> None:
        assert self._pending_append is not None
        self._claim_attempts += 1
        self._claim_last_sent_at = now
        self._due_at = now + 60.0
        self.actions.append(SendClaim(self._pending_append))

    def _become_holder(self, now: float) -> None:
        assert self._pending_append is not None
        assert self._pending_claim is not None
        self._known_holder.adopt(self._pending_claim, now)
        claim_append, self._pending_append = self._pending_append, None
        self._change_state(ElectionState.HOLDING, now, "claim_stands")
        self.actions.append(
            BecomeHolder(
                claim=self._pending_claim,
                next_sequence=claim_append.sequence + 1,
                claimed_at=self._claim_first_sent_at,
                claim_call_seconds=now - self._claim_last_sent_at,
                earlier_orders=self._bound_earlier_orders(self._claim_first_sent_at),
                previous_token=self._replaced_holder.token,
            )
        )
