"""Takes clients' calls to the holder of their shard, wherever it is, within their time."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum

import msgspec
from absl import logging

from onyxspoke.core.admission.summary_cache import AdmissionSummaryCache
from onyxspoke.core.admission.verdict import RefusalReason
from onyxspoke.core.shard.call_copies import CallCopies
from onyxspoke.core.shard.calls import (
    CALL_NAMES,
    Call,
    CallReply,
    ReplyCode,
    SubmitCall,
    job_id_of,
)
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.node.call_route import CallRoute

#: A call that no holder has seen is refused after so long: a new holder may come soon...
NO_HOLDER_SECONDS = 1.0
#: ... but not to a node that reaches neither a holder nor the store.
CUT_OFF_SECONDS = 0.25
#: ... nor where the last holder closed the queue: most changes of holder are over by then, and
#: callers, who wait for seconds, lose little by it.
CLOSED_SECONDS = 0.5
#: When a caller is told to come back while there is no holder.
RETRY_AFTER_SECONDS = 1.0
#: Why a call is answered by a node whose process ends.
STOPPING_REASON = "stopping"
#: Pause before a call goes to the same holder again, after it said that it is none.
REPEAT_SECONDS = 0.05
_MILLISECONDS = 1_000.0

OnReply = Callable[[CallReply], None]
#: Returns the way to a shard's holder, if one is known and can be reached.
RouteFinder = Callable[[ShardId], CallRoute | None]


class CallProgress(Enum):
    """How far a call that has no reply yet has come."""

    NOT_SENT = "not_sent"
    AT_HOLDER = "at_holder"
    HOLDER_LOST = "holder_lost"


class OpenCall(msgspec.Struct, frozen=True):
    """A call that has no reply yet."""

    shard: ShardId
    call: Call
    progress: CallProgress
    age_seconds: float


class _PendingCall:
    __slots__ = (
        "awaited_copy",
        "call",
        "copies",
        "deadline",
        "on_reply",
        "retry_at",
        "routes",
        "shard",
        "since",
        "was_sent",
    )

    def __init__(
        self, shard: ShardId, call: Call, on_reply: OnReply, now: float, deadline: float
    ) -> None:
        self.shard = shard
        self.call = call
        self.on_reply = on_reply
        self.since = now
        self.deadline = deadline
        self.retry_at = 0.0
        self.copies = CallCopies()
        #: Where each copy was sent, by its number, but for those that no holder took.
        self.routes: dict[int, CallRoute] = {}
        self.was_sent = False
        #: The copy at the present holder; None while the call is to be sent to one.
        self.awaited_copy: int | None = None

    @property
    def progress(self) -> CallProgress:
        """How far the call has come."""
        if not self.was_sent:
            return CallProgress.NOT_SENT
        is_at_holder = self.awaited_copy is not None
        return CallProgress.AT_HOLDER if is_at_holder else CallProgress.HOLDER_LOST


class CallRouter:
    """Calls on their way.

    A call may be sent several times; each copy has a number of its own, which its reply names.
    The caller is told of a refusal only if no copy can be accepted any more.

    Parameters
    ----------
    find_route : callable
        Returns the way to a shard's holder.
    summary_cache : AdmissionSummaryCache
        Tells which queues the holders have closed.
    """

    def __init__(self, find_route: RouteFinder, summary_cache: AdmissionSummaryCache) -> None:
        self._find_route = find_route
        self._summary_cache = summary_cache
        self._pending: dict[int, _PendingCall] = {}
        self._last_id = 0
        #: Calls by the numbers of their copies.
        self._call_ids: dict[int, int] = {}
        self._last_copy = 0
        self._is_closed = False

    def __len__(self) -> int:
        return len(self._pending)

    def open_calls(self, now: float) -> Iterator[OpenCall]:
        """Return the calls that have no reply yet, in the order in which they came."""
        for pending in self._pending.values():
            age_seconds = now - pending.since
            yield OpenCall(pending.shard, pending.call, pending.progress, age_seconds)

    def submit(
        self, shard: ShardId, call: Call, on_reply: OnReply, now: float, deadline: float
    ) -> int:
        """Take a call; ``on_reply`` is called once, by the deadline."""
        self._last_id += 1
        call_id = self._last_id
        pending = self._pending[call_id] = _PendingCall(shard, call, on_reply, now, deadline)
        if self._is_closed:
            self._finish(call_id, self._late_reply(pending, now))
        else:
            self._try(call_id, now)
        return call_id

    def close(self, now: float) -> None:
        """Refuse new calls, and those that no holder has seen, because the process ends soon."""
        self._is_closed = True
        for call_id, pending in list(self._pending.items()):
            if not pending.was_sent:
                self._finish(call_id, self._late_reply(pending, now))

    def answer_all(self, now: float) -> None:
        """Answer every call with what is known of it."""
        for call_id, pending in list(self._pending.items()):
            self._finish(call_id, self._late_reply(pending, now))

    def handle_reply(self, copy: int, reply: CallReply, now: float) -> None:
        """A holder replied to a copy of a call."""
        call_id = self._call_ids.pop(copy, None)
        if call_id is None:
            return
        pending = self._pending[call_id]
        if reply.code is ReplyCode.NOT_HOLDER:
            del pending.routes[copy]
            pending.copies.handle_not_taken(copy)
            pending.retry_at = now + REPEAT_SECONDS
        else:
            self._log_repeated(pending, copy, reply)
            if reply.code is not ReplyCode.REFUSED:
                self._finish(call_id, reply)
                return
            pending.copies.handle_refused(copy, reply)
        if pending.awaited_copy == copy:
            pending.awaited_copy = None
        self._conclude(call_id)

    def handle_holder_lost(self, shard: ShardId) -> None:
        """The holder of a shard is not known any more; it may still reply."""
        for pending in self._pending.values():
            if pending.shard == shard:
                pending.awaited_copy = None

    def handle_path_lost(self, path: object) -> None:
        """Replies to what was sent on a path will not come."""
        for copy, call_id in list(self._call_ids.items()):
            pending = self._pending.get(call_id)
            if pending is None or pending.routes[copy].path is not path:
                continue
            del self._call_ids[copy]
            pending.copies.handle_lost(copy)
            if pending.awaited_copy == copy:
                pending.awaited_copy = None
            self._conclude(call_id)

    def handle_holder_found(self, shard: ShardId, now: float) -> None:
        """A shard has a holder that can be reached."""
        for call_id, pending in list(self._pending.items()):
            if pending.shard == shard and pending.awaited_copy is None:
                self._try(call_id, now)

    def keep(self, now: float, is_cut_off: bool) -> None:
        """Repeat calls whose holder was none; answer those whose time is over.

        ``is_cut_off`` tells that this node reaches neither a holder nor the store.
        """
        bound = CUT_OFF_SECONDS if is_cut_off else NO_HOLDER_SECONDS
        for call_id, pending in list(self._pending.items()):
            if now >= pending.deadline:
                self._finish(call_id, self._late_reply(pending, now))
            elif pending.awaited_copy is None:
                self._keep_waiting(call_id, pending, now, bound)

    def _keep_waiting(self, call_id: int, pending: _PendingCall, now: float, bound: float) -> None:
        """Try again with a call that is at no holder; answer it once it found none for long."""
        waited = now - pending.since
        if not pending.was_sent and waited > bound:
            self._finish(call_id, self._late_reply(pending, now))
            return
        if now >= pending.retry_at:
            self._try(call_id, now)
        # A holder in this process may have replied to it.
        if call_id not in self._pending or pending.was_sent or waited <= CLOSED_SECONDS:
            return
        reply = self._closed_reply(pending, now)
        if reply is not None:
            self._finish(call_id, reply)

    def _try(self, call_id: int, now: float) -> None:
        """Send a call to the present holder, unless a reply from there is on its way."""
        pending = self._pending[call_id]
        if now < pending.retry_at or now >= pending.deadline:
            return
        pending.retry_at = now + REPEAT_SECONDS
        route = self._find_route(pending.shard)
        if route is None:
            return
        pending.awaited_copy = self._find_open_copy(pending, route)
        if pending.awaited_copy is not None:
            return
        self._last_copy += 1
        copy = pending.awaited_copy = self._last_copy
        pending.routes[copy] = route
        pending.was_sent = True
        pending.copies.handle_sent(copy, route.target)
        self._call_ids[copy] = call_id
        route.send(copy, pending.call)

    def _find_open_copy(self, pending: _PendingCall, route: CallRoute) -> int | None:
        """Return the copy that this holder got on the same path and has not answered yet."""
        for copy, earlier in pending.routes.items():
            is_same = earlier.path is route.path and earlier.target == route.target
            if is_same and copy in self._call_ids:
                return copy
        return None

    def _conclude(self, call_id: int) -> None:
        """Answer a call once its refusals leave no doubt, or a doubt that will not be resolved."""
        reply = self._pending[call_id].copies.conclude()
        if reply is not None:
            self._finish(call_id, reply)

    def _late_reply(self, pending: _PendingCall, now: float) -> CallReply:
        """Return what is known of a call whose time is over."""
        if pending.copies.is_in_doubt or not isinstance(pending.call, SubmitCall):
            reason = STOPPING_REASON if self._is_closed else "no_reply"
            return CallReply(code=ReplyCode.UNKNOWN, reason=reason)
        closed = self._closed_reply(pending, now)
        if closed is not None:
            return closed
        job = pending.call.job
        seconds = self._summary_cache.retry_seconds(
            pending.shard, job.queue.name, job.tenant, job.job_id, now, RETRY_AFTER_SECONDS
        )
        return _refused(seconds, STOPPING_REASON if self._is_closed else "no_holder")

    def _closed_reply(self, pending: _PendingCall, now: float) -> CallReply | None:
        """Return the refusal of a job that no holder took, if the last one closed its queue."""
        if not isinstance(pending.call, SubmitCall):
            return None
        job = pending.call.job
        seconds = self._summary_cache.decide(
            pending.shard, job.queue.name, job.tenant, job.job_id, now
        )
        if seconds is None:
            return None
        age = self._summary_cache.age_seconds(pending.shard, now) or 0.0
        logging.info(
            "event=job_refused_unsent shard=%d job=%s queue=%s tenant=%s age_ms=%d retry_s=%.1f",
            pending.shard,
            job.job_id,
            job.queue.name,
            job.tenant,
            age * _MILLISECONDS,
            seconds,
        )
        return _refused(seconds, RefusalReason.CLOSED.value)

    def _finish(self, call_id: int, reply: CallReply) -> None:
        pending = self._pending.pop(call_id)
        for copy in pending.routes:
            self._call_ids.pop(copy, None)
        pending.on_reply(reply)

    def _log_repeated(self, pending: _PendingCall, copy: int, reply: CallReply) -> None:
        """Log a reply to a call of which several copies were sent."""
        if len(pending.routes) == 1:
            return
        logging.info(
            "event=call_copy_reply shard=%d call=%s job=%s copies=%s copy=%d code=%s reason=%s",
            pending.shard,
            CALL_NAMES[type(pending.call)],
            job_id_of(pending.call),
            ",".join(
                f"{number}:{route.target.token}@{route.target.incarnation}"
                for number, route in pending.routes.items()
            ),
            copy,
            reply.code.value,
            reply.reason,
        )


def _refused(seconds: float, reason: str) -> CallReply:
    return CallReply(code=ReplyCode.REFUSED, retry_after_seconds=seconds, reason=reason)
