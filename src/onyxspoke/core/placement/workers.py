"""Workers as the holder of a shard knows them: listing, contact, lease and capacity."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from onyxspoke.core.estimates.speeds import WorkerSpeed
from onyxspoke.core.jobs.model import ResourceVector, RunKey
from onyxspoke.core.jobs.states import RunEnd, RunState
from onyxspoke.core.placement.health import WorkerHealth
from onyxspoke.core.placement.pacing import FULL_PERCENT, WorkerPace
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_clock import WorkerClock
from onyxspoke.core.placement.worker_record import WorkerListing, WorkerRecord

#: The largest number of ended runs remembered for each worker.
MAX_ENDED_RUNS = 400
#: A lease that a worker has granted ends at most this long before the time that was asked for: the
#: worker cuts it down to the longest lease, and its clock may be behind the holder's estimate.
GRANTED_LEASE_MARGIN_MS = 250
#: The largest number of start times remembered for the previous incarnations of a worker name.  An
#: entry of the directory may be out of date by seconds; in that time no worker restarts more often
#: than this.
MAX_PREVIOUS_STARTS = 8

_MILLISECONDS = 1_000.0


class WorkerContact(Enum):
    """What the holder knows about the runs on a worker.

    ``UNRECONCILED``: the worker may run anything.  ``RECONCILED``: the worker has answered under
    this holder's token, and every run on it is known.  ``UNRESPONSIVE``: its runs were known, but
    it no longer answers.  ``ENDED``: the incarnation has ended, and all its runs with it.
    """

    UNRECONCILED = "unsettled"
    RECONCILED = "settled"
    UNRESPONSIVE = "silent"
    ENDED = "over"


CONTACT_TRANSITIONS: dict[WorkerContact, frozenset[WorkerContact]] = {
    WorkerContact.UNRECONCILED: frozenset({WorkerContact.RECONCILED, WorkerContact.ENDED}),
    WorkerContact.RECONCILED: frozenset({WorkerContact.UNRESPONSIVE, WorkerContact.ENDED}),
    WorkerContact.UNRESPONSIVE: frozenset({WorkerContact.RECONCILED, WorkerContact.ENDED}),
    WorkerContact.ENDED: frozenset({WorkerContact.RECONCILED}),
}


class LeaseVerdict(Enum):
    """Whether a worker's lease lapsed between its last list of runs and the present one.

    ``KEPT``: certainly not.  ``LAPSED``: its clock has passed every lease that was granted.
    ``UNKNOWN``: it may have.
    """

    KEPT = "kept"
    LAPSED = "lapsed"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class HoldInFlight:
    """A hold request that is not answered yet; ``sent_at`` is 0 if there is none.

    ``until_ms`` is the end of the lease that it asks for, 0 if it does not extend the lease.
    """

    sent_at: float = 0.0
    number: int = 0
    wait_seconds: float = 0.0
    until_ms: int = 0


class Worker:
    """One incarnation of a worker.

    Attributes
    ----------
    born_ms : int
        The start time, in milliseconds, which distinguishes this incarnation from others of the
        same name; 0 until the worker has reported it.
    previous_starts_ms : tuple of int
        The start times of ended incarnations of this name, the latest last; directory entries with
        one of them are out of date.
    missing_entry_grace_until : float
        Time until which a directory entry that vanished while the store was unreachable may come
        back; 0 if the entry did not vanish.
    earliest_exit_at : float
        The earliest time, in the holder's seconds, at which a draining worker stops.
    runs : dict of RunKey to Run
        Every run that may be active on the worker; each holds capacity.
    health : WorkerHealth
        The health derived from the worker's runs; a worker on trial gets one run at a time.
    speed : WorkerSpeed
        How long the worker takes for the same work, compared with other workers.
    orphan_runs : dict of RunKey to float
        Runs on the worker that belong to no task of the shard, with the time when their stop was
        sent.  They use an unknown amount of capacity, so no other run is started beside them.
    unresolved_starts : dict of RunKey to float
        Starts ordered from a previous incarnation that this one may still carry out, with the time
        when their stop was last sent.  No other run is started beside them.
    processed_through : int
        The number of the last end report that was processed; it is acknowledged to the worker once
        it is committed.
    acknowledged_through : int
        The number of the last end report that is committed, so that the worker may forget all
        reports up to it.
    previous_lease_expires_at : float
        The holder's time by which every lease that a previous holder granted has expired.
    is_recorded : bool
        Whether the store records that this worker may run something for the shard.
    was_used_by_previous_holder : bool
        Whether a previous holder may have started runs on the worker.
    lease_until_ms : int
        The reading of the worker's clock, in milliseconds, until which this holder may have allowed
        runs to continue.
    kept_lease_until_ms : int
        The reading of the worker's clock up to which its lease has certainly not lapsed since its
        latest list of runs; 0 if that is not known.
    unanswered_order_at : float
        When a start order was left without an answer; 0 once a later poll is answered.
    retry_at : float
        No run is started on the worker before this time, after it refused a start.
    gained_at_change : int
        The table's change number when the worker last gained capacity or became available.
    listed_clock_ms : int
        The worker's clock, in milliseconds, in the latest list of runs that was processed.
    ended_runs : dict of RunKey to RunEnd
        Runs that have ended, so that an older answer does not bring them back.
    missed_holds : int
        The number of consecutive hold requests without an answer.
    hold_answered_at : float
        When the worker last answered a hold request.
    last_answer_at : float
        When the worker last answered any request.
    poll_was_refused : bool
        Whether a poll since that answer failed well before its time limit, which shows that the
        worker's process was not there.
    poll_timed_out : bool
        Whether a poll since that answer reached its time limit, so that the request or its answer
        was lost.
    first_answer_at : float
        When the worker first answered; infinity before.
    listing_at_last_answer : WorkerListing
        How the directory listed the worker when it last answered; before its first answer, the
        listing in its record.
    isolated_until : float
        No other run is started on the worker before this time, so that a task that may have crashed
        workers starts apart from other tasks.
    """

    def __init__(self, record: WorkerRecord, previous_lease_expires_at: float) -> None:
        #: The name of the worker, which other incarnations may share.
        self.worker_id = record.worker_id
        self.born_ms = record.born_ms
        self.previous_starts_ms: tuple[int, ...] = ()
        self.record = record
        self.contact = WorkerContact.UNRECONCILED
        self.listing = record.listing
        self.missing_entry_grace_until = 0.0
        self.earliest_exit_at = 0.0
        self.clock = WorkerClock()
        self.runs: dict[RunKey, Run] = {}
        self.health = WorkerHealth()
        self.pace = WorkerPace()
        self.speed = WorkerSpeed(record.worker_id, record.born_ms, record.kind)
        self.orphan_runs: dict[RunKey, float] = {}
        self.unresolved_starts: dict[RunKey, float] = {}
        #: The capacity that all runs on the worker hold together.
        self._held_processors = 0
        self._held_memory = 0
        self._held_accelerators = 0
        #: How many of the runs are fillers, and how many serve users.
        self._filler_count = 0
        self._serving_count = 0
        self.processed_through = 0
        self.acknowledged_through = 0
        self.is_recorded = False
        self.was_used_by_previous_holder = False
        self.previous_lease_expires_at = previous_lease_expires_at
        self.lease_until_ms = 0
        self.kept_lease_until_ms = 0
        self.retry_at = 0.0
        self.unanswered_order_at = 0.0
        self.hold_answered_at = 0.0
        self.last_answer_at = 0.0
        self.poll_was_refused = False
        self.poll_timed_out = False
        self.first_answer_at = math.inf
        self.listing_at_last_answer = record.listing
        self.isolated_until = 0.0
        self.listed_clock_ms = 0
        self.gained_at_change = 0
        self.was_offered = False
        self.ended_runs: dict[RunKey, RunEnd] = {}
        self.long_hold = HoldInFlight()
        self.immediate_hold = HoldInFlight()
        self.next_hold_at = 0.0
        self.poll_requested = False
        self.missed_holds = 0
        self.unresponsive_since = 0.0

    def move_to(self, contact: WorkerContact) -> None:
        """Change the contact state; the transition must be a permitted one."""
        if contact is not self.contact:
            assert contact in CONTACT_TRANSITIONS[self.contact]
            self.contact = contact

    @property
    def is_record_current(self) -> bool:
        """Whether the record describes this incarnation; others may differ in kind and capacity."""
        return self.record.born_ms in (0, self.born_ms)

    def is_offered(self, now: float) -> bool:
        """Return whether runs may be started on the worker."""
        return (
            self.contact is WorkerContact.RECONCILED
            and self.listing is WorkerListing.READY
            and self.is_record_current
            and self.is_recorded
            and not self.orphan_runs
            and not self.unresolved_starts
            and not self.unanswered_order_at
            and now >= self.retry_at
            and now >= self.isolated_until
            and not self.health.is_avoided(now)
            and not (self.runs and self.health.is_on_trial(now))
        )

    # Free capacity is the worker's current capacity less what its runs hold.  The capacity may
    # shrink while runs hold it, so free capacity may be negative: then no run is started on the
    # worker, and no run is stopped.

    @property
    def free_processors(self) -> int:
        """Processors that no run holds, in thousandths of a processor."""
        return self.record.capacity.processors_milli - self._held_processors

    @property
    def free_memory(self) -> int:
        """Memory that no run holds, in MiB."""
        return self.record.capacity.memory_mb - self._held_memory

    @property
    def free_accelerators(self) -> int:
        """Accelerators that no run holds."""
        return self.record.capacity.accelerators - self._held_accelerators

    @property
    def is_over_capacity(self) -> bool:
        """Whether the runs hold more of some resource than the worker has."""
        return self.free_processors < 0 or self.free_memory < 0 or self.free_accelerators < 0

    def fits(self, needs: ResourceVector) -> bool:
        """Return whether the worker has free capacity for one more task."""
        return (
            needs.processors_milli <= self.free_processors
            and needs.memory_mb <= self.free_memory
            and needs.accelerators <= self.free_accelerators
        )

    def add(self, run: Run) -> None:
        """Add a run, which holds its capacity from now on."""
        self.runs[run.key] = run
        self._count(run, 1)
        self._held_processors += run.needs.processors_milli
        self._held_memory += run.needs.memory_mb
        self._held_accelerators += run.needs.accelerators

    def remove(self, run: Run) -> None:
        """Remove a run that has ended, and free its capacity."""
        if self.runs.pop(run.key, None) is None:
            return
        self._count(run, -1)
        self._held_processors -= run.needs.processors_milli
        self._held_memory -= run.needs.memory_mb
        self._held_accelerators -= run.needs.accelerators

    def needs_pacing(self) -> bool:
        """Return whether filler runs run beside a serving run, or at less than full speed."""
        is_slowed = self._serving_count > 0 or self.pace.percent < FULL_PERCENT
        return self._filler_count > 0 and is_slowed

    def _count(self, run: Run, change: int) -> None:
        spec = run.task.step.spec
        self._filler_count += change * spec.fills
        self._serving_count += change * (spec.target_ms > 0)

    def worst_latency_ratio(self) -> float:
        """Return the highest ratio of a serving run's tail latency to its target."""
        worst_ratio = 0.0
        for run in self.runs.values():
            target_ms = run.task.step.spec.target_ms
            if target_ms > 0 and run.state is RunState.RUNNING:
                worst_ratio = max(worst_ratio, run.usage / target_ms)
        return worst_ratio

    def filler_runs(self) -> list[Run]:
        """Return the running filler runs, which use capacity that other runs leave unused."""
        return [
            run
            for run in self.runs.values()
            if run.task.step.spec.fills and run.state is RunState.RUNNING
        ]

    def note_ended(self, key: RunKey, end: RunEnd) -> None:
        """Remember a run that has ended, so that an older answer does not bring it back."""
        self.ended_runs[key] = end
        if len(self.ended_runs) > MAX_ENDED_RUNS:
            del self.ended_runs[next(iter(self.ended_runs))]

    def note_answer(self, now: float) -> None:
        """Record that the worker answered, which shows that its process is there."""
        self.last_answer_at = now
        self.poll_was_refused = False
        self.poll_timed_out = False
        self.first_answer_at = min(self.first_answer_at, now)
        self.listing_at_last_answer = self.listing

    def note_failed_poll(self, ended_early: bool) -> None:
        """Record a poll without an answer; if it ended early, it was refused or reset."""
        if ended_early:
            self.poll_was_refused = True
        else:
            self.poll_timed_out = True

    def extend_lease(self, until_ms: int) -> None:
        """Record that the worker's runs may now continue until a reading of its clock."""
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def note_granted_lease(self, until_ms: int) -> None:
        """Record that the worker has answered a hold that asked for a lease."""
        if until_ms:
            granted_ms = until_ms - GRANTED_LEASE_MARGIN_MS
            self.kept_lease_until_ms = max(self.kept_lease_until_ms, granted_ms)

    def lease_verdict(self, clock_ms: int, age_seconds: float) -> LeaseVerdict:
        """Return whether the lease lapsed between the latest list of runs and now.

        Parameters
        ----------
        clock_ms : int
            The reading of the clock in a new list.
        age_seconds : float
            For how long the new list may have been on its way.
        """
        if clock_ms + age_seconds * _MILLISECONDS <= self.kept_lease_until_ms:
            return LeaseVerdict.KEPT
        is_bound_known = self.contact is not WorkerContact.UNRECONCILED and self.lease_until_ms > 0
        if is_bound_known and clock_ms > self.lease_until_ms:
            return LeaseVerdict.LAPSED
        return LeaseVerdict.UNKNOWN

    def lease_over_at(self) -> float:
        """Return the holder's time by which every lease granted so far has expired."""
        if self.contact is WorkerContact.UNRECONCILED or not self.clock.is_known:
            return self.previous_lease_expires_at
        return self.clock.passes_at(self.lease_until_ms)
