"""Callers' calls at the node that they came to: to their shard's holder and back, counted."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from absl import logging

from onyxspoke.core.shard.calls import (
    CALL_NAMES,
    Call,
    CallReply,
    ReplyCode,
    SubmitCall,
    WaitingCountCall,
    job_id_of,
    queue_of,
)
from onyxspoke.core.shard.layout import CellLayout
from onyxspoke.node.call_router import RETRY_AFTER_SECONDS, CallRouter, OnReply
from onyxspoke.node.metrics import NodeMetrics
from onyxspoke.node.waiting_sum import WaitingSum
from onyxspoke.ports.clock import Clock


class CallGate:
    """Takes calls in and tells what came of them.

    Parameters
    ----------
    router : CallRouter
        Carries calls to the holders.
    layout : callable
        Returns the cell's layout, once it is known.
    clock : Clock
        Source of time.
    metrics : NodeMetrics
        Counts replies.
    """

    def __init__(
        self,
        router: CallRouter,
        layout: Callable[[], CellLayout | None],
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        self._router = router
        self._layout = layout
        self._clock = clock
        self._metrics = metrics

    def submit(self, job_id: str, call: Call, on_reply: OnReply, seconds: float) -> None:
        """Carry a call to the holder of the job's shard; the reply comes within the time."""
        now = self._clock.now()
        take = partial(self._finish, call, on_reply, now)
        layout = self._layout()
        if layout is None:
            take(_reply_without_layout(call))
        elif isinstance(call, WaitingCountCall):
            total = WaitingSum(layout.shard_count, take)
            for shard in layout.shards():
                self._router.submit(shard, call, total.add, now, now + seconds)
        else:
            self._router.submit(layout.shard_of_job(job_id), call, take, now, now + seconds)

    def _finish(self, call: Call, on_reply: OnReply, since: float, reply: CallReply) -> None:
        name = CALL_NAMES[type(call)]
        seconds = self._clock.now() - since
        self._metrics.note_reply(name, queue_of(call), reply.code.value, seconds)
        if reply.code is ReplyCode.REFUSED and isinstance(call, SubmitCall):
            self._metrics.load.note_refused(queue_of(call), reply.reason, reply.retry_after_seconds)
        if reply.code in (ReplyCode.REFUSED, ReplyCode.UNKNOWN):
            logging.info(
                "event=call_given_up call=%s job=%s queue=%s code=%s reason=%s seconds=%.3f"
                " retry_s=%.1f",
                name,
                job_id_of(call),
                queue_of(call) or "?",
                reply.code.value,
                reply.reason,
                seconds,
                reply.retry_after_seconds,
            )
        on_reply(reply)


def _reply_without_layout(call: Call) -> CallReply:
    """Return the reply while it is not known which shard a job belongs to."""
    code = ReplyCode.REFUSED if isinstance(call, SubmitCall) else ReplyCode.UNKNOWN
    return CallReply(code=code, retry_after_seconds=RETRY_AFTER_SECONDS, reason="no_layout")
