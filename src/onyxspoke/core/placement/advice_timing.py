"""Whether a step asks for advice now: a ticket is of use only if room comes before it runs out.

On a full cell every step that is handed in would else ask at once, and again when its turn comes.
What a step needs, and what those before it need, is held against the room that there is, and that
is expected by then; it asks early enough that its advice is there before its room.
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

#: What is expected of room is looked up anew after so long, in seconds.
LOOK_SECONDS = 0.2
#: While so much of a service is free, what waits lacks something else than room, and all may ask.
FREE_SHARE = 0.1
#: Owed steps ask while those before them need at most so many times the room that is expected:
#: estimates may be too high, and not every step before them can use it.
OWED_FACTOR = 1.5
#: A step that has been ready for so long, in seconds, asks while one of its tasks may fit: what
#: goes before it may be unable to use the room.
LONGEST_HELD_SECONDS = 5.0
#: Of a ticket's validity, the part within which room has to come.
VALIDITY_SHARE = 0.75
#: Workers in a call, to tell about how long it takes.
_TYPICAL_WORKERS = 30
_MILLISECONDS = 1_000.0


@dataclass(slots=True)
class _ServiceRoom:
    """Processors of one service, in thousandths: free, and freed by the ends of its runs."""

    total: int = 0
    free: int = 0
    ends: list[tuple[float, int]] = field(default_factory=list)
    #: What the steps before the present one need, in this pass.
    ahead: int = 0
    _moments: list[float] = field(default_factory=list)
    _freed: list[int] = field(default_factory=list)

    def settle(self) -> None:
        """Take all ends in."""
        self.ends.sort()
        self._moments = [moment for moment, _processors in self.ends]
        self._freed = list(accumulate((processors for _at, processors in self.ends), initial=0))

    def by(self, moment: float) -> int:
        """Return how much is free, or expected to be, by a moment."""
        return self.free + self._freed[bisect_right(self._moments, moment)]


class AdviceTiming:
    """Tells for each step of a pass of placement whether it should ask.

    Parameters
    ----------
    stop_seconds : float
        How long a stop takes at most.
    """

    def __init__(
        self, table: WorkerTable, advice_dispatcher: AdviceDispatcher, stop_seconds: float
    ) -> None:
        self._table = table
        self._advice_dispatcher = advice_dispatcher
        self._stop_seconds = stop_seconds
        self._services: dict[str, _ServiceRoom] = {}
        self._looked_at = float("-inf")

    def begin_pass(self, now: float) -> None:
        """Begin with the step that goes first."""
        if not self._advice_dispatcher.uses_fair_shares:
            return
        if now - self._looked_at >= LOOK_SECONDS:
            self._looked_at = now
            self._look(now)
        for room in self._services.values():
            room.ahead = 0

    def note_waiting(self, step: StepProgress, service: str, tasks: int) -> None:
        """So many tasks of a step still wait, before all steps that follow in the pass."""
        room = self._services.get(service)
        if room is not None:
            room.ahead += tasks * step.needs.processors_milli

    def should_request(
        self, step: StepProgress, queue: QueuePolicy, rank: StepRank, may_fit: bool, now: float
    ) -> bool:
        """Return whether a step that knows of no workers yet should ask about some.

        Parameters
        ----------
        may_fit : bool
            Whether some worker might have room for one of its tasks.
        """
        room, policy = self._services.get(queue.service), queue.advice
        if not self._advice_dispatcher.uses_fair_shares or room is None or policy is None:
            return True
        is_free = room.free >= FREE_SHARE * room.total
        if may_fit and (is_free or now - step.ready_at >= LONGEST_HELD_SECONDS):
            return True
        expected = self._expected_room(room, policy, rank, now)
        if room.ahead < expected:
            return True
        self._advice_dispatcher.note_put_off(step, room.ahead, expected)
        return False

    def _expected_room(
        self, room: _ServiceRoom, policy: AdvicePolicy, rank: StepRank, now: float
    ) -> int:
        """Return the room that a step and those before it may count on, while advice is of use."""
        seconds = policy.call_seconds(_TYPICAL_WORKERS)
        answer_at = now + seconds + self._advice_dispatcher.wait_seconds(seconds, rank, now)
        if not rank.is_entitled:
            return room.by(answer_at)
        used_until = answer_at + VALIDITY_SHARE * policy.validity_ms / _MILLISECONDS
        return int(OWED_FACTOR * room.by(used_until))

    def _look(self, now: float) -> None:
        self._services = {}
        for worker in self._table.workers.values():
            if not worker.was_offered:
                continue
            room = self._services.setdefault(worker.record.service, _ServiceRoom())
            room.total += worker.record.capacity.processors_milli
            room.free += max(0, worker.free_processors)
            room.ends += [
                (expected_end(run, self._stop_seconds, now), run.needs.processors_milli)
                for run in worker.runs.values()
            ]
        for room in self._services.values():
            room.settle()
