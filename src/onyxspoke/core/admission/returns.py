"""Who was refused, and when each is to come back.

A job is known by a hash of its name.  The first time that it was handed in counts for its place
and its objective when it comes again.  What is remembered is bounded, and a new holder begins
without it; who is forgotten loses a place in the line, nothing else.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b

from onyxspoke.core.admission.hand_in import HandIn
from onyxspoke.core.admission.slots import MAX_WAIT_SECONDS, RetrySlot, ServedSeconds
from onyxspoke.core.admission.view_builder import ExpectedRetry
from onyxspoke.core.jobs.model import JobId
from onyxspoke.core.tenants.policy import TenantName

#: Refused jobs that are remembered.
MAXIMUM_REMEMBERED = 4_096
HASH_BYTES = 8
#: A job that comes back within so long after its second, in seconds, is on time.
LATE_TOLERANCE_SECONDS = 2.0
#: Callers count whole seconds from an answer that was under way; so much earlier is on time, too.
EARLY_TOLERANCE_SECONDS = 0.5
#: They are told whole seconds, and so may come so much later than would do.
ROUNDING_SECONDS = 1.0

JobHash = int


@dataclass(slots=True)
class Refused:
    """A job that was refused.

    Attributes
    ----------
    first_at : float
        When it was first handed in.
    last_use_at : float
        From when on its outcome is of no use.
    refusals : int
        How many times in a row it was refused.
    retry_at : float
        When it is to come back.
    slot : Slot or None
        What is kept for it; nothing once it is late.
    """

    first_at: float
    last_use_at: float
    is_owed: bool
    refusals: int
    retry_at: float
    expected_retry: ExpectedRetry
    slot: RetrySlot | None

    def is_on_time(self, now: float) -> bool:
        """Return whether a job that comes now comes when it was told to."""
        has_slot = self.slot is not None
        return (
            has_slot and -EARLY_TOLERANCE_SECONDS <= now - self.retry_at <= LATE_TOLERANCE_SECONDS
        )


def hash_of(tenant: TenantName, job_id: JobId) -> JobHash:
    """Return the hash by which a job is remembered."""
    digest = blake2b(f"{tenant}/{job_id}".encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def longest_wait(job: HandIn, now: float) -> int:
    """Return for how many whole seconds a refused job may stay away and be of use when it comes."""
    seconds = job.last_use_at - now - job.chain_upper_seconds - ROUNDING_SECONDS
    return int(min(max(0.0, seconds), MAX_WAIT_SECONDS))


class Returns:
    """Remembers refused jobs and spreads their returns over time."""

    def __init__(self) -> None:
        self._refused: dict[JobHash, Refused] = {}
        self.seconds = ServedSeconds()

    def __len__(self) -> int:
        """Return how many refused jobs are remembered."""
        return len(self._refused)

    def find(self, key: JobHash) -> Refused | None:
        """Return what is remembered of a job."""
        return self._refused.get(key)

    def refuse(
        self,
        key: JobHash,
        job: HandIn,
        work: float,
        wait_seconds: float,
        max_reserved_work: float,
        now: float,
        *,
        is_load_known: bool = True,
    ) -> int:
        """Remember a refused job; return after how many whole seconds it is to come back.

        Parameters
        ----------
        work : float
            Of the job, in share-seconds of its service.
        wait_seconds : float
            How long it waits at least.
        most : float
            Of each second, what may be kept for jobs like it, in share-seconds.
        is_load_known : bool
            Otherwise it is never told a second after its use for want of one with work left.
        """
        previous = self.forget(key)
        if len(self._refused) >= MAXIMUM_REMEMBERED:
            self.forget(next(iter(self._refused)))
        slot = self._reserve_slot(job, work, wait_seconds, max_reserved_work, now, is_load_known)
        retry_seconds = slot.retry_seconds if slot is not None else MAX_WAIT_SECONDS
        self._refused[key] = Refused(
            first_at=job.first_at,
            last_use_at=job.last_use_at,
            is_owed=not job.rank.is_beyond_share,
            refusals=1 if previous is None else previous.refusals + 1,
            retry_at=now + retry_seconds,
            expected_retry=_expected_retry(job, work, now + retry_seconds),
            slot=slot,
        )
        return retry_seconds

    def _reserve_slot(
        self,
        job: HandIn,
        work: float,
        wait_seconds: float,
        max_reserved_work: float,
        now: float,
        is_load_known: bool,
    ) -> RetrySlot | None:
        """Keep a second in which a job can still be of use, or else the first one after that.

        In between it would be refused once more; after it, its caller may begin anew.
        """
        reserve = self.seconds.keep_slot
        slot = reserve(
            job.service, work, wait_seconds, max_reserved_work, now, longest_wait(job, now)
        )
        if slot is None and not is_load_known:
            retry_seconds = max(1, math.ceil(wait_seconds))
            slot = RetrySlot(job.service, retry_seconds, int(now + retry_seconds), ())
        if slot is None:
            after_expiry_seconds = max(wait_seconds, job.last_use_at - now)
            slot = reserve(job.service, work, after_expiry_seconds, max_reserved_work, now)
        return slot

    def forget(self, key: JobHash) -> Refused | None:
        """Drop what is remembered of a job, as once it was taken; return it."""
        refused = self._refused.pop(key, None)
        if refused is not None and refused.slot is not None:
            self.seconds.release(refused.slot)
        return refused

    def awaited(self, now: float) -> Iterator[ExpectedRetry]:
        """Return the work of the jobs that may yet come back on time, and be of use.

        One that is told a second after its last use may never come, and is new if it does.
        """
        for refused in self._refused.values():
            is_of_use = refused.retry_at <= refused.last_use_at
            if (
                is_of_use
                and refused.slot is not None
                and now <= refused.retry_at + LATE_TOLERANCE_SECONDS
            ):
                yield refused.expected_retry

    def keep(self, now: float) -> None:
        """Give back what was kept for jobs that did not come; forget what is of no more use."""
        for key, refused in list(self._refused.items()):
            if now <= refused.retry_at + LATE_TOLERANCE_SECONDS:
                continue
            if now > refused.last_use_at:
                self.forget(key)
            elif refused.slot is not None:
                self.seconds.release(refused.slot)
                refused.slot = None
        self.seconds.forget_before(now)


def _expected_retry(job: HandIn, work: float, retry_at: float) -> ExpectedRetry:
    latest_start_at = job.last_use_at - job.chain_median_seconds
    return ExpectedRetry(job.service, job.rank, work, retry_at, latest_start_at)
