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

from onyxspoke.core.admission.load_view_builder import AwaitedWork
from onyxspoke.core.admission.retry_schedule import LONGEST_WAIT_SECONDS, RetrySchedule, Slot
from onyxspoke.core.admission.submitted_job import SubmittedJob
from onyxspoke.core.jobs.model import JobId
from onyxspoke.core.tenants.policy import TenantName

#: Refused jobs that are remembered.
MAX_REFUSED_JOBS = 4_096
HASH_BYTES = 8
#: A job that comes back within so long after its second, in seconds, is on time.
GRACE_SECONDS = 2.0
#: Callers count whole seconds from an answer that was under way; so much earlier is on time, too.
EARLY_SECONDS = 0.5
#: They are told whole seconds, and so may come so much later than would do.
ROUNDING_SECONDS = 1.0

JobHash = int


@dataclass(slots=True)
class RefusedJob:
    """A job that was refused.

    Attributes
    ----------
    first_submitted_at : float
        When it was first handed in.
    expires_at : float
        From when on its outcome is of no use.
    refusals : int
        How many times in a row it was refused.
    due_at : float
        When it is to come back.
    slot : Slot or None
        What is kept for it; nothing once it is late.
    """

    first_submitted_at: float
    expires_at: float
    is_entitled: bool
    refusals: int
    due_at: float
    expected_retries: AwaitedWork
    slot: Slot | None

    def is_on_time(self, now: float) -> bool:
        """Return whether a job that comes now comes when it was told to."""
        has_slot = self.slot is not None
        return has_slot and -EARLY_SECONDS <= now - self.due_at <= GRACE_SECONDS


def job_hash(tenant: TenantName, job_id: JobId) -> JobHash:
    """Return the hash by which a job is remembered."""
    digest = blake2b(f"{tenant}/{job_id}".encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def max_useful_retry_seconds(job: SubmittedJob, now: float) -> int:
    """Return for how many whole seconds a refused job may stay away and be of use when it comes."""
    seconds = job.expires_at - now - job.chain_upper_seconds - ROUNDING_SECONDS
    return int(min(max(0.0, seconds), LONGEST_WAIT_SECONDS))


class RefusedJobs:
    """Remembers refused jobs and spreads their returns over time."""

    def __init__(self) -> None:
        self._refused: dict[JobHash, RefusedJob] = {}
        self.retry_schedule = RetrySchedule()

    def __len__(self) -> int:
        """Return how many refused jobs are remembered."""
        return len(self._refused)

    def find(self, key: JobHash) -> RefusedJob | None:
        """Return what is remembered of a job."""
        return self._refused.get(key)

    def refuse(
        self,
        key: JobHash,
        job: SubmittedJob,
        work: float,
        wait_seconds: float,
        most: float,
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
        former = self.forget(key)
        if len(self._refused) >= MAX_REFUSED_JOBS:
            self.forget(next(iter(self._refused)))
        slot = self._keep_slot(job, work, wait_seconds, most, now, is_load_known)
        wait = slot.wait if slot is not None else LONGEST_WAIT_SECONDS
        self._refused[key] = RefusedJob(
            first_submitted_at=job.first_submitted_at,
            expires_at=job.expires_at,
            is_entitled=not job.rank.is_over_share,
            refusals=1 if former is None else former.refusals + 1,
            due_at=now + wait,
            expected_retries=_awaited(job, work, now + wait),
            slot=slot,
        )
        return wait

    def _keep_slot(
        self,
        job: SubmittedJob,
        work: float,
        wait_seconds: float,
        most: float,
        now: float,
        is_load_known: bool,
    ) -> Slot | None:
        """Keep a second in which a job can still be of use, or else the first one after that.

        In between it would be refused once more; after it, its caller may begin anew.
        """
        release_missed = self.retry_schedule.reserve_slot
        slot = release_missed(
            job.service, work, wait_seconds, most, now, max_useful_retry_seconds(job, now)
        )
        if slot is None and not is_load_known:
            wait = max(1, math.ceil(wait_seconds))
            slot = Slot(job.service, wait, int(now + wait), ())
        if slot is None:
            past_use = max(wait_seconds, job.expires_at - now)
            slot = release_missed(job.service, work, past_use, most, now)
        return slot

    def forget(self, key: JobHash) -> RefusedJob | None:
        """Drop what is remembered of a job, as once it was taken; return it."""
        refused = self._refused.pop(key, None)
        if refused is not None and refused.slot is not None:
            self.retry_schedule.give_back(refused.slot)
        return refused

    def expected_retries(self, now: float) -> Iterator[AwaitedWork]:
        """Return the work of the jobs that may yet come back on time, and be of use.

        One that is told a second after its last use may never come, and is new if it does.
        """
        for refused in self._refused.values():
            is_of_use = refused.due_at <= refused.expires_at
            if is_of_use and refused.slot is not None and now <= refused.due_at + GRACE_SECONDS:
                yield refused.expected_retries

    def release_missed(self, now: float) -> None:
        """Give back what was kept for jobs that did not come; forget what is of no more use."""
        for key, refused in list(self._refused.items()):
            if now <= refused.due_at + GRACE_SECONDS:
                continue
            if now > refused.expires_at:
                self.forget(key)
            elif refused.slot is not None:
                self.retry_schedule.give_back(refused.slot)
                refused.slot = None
        self.retry_schedule.forget_before(now)


def _awaited(job: SubmittedJob, work: float, due_at: float) -> AwaitedWork:
    last_start_at = job.expires_at - job.chain_median_seconds
    return AwaitedWork(job.service, job.rank, work, due_at, last_start_at)
