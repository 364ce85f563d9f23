"""An entry's cache of the queue closures that the shards' holders reported.

The cache serves calls that cannot reach the holder and were sent to no holder: a fresh summary
allows an early refusal, and any summary improves the retry time.  An entry that reaches the holder
asks the holder instead.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import NamedTuple

from onyxspoke.core.admission.summary import AdmissionSummary
from onyxspoke.core.jobs.model import JobId
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.core.tenants.policy import TenantName

#: Longest closure, in seconds, that is taken from a summary.
LONGEST_CLOSED_SECONDS = 30.0
#: Minimum interval over which retries are spread; retry times are in whole seconds.
MIN_SPREAD_SECONDS = 1.0
_HASH_COUNT = 1 << 32


class ClosedQueue(NamedTuple):
    """A queue that a holder reported as closed.

    ``tenants`` is empty if the queue is closed for all; ``seconds`` is the rest of the closure, and
    ``age_seconds`` is the age of the holder's summary.
    """

    queue: str
    tenants: tuple[TenantName, ...]
    seconds: float
    age_seconds: float


@dataclass(slots=True)
class _CachedSummary:
    """The newest summary of a shard, and the time on the entry's clock at which it was made."""

    summary: AdmissionSummary
    made_at: float


class AdmissionSummaryCache:
    """Caches the newest admission summary of each shard.

    Parameters
    ----------
    max_age_seconds : float
        An older summary refuses no job.
    """

    def __init__(self, max_age_seconds: float) -> None:
        self._max_age_seconds = max_age_seconds
        self._summaries: dict[ShardId, _CachedSummary] = {}
        #: The highest known fencing token of each shard's holders.
        self._newest_tokens: dict[ShardId, int] = {}

    def note_holder(self, shard: ShardId, token: int) -> None:
        """Record a shard's holder, and drop the summary of any previous holder."""
        if token <= self._newest_tokens.get(shard, -1):
            return
        self._newest_tokens[shard] = token
        cached = self._summaries.get(shard)
        if cached is not None and cached.summary.token < token:
            del self._summaries[shard]

    def update(self, shard: ShardId, summary: AdmissionSummary, now: float) -> None:
        """Store a summary, unless it is older than the cached one or from a previous holder."""
        age_seconds = summary.age_seconds
        if summary.token < self._newest_tokens.get(shard, -1) or not 0.0 <= age_seconds < math.inf:
            return
        self.note_holder(shard, summary.token)
        made_at = now - age_seconds
        previous = self._summaries.get(shard)
        if previous is None or made_at >= previous.made_at:
            self._summaries[shard] = _CachedSummary(summary, made_at)

    def decide(
        self, shard: ShardId, queue: str, tenant: TenantName, job_id: JobId, now: float
    ) -> float | None:
        """Return after how many seconds the caller should retry, or None if the job is not refused.

        Call this only for a job that was sent to no holder.
        """
        cached = self._summaries.get(shard)
        if cached is None or now - cached.made_at >= self._max_age_seconds:
            return None
        return self._spread_retry_seconds(cached, queue, tenant, job_id, now)

    def retry_seconds(
        self,
        shard: ShardId,
        queue: str,
        tenant: TenantName,
        job_id: JobId,
        now: float,
        default: float,
    ) -> float:
        """Return after how many seconds the caller of a job that is refused anyway should retry.

        A summary of any age is used, because it gives the time at which the queue may reopen.
        """
        cached = self._summaries.get(shard)
        seconds = (
            None
            if cached is None
            else self._spread_retry_seconds(cached, queue, tenant, job_id, now)
        )
        return default if seconds is None else max(default, seconds)

    def closed_queues(self, shard: ShardId, now: float) -> list[ClosedQueue]:
        """Return the closed queues of a shard by its cached summary, whatever the summary's age."""
        cached = self._summaries.get(shard)
        if cached is None:
            return []
        age_seconds = now - cached.made_at
        return [
            ClosedQueue(
                notice.queue,
                notice.tenants,
                min(LONGEST_CLOSED_SECONDS, notice.closed_seconds - age_seconds),
                age_seconds,
            )
            for notice in cached.summary.notices
            if notice.closed_seconds > age_seconds
        ]

    def age_seconds(self, shard: ShardId, now: float) -> float | None:
        """Return the age of a shard's cached summary in seconds, or None if there is none."""
        cached = self._summaries.get(shard)
        return None if cached is None else now - cached.made_at

    def _spread_retry_seconds(
        self, cached: _CachedSummary, queue: str, tenant: TenantName, job_id: JobId, now: float
    ) -> float | None:
        """Return the retry time for a closed queue, or None if the queue is open.

        The retry time is the rest of the closure, extended by up to its own length.  The extension
        depends on a hash of the job, so that callers don't all retry in the same second.
        """
        closed_seconds = [
            notice.closed_seconds
            for notice in cached.summary.notices
            if notice.queue == queue and (not notice.tenants or tenant in notice.tenants)
        ]
        remaining_seconds = max(closed_seconds, default=0.0) - (now - cached.made_at)
        if not remaining_seconds > 0.0:
            return None
        remaining_seconds = min(remaining_seconds, LONGEST_CLOSED_SECONDS)
        spread_fraction = zlib.crc32(job_id.encode()) / _HASH_COUNT
        return remaining_seconds + spread_fraction * max(remaining_seconds, MIN_SPREAD_SECONDS)
