"""What an entry knows of the queues that are closed, by what the shards' holders told it.

It serves calls that reach no holder and were sent to none: refused early where the holder's last
word is fresh enough, and with a better second to come back.  Whoever reaches the holder asks it.
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

#: No caller is told by a summary to stay away for longer.
LONGEST_CLOSED_SECONDS = 30.0
#: Callers are told whole seconds, so that less than this spreads nobody.
MIN_SPREAD_SECONDS = 1.0
_HASH_COUNT = 1 << 32


class ClosedQueue(NamedTuple):
    """A queue that is closed for some tenants, or all, for so much longer; told so long ago."""

    queue: str
    tenants: tuple[TenantName, ...]
    seconds: float
    age_seconds: float


@dataclass(slots=True)
class _CachedSummary:
    """The newest summary of a shard, and when it was made by our clock."""

    summary: AdmissionSummary
    made_at: float


class AdmissionBoard:
    """The newest summary of each shard.

    Parameters
    ----------
    trust_seconds : float
        An older summary refuses nothing.
    """

    def __init__(self, trust_seconds: float) -> None:
        self._max_age_seconds = trust_seconds
        self._cached: dict[ShardId, _CachedSummary] = {}
        #: The highest token of a holder of each shard that is known.
        self._newest_tokens: dict[ShardId, int] = {}

    def note_holder(self, shard: ShardId, token: int) -> None:
        """Take note of a holder: what the holders before it told counts no more."""
        if token <= self._newest_tokens.get(shard, -1):
            return
        self._newest_tokens[shard] = token
        cached = self._cached.get(shard)
        if cached is not None and cached.summary.token < token:
            del self._cached[shard]

    def take(self, shard: ShardId, summary: AdmissionSummary, now: float) -> None:
        """Take a summary in, unless it is a former holder's or older than the one that is known."""
        age_seconds = summary.age_seconds
        if summary.token < self._newest_tokens.get(shard, -1) or not 0.0 <= age_seconds < math.inf:
            return
        self.note_holder(shard, summary.token)
        made_at = now - age_seconds
        previous = self._cached.get(shard)
        if previous is None or made_at >= previous.made_at:
            self._cached[shard] = _CachedSummary(summary, made_at)

    def decide(
        self, shard: ShardId, queue: str, tenant: TenantName, job_id: JobId, now: float
    ) -> float | None:
        """Return after how many seconds a job's caller is to come back; None if it is not refused.

        Only for a job that was sent to no holder.
        """
        cached = self._cached.get(shard)
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
        """Return after how many seconds the caller of a job that is refused anyway is to come back.

        Also an old summary tells until when its queue would be closed.
        """
        cached = self._cached.get(shard)
        seconds = (
            None
            if cached is None
            else self._spread_retry_seconds(cached, queue, tenant, job_id, now)
        )
        return default if seconds is None else max(default, seconds)

    def closed_queues(self, shard: ShardId, now: float) -> list[ClosedQueue]:
        """Return the queues of a shard that are closed by its holder's word, however old."""
        cached = self._cached.get(shard)
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
        """Return how old the summary of a shard is, if there is one."""
        cached = self._cached.get(shard)
        return None if cached is None else now - cached.made_at

    def _spread_retry_seconds(
        self, cached: _CachedSummary, queue: str, tenant: TenantName, job_id: JobId, now: float
    ) -> float | None:
        """Return the rest of the closed time and a part of as much again, by the job's hash.

        Entries that go by one summary would otherwise all name the same second.
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
