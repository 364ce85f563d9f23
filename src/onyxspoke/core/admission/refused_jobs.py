"""Refused jobs, and the times at which they are to be retried.

A job is identified by a hash of its tenant and identifier.  On a retry, the time of the first
submission determines its rank and its objective.  The number of remembered jobs is bounded, and a
new holder starts with none; a forgotten job loses its rank, and nothing else.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b

from onyxspoke.core.admission.arrivals import rank_class_of
from onyxspoke.core.admission.load_view_builder import ExpectedRetry
from onyxspoke.core.admission.retry_schedule import MAX_WAIT_SECONDS, RetrySchedule, RetrySlot
from onyxspoke.core.admission.submitted_job import SubmittedJob
from onyxspoke.core.jobs.model import JobId
from onyxspoke.core.tenants.policy import TenantName

#: Maximum number of refused jobs that are remembered.
MAX_REFUSED_JOBS = 4_096
HASH_BYTES = 8
#: A retry that comes at most this late, in seconds, is timely.
LATE_TOLERANCE_SECONDS = 2.0
#: A retry that comes at most this early, in seconds, is timely; covers the reply's time in transit.
EARLY_TOLERANCE_SECONDS = 0.5
#: Retry times are rounded up to whole seconds, which delays a retry by up to this many seconds.
ROUNDING_SECONDS = 1.0

JobHash = int


@dataclass(slots=True)
class RefusedJob:
    """A job that was refused.

    Attributes
    ----------
    first_submitted_at : float
        Time of the first submission.
    expires_at : float
        Time at which the job expires.
    is_entitled : bool
        The job is within its tenant's fair share.
    refusals : int
        Number of consecutive refusals.
    retry_at : float
        Time at which the caller should retry.
    expected_retry : ExpectedRetry
        Work that the retry would bring.
    slot : RetrySlot or None
        Reservation for the retry; None if none could be made, or once the retry is overdue.
    """

    first_submitted_at: float
    expires_at: float
    is_entitled: bool
    refusals: int
    retry_at: float
    expected_retry: ExpectedRetry
    slot: RetrySlot | None

    def is_on_time(self, now: float) -> bool:
        """Return whether a retry at this time is timely, neither early nor late."""
        has_slot = self.slot is not None
        return (
            has_slot and -EARLY_TOLERANCE_SECONDS <= now - self.retry_at <= LATE_TOLERANCE_SECONDS
        )


def job_hash(tenant: TenantName, job_id: JobId) -> JobHash:
    """Return the hash that identifies a job."""
    digest = blake2b(f"{tenant}/{job_id}".encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def max_useful_retry_seconds(job: SubmittedJob, now: float) -> int:
    """Return the maximum retry time, in whole seconds, with which a job still finishes in time."""
    seconds = job.expires_at - now - job.chain_upper_seconds - ROUNDING_SECONDS
    return int(min(max(0.0, seconds), MAX_WAIT_SECONDS))


class RefusedJobs:
    """Remembers refused jobs, and spreads their retries over time."""

    def __init__(self) -> None:
        self._jobs: dict[JobHash, RefusedJob] = {}
        self.retry_schedule = RetrySchedule()

    def __len__(self) -> int:
        """Return the number of remembered jobs."""
        return len(self._jobs)

    def find(self, key: JobHash) -> RefusedJob | None:
        """Return the record of a refused job, or None if there is none."""
        return self._jobs.get(key)

    def refuse(
        self,
        key: JobHash,
        job: SubmittedJob,
        work: float,
        wait_seconds: float,
        max_reserved_work: float,
        now: float,
        *,
        is_load_known: bool = True,
    ) -> int:
        """Record a refused job, and return the retry time in whole seconds.

        Parameters
        ----------
        work : float
            Work of the job, in share-seconds of its service.
        wait_seconds : float
            Minimum retry time.
        max_reserved_work : float
            Work that may be reserved in each second for jobs of this urgency, in share-seconds.
        is_load_known : bool
            If false, and no second before the job expires has work left, the retry time is
            ``wait_seconds`` without a reservation, rather than a time after the job has expired.
        """
        previous = self.forget(key)
        if len(self._jobs) >= MAX_REFUSED_JOBS:
            self.forget(next(iter(self._jobs)))
        slot = self._reserve_slot(job, work, wait_seconds, max_reserved_work, now, is_load_known)
        retry_seconds = slot.retry_seconds if slot is not None else MAX_WAIT_SECONDS
        self._jobs[key] = RefusedJob(
            first_submitted_at=job.first_submitted_at,
            expires_at=job.expires_at,
            is_entitled=not job.rank.is_over_share,
            refusals=1 if previous is None else previous.refusals + 1,
            retry_at=now + retry_seconds,
            expected_retry=_expected_retry(job, work, now + retry_seconds),
            slot=slot,
        )
        return retry_seconds

    def _reserve_slot(
        self,
        job: SubmittedJob,
        work: float,
        wait_seconds: float,
        max_reserved_work: float,
        now: float,
        is_load_known: bool,
    ) -> RetrySlot | None:
        """Reserve work for a retry from which the job can still finish before it expires.

        If there is none, reserve work after the job has expired, when it counts as new.  A retry
        in between would be refused again.
        """
        reserve = partial(
            self.retry_schedule.reserve_slot,
            service=job.service,
            work=work,
            max_reserved_work=max_reserved_work,
            now=now,
            rank_class=rank_class_of(job.rank),
        )
        slot = reserve(
            wait_seconds=wait_seconds, max_wait_seconds=max_useful_retry_seconds(job, now)
        )
        if slot is None and not is_load_known:
            retry_seconds = max(1, math.ceil(wait_seconds))
            slot = RetrySlot(job.service, retry_seconds, int(now + retry_seconds), ())
        if slot is None:
            after_expiry_seconds = max(wait_seconds, job.expires_at - now)
            slot = reserve(wait_seconds=after_expiry_seconds)
        return slot

    def forget(self, key: JobHash) -> RefusedJob | None:
        """Remove and return the record of a job, for instance when the job is admitted."""
        refused = self._jobs.pop(key, None)
        if refused is not None and refused.slot is not None:
            self.retry_schedule.release(refused.slot)
        return refused

    def expected_retries(self, now: float) -> Iterator[ExpectedRetry]:
        """Yield the work of refused jobs whose retry is still expected before they expire.

        A job whose retry time is after its expiry may never be retried; if it is, it counts as new.
        """
        for refused in self._jobs.values():
            is_before_expiry = refused.retry_at <= refused.expires_at
            if (
                is_before_expiry
                and refused.slot is not None
                and now <= refused.retry_at + LATE_TOLERANCE_SECONDS
            ):
                yield refused.expected_retry

    def release_missed(self, now: float) -> None:
        """Release the reservations of overdue retries, and forget overdue jobs that expired."""
        for key, refused in list(self._jobs.items()):
            if now <= refused.retry_at + LATE_TOLERANCE_SECONDS:
                continue
            if now > refused.expires_at:
                self.forget(key)
            elif refused.slot is not None:
                self.retry_schedule.release(refused.slot)
                refused.slot = None
        self.retry_schedule.forget_before(now)


def _expected_retry(job: SubmittedJob, work: float, retry_at: float) -> ExpectedRetry:
    latest_start_at = job.expires_at - job.chain_median_seconds
    return ExpectedRetry(job.service, job.rank, work, retry_at, latest_start_at)
