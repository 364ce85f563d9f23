"""Who holds a shard: one claim in the store, found, followed, watched and replaced.

A claim is an append to the shard's partition under the condition that it ends where the
claimant saw it end.  Its epoch, one more than that end, fences every earlier holder's writes
and is the token that fences their orders, so it is unique and rises by construction.
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
from onyxspoke.core.shard.store_budget import StorePacing

#: Pause before the claim is read again after the store gave no answer.
READ_RETRY_SECONDS = 0.15
#: Pause between looks at whether the partition's end still moves.
WATCH_SECONDS = 0.15
#: A holder whose partition rests for so long is taken for dead or cut off.
REST_SECONDS = 0.6
#: Pause between attempts to reach a holder that is alive but does not answer us.
RECONNECT_SECONDS = 0.8
#: Between the turns of two claimants, and the longest wait for a turn.
TURN_SECONDS = 0.1
LONGEST_TURN_SECONDS = 1.0
#: Pause between looks at whether another node has claimed, while a turn is waited for.
TURN_LOOK_SECONDS = 0.2
#: A node that is not to take over claims only by a look that is no older.
FRESH_LOOK_SECONDS = 0.1
#: Claimants of a shard that nobody holds draw their turn up to here.
FIRST_TURN_SECONDS = 0.06
#: Smaller nodes leave a shard that nobody ever held to larger ones for so long.
SMALL_NODE_SECONDS = 0.1
CLAIM_RETRY_SECONDS = 0.1
#: A claim that is not answered is given up, and read back, after so many attempts.
MAXIMUM_CLAIM_ATTEMPTS = 8
#: A follower that hears nothing for so long, and so many intervals, doubts its holder.
SILENCE_SECONDS = 0.5
INTERVALS_TO_SILENCE = 2.5
#: A claimant may not know yet that its claim stands when others read it: until it has said so
#: once, its silence about it is no letting go for so long after the claim was read, in seconds.
#: A store that takes 0.4 s an answer needs about half of it.
UNCONFIRMED_SECONDS = 1.0
#: First sequences are drawn from up to here, so that two claimants never share one.
SEQUENCE_RANGE = 2**40


#: States in which what the holder's node says, or does not, counts.
_LOOKING_AT_HOLDER = frozenset(
    {ElectionState.FOLLOWING, ElectionState.CONNECTING, ElectionState.WATCHING}
)


class Election:
    """Finds, follows, watches and replaces the holder of one shard.

    Parameters
    ----------
    shard : int
        Which shard.
    identity : NodeIdentity
        This process.
    draw : callable
        Returns a random number of at least 0 and below 1.
    started_at : float
        When this process began; earlier lives on this host ended before.
    load_delay_seconds : callable
        Returns for how many seconds this node leaves a shard to nodes that hold fewer.
    """

    def __init__(
        self,
        shard: ShardId,
        identity: NodeIdentity,
        draw: Callable[[], float],
        started_at: float,
        load_delay_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._shard = shard
        self._identity = identity
        self._draw = draw
        self._started_at = started_at
        self._load_delay_seconds = load_delay_seconds
        self.state = ElectionState.READING
        self.claim: ClaimRecord | None = None
        self._end = -1
        #: Nodes that are to take over, by the word of the holder, in the order of their turns.
        self.successors: list[NodeIdentity] = []
        self._pacing = StorePacing()
        self._turn_handicap = 0.0
        self._due_at = 0.0
        self._is_reading = False
        self._looked_at = 0.0
        self._heard_at = 0.0
        self._silence_seconds = SILENCE_SECONDS
        #: When the claim was read that its holder has not told us of yet.
        self._unconfirmed_since = -math.inf
        self._moved_at = 0.0
        self._dead_since: float | None = None
        self._suspects_death = False
        self._pending: ShardAppend | None = None
        self._pending_claim: ClaimRecord | None = None
        self._claim_sent_at = 0.0
        self._claim_last_sent_at = 0.0
        self._claim_attempts = 0
        self._previous_token = 0
        self._rest_until = -math.inf
        self.actions: list[ElectionAction] = []

    # Stimuli

    def start(self, now: float) -> None:
        """Begin to look for the holder."""
        self._read(now, "started")

    def defer_claims_until(self, moment: float) -> None:
        """Claim nothing before a moment: others are to take over."""
        self._rest_until = moment

    def set_successors(self, successors: list[NodeIdentity]) -> None:
        """Take the nodes that are to take over, in the order of their turns."""
        self.successors = successors

    def set_pacing(self, pacing: StorePacing) -> None:
        """Take how often the store may be called by nodes that are not to take over."""
        self._pacing = pacing

    def handle_claim_read(
        self, is_known: bool, claim: ClaimRecord | None, end: int, now: float
    ) -> None:
        """The store told the claim and the end, or gave no answer."""
        self._is_reading = False
        if self.state in (ElectionState.HOLDING, ElectionState.CLAIMING):
            return
        if not is_known:
            self._due_at = now + self._pause(READ_RETRY_SECONDS)
            return
        has_moved = end != self._end
        self._end = end
        if has_moved:
            self._moved_at = now
        if self._is_new(claim):
            self._adopt_claim(claim, now)
        elif self.state is ElectionState.WATCHING:
            self._watch_on(now)
        elif self.state is ElectionState.WAITING_TURN and has_moved:
            self._suspects_death = False
            self._connect(now, "holder_writes")
        elif self.state is ElectionState.READING:
            self._decide(now)

    def handle_peer_status(
        self,
        peer: NodeIdentity,
        claim: ClaimRecord | None,
        now: float,
        interval_seconds: float = 0.0,
    ) -> None:
        """A peer tells which claim it holds or follows, if any, and when it will tell again."""
        if self.state in (ElectionState.HOLDING, ElectionState.CLAIMING):
            return
        if claim is not None and self._is_new(claim) and claim.host != self._identity.host:
            self._adopt_told_claim(peer, claim, now)
            return
        known = self.claim
        if known is None or peer.host != known.host:
            return
        if (
            claim is not None
            and claim.token == known.token
            and peer.incarnation == known.incarnation
        ):
            self._silence_seconds = max(SILENCE_SECONDS, INTERVALS_TO_SILENCE * interval_seconds)
            self._follow(now, known)
        elif self.state in _LOOKING_AT_HOLDER:
            if peer.incarnation != known.incarnation:
                self._dead_since = now
            elif now - self._unconfirmed_since < UNCONFIRMED_SECONDS:
                return
            self._suspects_death = True
            self._read(now, "holder_let_go")

    def handle_peer_lost(self, host: str, reason: ConnectionLossReason, now: float) -> None:
        """The stream to a peer ended, or none came about."""
        claim = self.claim
        if claim is None or host != claim.host:
            return
        if self.state not in _LOOKING_AT_HOLDER:
            return
        if reason is ConnectionLossReason.REFUSED:
            self._suspects_death = True
            self._read(now, "holder_refuses")
        elif reason is ConnectionLossReason.CLOSED and self.state is ElectionState.FOLLOWING:
            self._connect(now, "stream_closed")
        elif self.state is not ElectionState.WATCHING:
            self._watch(now, "holder_silent")

    def handle_append_result(self, result: AppendResult, now: float) -> None:
        """The store answered the claim, or did not."""
        if self.state is not ElectionState.CLAIMING:
            return
        if result.outcome is AppendOutcome.DONE:
            self._win(now)
        elif result.outcome in (AppendOutcome.UNKNOWN, AppendOutcome.NOT_DONE):
            if self._claim_attempts >= MAXIMUM_CLAIM_ATTEMPTS:
                self._read(now, "claim_unanswered")
            else:
                self._due_at = now + CLAIM_RETRY_SECONDS
        else:
            self._suspects_death = False
            self._read(now, f"claim_{result.outcome.value}")

    def handle_step_down(self, now: float) -> None:
        """Look for the holder again: it is no longer this process."""
        self._pending = None
        self._read(now, "stepped_down")

    def is_held_by(self, host: str) -> bool:
        """Return whether the claim that is known is that of a host."""
        return self.claim is not None and self.claim.host == host

    def is_idle(self, now: float) -> bool:
        """Return whether the passing of time changes nothing."""
        return (
            self.state is ElectionState.FOLLOWING and now - self._heard_at <= self._silence_seconds
        )

    def tick(self, now: float) -> None:
        """Some time has passed."""
        if self.state is ElectionState.FOLLOWING:
            if now - self._heard_at > self._silence_seconds:
                self._watch(now, "heartbeat_missing")
            return
        if now < self._due_at:
            self._look_while_waiting(now)
            return
        if self.state is ElectionState.READING and not self._is_reading:
            self._send_read(now)
        elif self.state is ElectionState.WATCHING:
            self._look_again(now)
        elif self.state is ElectionState.CONNECTING:
            self._watch(now, "connecting_takes_long")
        elif self.state is ElectionState.WAITING_TURN:
            self._claim_or_look(now)
        elif self.state is ElectionState.CLAIMING and self._pending is not None:
            self._send_claim(now)

    def _claim_or_look(self, now: float) -> None:
        """Claim, unless others may have claimed since the last look; a look costs less.

        A node that has taken over another shard meanwhile leaves this one to others.
        """
        load_delay_seconds = self._load_delay_seconds()
        if load_delay_seconds > self._turn_handicap:
            self._due_at = now + load_delay_seconds - self._turn_handicap
            self._turn_handicap = load_delay_seconds
        elif not self._is_named and now - self._looked_at > FRESH_LOOK_SECONDS:
            self._due_at = now + FRESH_LOOK_SECONDS / 2
            if not self._is_reading:
                self._send_read(now)
        else:
            self._claim(now)

    def _look_while_waiting(self, now: float) -> None:
        """See whether a node with an earlier turn has claimed."""
        if self.state is not ElectionState.WAITING_TURN or self._is_reading:
            return
        if now - self._looked_at >= self._pause(TURN_LOOK_SECONDS):
            self._send_read(now)

    def take_actions(self) -> list[ElectionAction]:
        """Return the instructions not handed out yet."""
        actions, self.actions = self.actions, []
        return actions

    # Decisions

    def _is_new(self, claim: ClaimRecord | None) -> bool:
        if claim is None:
            return False
        return self.claim is None or claim.token > self.claim.token

    def _adopt_claim(self, claim: ClaimRecord | None, now: float) -> None:
        assert claim is not None
        self.claim = claim
        self._unconfirmed_since = now
        self._dead_since = None
        self._suspects_death = False
        if claim.host == self._identity.host:
            # An earlier life on this host, or a claim of ours that landed late.
            if claim.incarnation != self._identity.incarnation:
                self._dead_since = self._started_at
            self._wait_turn(now, 0.0, "own_earlier_claim")
        else:
            self._connect(now, "claim_read")

    def _adopt_told_claim(self, peer: NodeIdentity, claim: ClaimRecord, now: float) -> None:
        self.claim = claim
        self._silence_seconds = SILENCE_SECONDS
        self._dead_since = None
        self._suspects_death = False
        if claim.incarnation != peer.incarnation:
            self._connect(now, "claim_told")
            return
        if self.state is ElectionState.FOLLOWING:
            # It was another node until now.
            self.actions.append(HolderChanged(claim))
        self._follow(now, claim)

    def _follow(self, now: float, claim: ClaimRecord) -> None:
        self._heard_at = now
        self._unconfirmed_since = -math.inf
        if self.state is not ElectionState.FOLLOWING:
            self._move(ElectionState.FOLLOWING, now, "holder_answers")
            self.actions.append(HolderChanged(claim))

    def _decide(self, now: float) -> None:
        """The claim is as it was: replace it if its holder is thought dead."""
        claim = self.claim
        if claim is None:
            self._wait_turn(now, self._first_turn_delay(), "nobody_claimed")
        elif claim.host == self._identity.host:
            self._wait_turn(now, 0.0, "own_earlier_claim")
        elif self._suspects_death:
            self._wait_turn(now, self._turn_delay(claim), "holder_gone")
        else:
            self._connect(now, "claim_unchanged")

    def _watch_on(self, now: float) -> None:
        if now - self._moved_at >= REST_SECONDS:
            claim = self.claim
            assert claim is not None
            self._wait_turn(now, self._turn_delay(claim), "partition_rests")
        else:
            self._due_at = now + self._pause(WATCH_SECONDS)

    @property
    def _is_named(self) -> bool:
        """Whether this node is to take over, by the word of the holder."""
        return any(member.host == self._identity.host for member in self.successors)

    def _pause(self, seconds: float) -> float:
        """Return the pause before the next look, longer at nodes that are not to take over."""
        return seconds if self._is_named else max(seconds, self._pacing.look_seconds)

    def _turn_delay(self, claim: ClaimRecord) -> float:
        """Return how long to leave the claim to nodes that come before us."""
        candidates = [member.host for member in self.successors if member.host != claim.host]
        if self._identity.host in candidates:
            return min(candidates.index(self._identity.host) * TURN_SECONDS, LONGEST_TURN_SECONDS)
        delay = min((len(candidates) + self._draw()) * TURN_SECONDS, LONGEST_TURN_SECONDS)
        return delay + self._draw() * self._pacing.look_seconds

    def _first_turn_delay(self) -> float:
        """Return how long to leave a shard that nobody ever held to others."""
        hosts = [member.host for member in self.successors]
        if self._identity.host in hosts:
            return self._load_delay_seconds() + hosts.index(self._identity.host) * TURN_SECONDS
        delay = LONGEST_TURN_SECONDS if hosts else self._load_delay_seconds()
        if self._identity.weight < 1.0:
            delay += SMALL_NODE_SECONDS
        return delay + self._draw() * max(FIRST_TURN_SECONDS, self._pacing.look_seconds)

    # Steps

    def _move(self, state: ElectionState, now: float, reason: str) -> None:
        self.state = state
        token = self.claim.token if self.claim is not None else 0
        self.actions.append(ElectionLogLine(state, reason, token))

    def _read(self, now: float, reason: str) -> None:
        if self.state is not ElectionState.READING:
            self._move(ElectionState.READING, now, reason)
            self.actions.append(HolderChanged(None))
        if not self._is_reading:
            self._send_read(now)

    def _send_read(self, now: float) -> None:
        self._is_reading = True
        self._looked_at = now
        self.actions.append(ReadClaim())

    def _connect(self, now: float, reason: str) -> None:
        claim = self.claim
        assert claim is not None
        self._move(ElectionState.CONNECTING, now, reason)
        self._due_at = now + SILENCE_SECONDS
        self.actions.append(HolderChanged(None))
        self.actions.append(ConnectToHolder(claim.host, claim.port))

    def _watch(self, now: float, reason: str) -> None:
        self._move(ElectionState.WATCHING, now, reason)
        self._moved_at = now
        self.actions.append(HolderChanged(None))
        self._look_again(now)

    def _look_again(self, now: float) -> None:
        claim = self.claim
        assert claim is not None
        self._due_at = now + self._pause(WATCH_SECONDS)
        if not self._is_reading:
            self._send_read(now)
        self.actions.append(ConnectToHolder(claim.host, claim.port))

    def _wait_turn(self, now: float, delay: float, reason: str) -> None:
        if now < self._rest_until:
            self._due_at = now + RECONNECT_SECONDS
            self._move(ElectionState.READING, now, "resting")
            return
        self._move(ElectionState.WAITING_TURN, now, reason)
        self._turn_handicap = self._load_delay_seconds()
        self._due_at = now + delay
        if delay <= 0:
            self._claim(now)

    def _claim(self, now: float) -> None:
        identity = self._identity
        token = self._end + 1
        # The claim that was read with this end, or was told of before: the end would have moved.
        self._previous_token = self.claim.token if self.claim is not None else 0
        claim = ClaimRecord(
            incarnation=identity.incarnation, host=identity.host, port=identity.port, token=token
        )
        self._pending_claim = claim
        self._pending = ShardAppend(
            shard=self._shard,
            epoch=token,
            sequence=1 + int(self._draw() * SEQUENCE_RANGE),
            records=[ShardRecord(CLAIM_KEY, encode_claim(claim))],
            expected_end=self._end,
        )
        self._claim_attempts = 0
        self._move(ElectionState.CLAIMING, now, "claims")
        self._claim_sent_at = now
        self._send_claim(now)

    def _send_claim(self, now: float) -> None:
        assert self._pending is not None
        self._claim_attempts += 1
        self._claim_last_sent_at = now
        self._due_at = now + 60.0
        self.actions.append(SendClaim(self._pending))

    def _win(self, now: float) -> None:
        assert self._pending is not None
        assert self._pending_claim is not None
        self.claim = self._pending_claim
        pending, self._pending = self._pending, None
        self._move(ElectionState.HOLDING, now, "claim_stands")
        self.actions.append(
            BecomeHolder(
                claim=self._pending_claim,
                next_sequence=pending.sequence + 1,
                claimed_at=self._claim_sent_at,
                claim_call_seconds=now - self._claim_last_sent_at,
                previous_holder_dead_since=self._dead_since,
                previous_token=self._previous_token,
            )
        )
