"""Workers as a shard's holder knows them: listing, contact, lease and room."""

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

#: Ends remembered of each worker.
REMEMBERED_ENDS = 400
#: Births remembered of the former lives of a name: entries of the directory lag by seconds, in
#: which no worker starts more often.
MAX_PREVIOUS_STARTS = 8


class WorkerContact(Enum):
    """What the holder knows of what a worker runs.

    ``UNRECONCILED``: it may run anything.  ``RECONCILED``: it has answered under this holder's
    token, and every run on it is known.  ``UNRESPONSIVE``: settled before, but it does not answer.
    ``ENDED``: its life is over, and so is everything it ran.
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


@dataclass(slots=True)
class HoldInFlight:
    """A hold that is not answered yet; ``sent_at`` is 0 where there is none."""

    sent_at: float = 0.0
    number: int = 0
    wait_seconds: float = 0.0


class Worker:
    """One life of a worker.

    Attributes
    ----------
    born_ms : int
        What tells the life from others of that name; 0 until the worker has said it.
    previous_starts_ms : tuple of int
        Of lives of that name that are over, the latest last; what tells of them is out of date.
    missing_entry_grace_until : float
        Its entry went while the store was away, and may come back until then; 0 otherwise.
    earliest_exit_at : float
        The holder's second until which a draining worker stays at least.
    runs : dict of RunKey to Run
        Everything that may run there, each holding room.
    health : WorkerHealth
        What its runs tell of it; one on trial gets one run at a time.
    speed : WorkerSpeed
        How long it takes for its work, compared with others.
    orphan_runs : dict of RunKey to float
        Runs there that stand for no task of the shard, and when their stop was sent; they
        take room that is not known, so nothing is started beside them.
    unresolved_starts : dict of RunKey to float
        Starts ordered to the former life that may yet be carried out here, and when their stop was
        last sent; nothing is started beside them.
    processed_through : int
        Ends up to this number were taken in; each is told to the worker once committed.
    acknowledged_through : int
        Ends up to this number are committed, so that the worker may forget them.
    previous_lease_expires_at : float
        The holder's second by which any lease that a former holder granted is over.
    is_recorded : bool
        The store names it as a worker that may run something for the shard.
    was_used_by_previous_holder : bool
        A former holder may have started runs there.
    lease_until_ms : int
        Worker's clock until which this holder may have let things run.
    unanswered_order_at : float
        When an order was not answered, until a later look is; 0 otherwise.
    retry_at : float
        Not offered before this second, after a refusal.
    gained_at : int
        Change number of the table when the worker last gained room or came into use.
    listed_clock_ms : int
        Worker's clock of the latest list of runs that was taken in.
    ended_runs : dict of RunKey to RunEnd
        Runs that are over, so that an older answer does not bring them back.
    missed_holds : int
        Holds in a row without an answer.
    last_answer_at : float
        When it last answered anything.
    was_refused : bool
        Since then a look at it ended well before its time: its process was not there.
    was_unanswered : bool
        Since then a look at it ended with its time: it, or its answer, was lost.
    first_answer_at : float
        When it first did; infinity before.
    last_contact_listing : WorkerListing
        What the directory said of it then; of one never heard, what its record says.
    isolated_until : float
        Nothing more is started there before this second, so that a task that may have crashed
        workers begins apart from others.
    """

    def __init__(self, record: WorkerRecord, previous_lease_expires_at: float) -> None:
        #: The life's name.
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
        #: What the runs that hold room there hold together.
        self._held_processors = 0
        self._held_memory = 0
        self._held_accelerators = 0
        self.processed_through = 0
        self.acknowledged_through = 0
        self.is_recorded = False
        self.was_used_by_previous_holder = False
        self.previous_lease_expires_at = previous_lease_expires_at
        self.lease_until_ms = 0
        self.retry_at = 0.0
        self.unanswered_order_at = 0.0
        self.hold_answered_at = 0.0
        self.last_answer_at = 0.0
        self.was_refused = False
        self.was_unanswered = False
        self.first_answer_at = math.inf
        self.last_contact_listing = record.listing
        self.isolated_until = 0.0
        self.listed_clock_ms = 0
        self.gained_at = 0
        self.was_offered = False
        self.ended_runs: dict[RunKey, RunEnd] = {}
        self.long_hold = HoldInFlight()
        self.immediate_hold = HoldInFlight()
        self.next_hold_at = 0.0
        self.poll_requested = False
        self.missed_holds = 0
        self.unresponsive_since = 0.0

    def move_to(self, contact: WorkerContact) -> None:
        """Change what is known of the worker."""
        if contact is not self.contact:
            assert contact in CONTACT_TRANSITIONS[self.contact]
            self.contact = contact

    @property
    def is_record_current(self) -> bool:
        """Whether the record is of this life; the next one may have another kind and other room."""
        return self.record.born_ms in (0, self.born_ms)

    def is_offered(self, now: float) -> bool:
        """Return whether runs may be started there."""
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

    # Free room is derived from the capacity in force, which may shrink and grow while runs hold
    # room, and so may be below zero: then nothing new starts there, and nothing is stopped for it.

    @property
    def free_processors(self) -> int:
        """Processors that no run holds, in thousandths."""
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
        """Whether its runs hold more than there is."""
        return self.free_processors < 0 or self.free_memory < 0 or self.free_accelerators < 0

    def fits(self, needs: ResourceVector) -> bool:
        """Return whether there is room."""
        return (
            needs.processors_milli <= self.free_processors
            and needs.memory_mb <= self.free_memory
            and needs.accelerators <= self.free_accelerators
        )

    def add(self, run: Run) -> None:
        """Reserve room for a run."""
        self.runs[run.key] = run
        self._held_processors += run.needs.processors_milli
        self._held_memory += run.needs.memory_mb
        self._held_accelerators += run.needs.accelerators

    def remove(self, run: Run) -> None:
        """Free the room of a run that has ended."""
        if self.runs.pop(run.key, None) is None:
            return
        self._held_processors -= run.needs.processors_milli
        self._held_memory -= run.needs.memory_mb
        self._held_accelerators -= run.needs.accelerators

    def needs_pacing(self) -> bool:
        """Return whether something fills here beside something that serves."""
        fills = serves = False
        for run in self.runs.values():
            spec = run.task.step.spec
            fills = fills or spec.fills
            serves = serves or spec.target_ms > 0
        return fills and (serves or self.pace.percent < FULL_PERCENT)

    def worst_latency_ratio(self) -> float:
        """Return the worst tail of a serving task here, as a share of its target."""
        worst = 0.0
        for run in self.runs.values():
            target = run.task.step.spec.target_ms
            if target > 0 and run.state is RunState.RUNNING:
                worst = max(worst, run.usage / target)
        return worst

    def filler_runs(self) -> list[Run]:
        """Return the runs here that fill what the others leave."""
        return [
            run
            for run in self.runs.values()
            if run.task.step.spec.fills and run.state is RunState.RUNNING
        ]

    def note_ended(self, key: RunKey, end: RunEnd) -> None:
        """Remember a run that is over, so that an older answer does not bring it back."""
        self.ended_runs[key] = end
        if len(self.ended_runs) > REMEMBERED_ENDS:
            del self.ended_runs[next(iter(self.ended_runs))]

    def note_answer(self, now: float) -> None:
        """It answered: its process was there."""
        self.last_answer_at = now
        self.was_refused = False
        self.was_unanswered = False
        self.first_answer_at = min(self.first_answer_at, now)
        self.last_contact_listing = self.listing

    def note_failed_poll(self, ended_early: bool) -> None:
        """A look had no answer; one that ends early was refused, or its connection was reset."""
        if ended_early:
            self.was_refused = True
        else:
            self.was_unanswered = True

    def extend_lease(self, until_ms: int) -> None:
        """Take into account that everything there may now run until a reading."""
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def lease_over_at(self) -> float:
        """Return the holder's second after which nothing of before can still run there."""
        if self.contact is WorkerContact.UNRECONCILED or not self.clock.is_known:
            return self.previous_lease_expires_at
        return self.clock.moment_past(self.lease_until_ms)
