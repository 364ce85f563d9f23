"""Decides whether a step requests advice now, or waits until capacity is about to become free.

A ticket is useful only if capacity becomes free before the ticket expires.  Without deferral, every
step that is submitted to a full cell would request advice at once, and again when its turn comes.
So the needs of the steps before it are compared with the capacity that is free or expected to
become free.  A step requests advice early enough to have it when the capacity becomes free.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from itertools import accumulate

from onyxspoke.core.jobs.model import AdvicePolicy, QueuePolicy
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.forecast import expected_end
from onyxspoke.core.placement.queue_order import StepRank
from onyxspoke.core.placement.worker_table import WorkerTable

#: Interval, in seconds, at which the free and the expected capacity are computed again.
CAPACITY_REFRESH_SECONDS = 0.2
#: The interval is at least this many seconds times the number of runs, because computing the
#: expected capacity takes longer the more runs there are.
CAPACITY_REFRESH_SECONDS_PER_RUN = 0.0001
#: If at least this share of a service's processors is free, capacity is not what its waiting steps
#: lack, and all of them may request advice.
UNCONTENDED_SHARE = 0.1
#: An entitled step requests advice while the steps before it need less than this multiple of the
#: expected capacity.  Estimates may be too high, and some of those steps cannot use the capacity.
ENTITLED_CAPACITY_FACTOR = 1.5
#: A step that has been ready for this many seconds requests advice if one of its tasks may fit,
#: because the steps before it may be unable to use the free capacity.
MAXIMUM_DEFERRAL_SECONDS = 5.0
#: Share of a ticket's validity within which capacity has to become free.
USABLE_VALIDITY_SHARE = 0.75
#: Number of workers from which the duration of a call is estimated.
_TYPICAL_WORKERS_PER_CALL = 30
_MILLISECONDS = 1_000.0


@dataclass(slots=True)
class _ServiceCapacity:
    """Processors of one service, in thousandths: free now, and freed when runs end."""

    total_milli: int = 0
    free_milli: int = 0
    run_ends: list[tuple[float, int]] = field(default_factory=list)
    #: Processors that the steps before the current step of the pass need.
    queued_before_milli: int = 0
    _end_times: list[float] = field(default_factory=list)
    _freed_milli: list[int] = field(default_factory=list)

    def index_run_ends(self) -> None:
        """Sort the run ends, and sum up the processors that the runs free."""
        self.run_ends.sort()
        self._end_times = [moment for moment, _processors in self.run_ends]
        self._freed_milli = list(
            accumulate((processors for _at, processors in self.run_ends), initial=0)
        )

    def free_by(self, moment: float) -> int:
        """Return the processors, in thousandths, that are expected to be free at a time."""
        return self.free_milli + self._freed_milli[bisect_right(self._end_times, moment)]


class AdviceTiming:
    """Decides for each step of a placement pass whether the step should request advice.

    Parameters
    ----------
    stop_seconds : float
        Longest time that the stop of a run takes.
    """

    def __init__(
        self, table: WorkerTable, advice_dispatcher: AdviceDispatcher, stop_seconds: float
    ) -> None:
        self._table = table
        self._advice_dispatcher = advice_dispatcher
        self._stop_seconds = stop_seconds
        self._capacities: dict[str, _ServiceCapacity] = {}
        self._refresh_at = float("-inf")

    def begin_pass(self, now: float) -> None:
        """Begin a placement pass; the steps follow in order of rank."""
        if not self._advice_dispatcher.uses_fair_shares:
            return
        if now >= self._refresh_at:
            pause = CAPACITY_REFRESH_SECONDS_PER_RUN * self._table.run_count()
            self._refresh_at = now + max(CAPACITY_REFRESH_SECONDS, pause)
            self._refresh(now)
        for service_capacity in self._capacities.values():
            service_capacity.queued_before_milli = 0

    def note_waiting(self, step: StepProgress, service: str, tasks: int) -> None:
        """Record that a step still has waiting tasks, ahead of all later steps of the pass."""
        service_capacity = self._capacities.get(service)
        if service_capacity is not None:
            service_capacity.queued_before_milli += tasks * step.needs.processors_milli

    def should_request(
        self, step: StepProgress, queue: QueuePolicy, rank: StepRank, may_fit: bool, now: float
    ) -> bool:
        """Return whether a step without advice should request advice now.

        Parameters
        ----------
        may_fit : bool
            Whether some worker may have enough free capacity for one task of the step.
        """
        service_capacity, policy = self._capacities.get(queue.service), queue.advice
        if (
            not self._advice_dispatcher.uses_fair_shares
            or service_capacity is None
            or policy is None
        ):
            return True
        is_uncontended = (
            service_capacity.free_milli >= UNCONTENDED_SHARE * service_capacity.total_milli
        )
        if may_fit and (is_uncontended or now - step.ready_at >= MAXIMUM_DEFERRAL_SECONDS):
            return True
        expected_milli = self._expected_capacity(service_capacity, policy, rank, now)
        if service_capacity.queued_before_milli < expected_milli:
            return True
        self._advice_dispatcher.note_deferred(
            step, service_capacity.queued_before_milli, expected_milli
        )
        return False

    def _expected_capacity(
        self, service_capacity: _ServiceCapacity, policy: AdvicePolicy, rank: StepRank, now: float
    ) -> int:
        """Return the processors, in thousandths, expected for a step and the steps before it.

        For an entitled step, this includes capacity that becomes free while its tickets are valid;
        for any other step, only capacity that is free when the answer arrives.
        """
        seconds = policy.call_seconds(_TYPICAL_WORKERS_PER_CALL)
        answer_at = now + seconds + self._advice_dispatcher.wait_seconds(seconds, rank, now)
        if not rank.is_entitled:
            return service_capacity.free_by(answer_at)
        usable_until = answer_at + USABLE_VALIDITY_SHARE * policy.validity_ms / _MILLISECONDS
        return int(ENTITLED_CAPACITY_FACTOR * service_capacity.free_by(usable_until))

    def _refresh(self, now: float) -> None:
        self._capacities = {}
        for worker in self._table.workers.values():
            if not worker.was_offered:
                continue
            service_capacity = self._capacities.setdefault(
                worker.record.service, _ServiceCapacity()
            )
            service_capacity.total_milli += worker.record.capacity.processors_milli
            service_capacity.free_milli += max(0, worker.free_processors)
            service_capacity.run_ends += [
                (expected_end(run, self._stop_seconds, now), run.needs.processors_milli)
                for run in worker.runs.values()
            ]
        for service_capacity in self._capacities.values():
            service_capacity.index_run_ends()
