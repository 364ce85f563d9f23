"""Advice on which workers may run a step: whom to ask, through whom, and what was said.

The advice service works for each calling machine on one call at a time, so calls are spread
over the entries; see ``advice_places`` for which entry carries which call.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field

from onyxspoke.core.jobs.model import AdvicePolicy, StepKey, WorkerId
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_places import SHORT_CALL_SECONDS, AdvicePlaces
from onyxspoke.core.placement.queue_order import StepRank
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult

_MILLISECONDS = 1_000.0
#: Workers in one call at most; the service's bound.
MAXIMUM_WORKERS_ASKED = 100
#: Workers in one of several calls about a step at least, where there are as many.
MINIMUM_WORKERS_ASKED = 24
#: Calls that may be under way through one entry.
MAXIMUM_CALLS_EACH = 2
#: A ticket is not used in its last moments.
TICKET_MARGIN_SECONDS = 0.08
#: A call is asked elsewhere when it takes so much longer than it should, and so many seconds more;
#: its answer is of use all the same should it come yet.
OVERDUE_FACTOR = 1.5
OVERDUE_SECONDS = 0.3
#: An entry through which a call was not answered comes last for so long, in seconds.
DOUBT_SECONDS = 1.0
#: An answer that comes later than this after its call was given up, in seconds, is of no use.
LATE_ANSWER_SECONDS = 10.0
#: Of what was learned of the share of good workers, so much is kept at each answer.
GOOD_SHARE_KEPT = 0.95
#: The share is never taken for lower, so that a few bad answers don't have everybody asked about.
LOWEST_GOOD_SHARE = 0.05
#: Pause after a refused or unanswered call before the step is asked about again.
RETRY_SECONDS = 0.1


@dataclass(slots=True)
class HeldTicket:
    """A ticket and the holder's second after which it is not used."""

    text: str
    use_before: float


@dataclass(slots=True)
class StepAdvice:
    """What is known about one step: tickets of the good workers, and those asked about."""

    tickets: dict[WorkerId, HeldTicket] = field(default_factory=dict)
    asked: set[WorkerId] = field(default_factory=set)
    open_calls: int = 0
    retry_at: float = 0.0
    #: From when on workers that were not asked about, as those that came into use, may be asked
    #: about by themselves.
    unknown_due_at: float = -math.inf

    @property
    def is_asking(self) -> bool:
        """Whether a call about the step waits or is under way."""
        return self.open_calls > 0

    def valid_ticket(self, worker_id: WorkerId, now: float) -> str | None:
        """Return the ticket for a worker, if it may still be used."""
        held = self.tickets.get(worker_id)
        if held is None or now >= held.use_before:
            return None
        return held.text

    def may_run_on(self, worker_id: WorkerId) -> bool:
        """Return whether a worker is good for the step, or was not asked about yet."""
        return worker_id in self.tickets or worker_id not in self.asked


@dataclass(slots=True)
class _Advisor:
    """An entry that carries calls; ``position`` is its place among all of them."""

    name: str
    preference: int
    position: int
    free_at: float = 0.0
    calls: int = 0
    doubted_until: float = 0.0


@dataclass(slots=True)
class AdviceCall:
    """One call that is wanted or under way."""

    call_id: int
    step: StepKey
    queue: str
    worker_ids: tuple[WorkerId, ...]
    seconds: float
    rank: StepRank
    advisor: str = ""
    begun_at: float = 0.0
    overdue_at: float = math.inf


@dataclass(slots=True)
class _GoodShare:
    """Which share of the workers is good for the steps of one queue.

    Starts at a half of a few; what was learned from long ago counts less and less.
    """

    good: float = 12.0
    asked: float = 24.0

    @property
    def value(self) -> float:
        return max(self.good / self.asked, LOWEST_GOOD_SHARE)

    def note(self, call: AdviceCall, result: AdviceResult) -> None:
        self.good = self.good * GOOD_SHARE_KEPT + len(result.tickets)
        self.asked = self.asked * GOOD_SHARE_KEPT + len(call.worker_ids)


class AdviceDesk:
    """Keeps advice by step and hands out the calls.

    Parameters
    ----------
    shard : int
        Whose holder asks; holders of other shards use the same entries.
    """

    def __init__(self, shard: ShardId = 0) -> None:
        self._shard = shard
        self._steps: dict[StepKey, StepAdvice] = {}
        self._advisors: dict[str, _Advisor] = {}
        self._waiting: dict[int, AdviceCall] = {}
        self._under_way: dict[int, AdviceCall] = {}
        #: Calls that were given up, whose answers may come yet.
        self._given_up: dict[int, AdviceCall] = {}
        #: How long the latest answer took, as a share of what the policy says.
        self._slowness = 1.0
        self._last_call_id = 0
        #: Which share of the workers is good, by queue.
        self._shares: dict[str, _GoodShare] = {}
        self._places = AdvicePlaces()
        #: Steps whose call was given up, and from when on they may be asked about again.
        self._retries: dict[StepKey, float] = {}

    def set_advisors(self, names: list[str], now: float) -> None:
        """Take the entries through which calls can go, the holder first; others' are lost."""
        former = self._advisors
        self._advisors = {}
        for position, name in enumerate(names):
            advisor = former.get(name) or _Advisor(name, 0, position)
            advisor.position = position
            advisor.preference = self._preference(name, position)
            self._advisors[name] = advisor
        lost = [call for call in self._under_way.values() if call.advisor not in self._advisors]
        for call in lost:
            self._give_up(call, now)

    def advice_on(self, step: StepProgress) -> StepAdvice:
        """Return what is known about a step."""
        advice = self._steps.get(step.key)
        if advice is None:
            advice = self._steps[step.key] = StepAdvice()
        return advice

    def known_advice(self, key: StepKey) -> StepAdvice | None:
        """Return what is known about a step, if it was ever asked about."""
        return self._steps.get(key)

    def workers_asked(self, key: StepKey) -> set[WorkerId]:
        """Return the workers about which the answers on a step were received."""
        advice = self._steps.get(key)
        return set() if advice is None else advice.asked

    def good_share(self, queue: str) -> float:
        """Return which share of the workers is good for a queue's steps, by the answers so far."""
        return self._shares.get(queue, _GoodShare()).value

    def forget(self, key: StepKey) -> None:
        """Drop what is known about a step that needs no more tickets."""
        self._steps.pop(key, None)
        for call in [call for call in self._waiting.values() if call.step == key]:
            del self._waiting[call.call_id]

    def want(
        self,
        step: StepProgress,
        policy: AdvicePolicy,
        worker_ids: list[WorkerId],
        rank: StepRank,
        now: float,
    ) -> None:
        """Ask about a step, unless that is under way; the lowest rank is asked first."""
        advice = self.advice_on(step)
        if advice.is_asking or now < advice.retry_at or not worker_ids:
            return
        for chosen in _batches(step, policy, worker_ids):
            seconds = policy.call_seconds(len(chosen))
            self._last_call_id += 1
            queue = step.job.spec.queue.name
            call = AdviceCall(self._last_call_id, step.key, queue, chosen, seconds, rank)
            advice.open_calls += 1
            self._places.note_call(seconds, now)
            self._waiting[call.call_id] = call

    def dispatch(self, now: float) -> list[AdviceCall]:
        """Return the calls to be made now, each with its advisor."""
        for call in [call for call in self._under_way.values() if now >= call.overdue_at]:
            self._give_up(call, now)
        self._forget_given_up(now)
        started = []
        for call in sorted(self._waiting.values(), key=lambda waiting: waiting.rank):
            advisor = self._choose_advisor(call, now)
            if advisor is None:
                continue
            del self._waiting[call.call_id]
            self._begin(call, advisor, now)
            started.append(call)
        return started

    def handle_result(self, call_id: int, result: AdviceResult, now: float) -> StepKey | None:
        """Take an answer; return the step that it is about, if that is still wanted."""
        call = self._under_way.get(call_id)
        if call is None:
            return self._handle_late_result(call_id, result, now)
        if result.outcome is not AdviceOutcome.ANSWERED:
            self._give_up(call, now)
            return None
        self._slowness = max(0.0, now - call.begun_at) / max(call.seconds, SHORT_CALL_SECONDS)
        self._end(call, now)
        advice = self._steps.get(call.step)
        if advice is None:
            return None
        advice.open_calls -= 1
        self._shares.setdefault(call.queue, _GoodShare()).note(call, result)
        _note_answer(advice, call, result, now)
        return call.step

    def _handle_late_result(self, call_id: int, result: AdviceResult, now: float) -> StepKey | None:
        """Take the answer to a call that was given up: its tickets are as good as any."""
        call = self._given_up.pop(call_id, None)
        if call is None or result.outcome is not AdviceOutcome.ANSWERED:
            return None
        advice = self._steps.get(call.step)
        if advice is None:
            return None
        _note_answer(advice, call, result, now)
        return call.step

    def wait_seconds(self, call_seconds: float, rank: StepRank, now: float) -> float:
        """Return about how long a call of a rank would wait until an entry takes it."""
        return 0.0

    def take_due_retries(self, now: float) -> list[StepKey]:
        """Return the steps whose call was given up, and that may be asked about again."""
        due = [step for step, retry_at in self._retries.items() if now >= retry_at]
        for step in due:
            del self._retries[step]
        return due

    def forget_worker(self, worker_id: WorkerId) -> None:
        """Another life has the name: tickets were for the former one, and it may be of any kind."""
        for advice in self._steps.values():
            advice.tickets.pop(worker_id, None)
            advice.asked.discard(worker_id)

    def drop_ticket(self, step: StepKey, worker_id: WorkerId) -> None:
        """A worker refused a ticket; it is not used again."""
        advice = self._steps.get(step)
        if advice is not None and worker_id in advice.tickets:
            advice.tickets[worker_id].use_before = 0.0

    def _choose_advisor(self, call: AdviceCall, now: float) -> _Advisor | None:
        first, behind = self._places.places_for(call.seconds, len(self._advisors), now)
        best: _Advisor | None = None
        best_score = (1, math.inf, 0, 0)
        for advisor in self._advisors.values():
            if advisor.position < first or advisor.calls >= MAXIMUM_CALLS_EACH:
                continue
            is_elsewhere = int(advisor.position >= behind)
            is_doubted = int(now < advisor.doubted_until)
            free_at = max(advisor.free_at, now)
            score = (is_doubted, free_at, is_elsewhere, advisor.preference)
            if score < best_score:
                best, best_score = advisor, score
        if best is None or best.free_at - now > call.seconds:
            return None
        return best

    def _preference(self, name: str, position: int) -> int:
        """Return an advisor's place among those that are equally free; the lowest comes first.

        The holder itself is nearest; the others are in another order for each shard, whose
        holders do not know of each other's calls.
        """
        return zlib.crc32(f"{self._shard}/{name}".encode()) if position else -1

    def _begin(self, call: AdviceCall, advisor: _Advisor, now: float) -> None:
        call.advisor = advisor.name
        advisor.calls += 1
        advisor.free_at = max(advisor.free_at, now) + call.seconds
        call.begun_at = advisor.free_at - call.seconds
        expected = call.seconds * max(1.0, self._slowness)
        call.overdue_at = call.begun_at + OVERDUE_FACTOR * expected + OVERDUE_SECONDS
        self._under_way[call.call_id] = call

    def _end(self, call: AdviceCall, now: float) -> None:
        del self._under_way[call.call_id]
        advisor = self._advisors.get(call.advisor)
        if advisor is not None:
            advisor.calls -= 1
            if advisor.calls == 0:
                advisor.free_at = now

    def _forget_given_up(self, now: float) -> None:
        horizon = now - LATE_ANSWER_SECONDS
        for call_id in [key for key, call in self._given_up.items() if call.overdue_at < horizon]:
            del self._given_up[call_id]

    def _give_up(self, call: AdviceCall, now: float) -> None:
        self._end(call, now)
        advisor = self._advisors.get(call.advisor)
        if advisor is not None:
            advisor.doubted_until = now + DOUBT_SECONDS
        self._given_up[call.call_id] = call
        advice = self._steps.get(call.step)
        if advice is not None:
            advice.open_calls -= 1
            advice.retry_at = now + RETRY_SECONDS
            self._retries[call.step] = advice.retry_at


def _note_answer(advice: StepAdvice, call: AdviceCall, result: AdviceResult, now: float) -> None:
    """Keep what an answer says of the workers that were asked about."""
    advice.asked.update(call.worker_ids)
    use_before = now + result.validity_ms / _MILLISECONDS - TICKET_MARGIN_SECONDS
    for ticket in result.tickets:
        advice.tickets[ticket.worker_id] = HeldTicket(ticket.text, use_before)


def _batches(
    step: StepProgress, policy: AdvicePolicy, worker_ids: list[WorkerId]
) -> list[tuple[WorkerId, ...]]:
    """Return the workers to ask about, by call.

    Most steps do well with the workers of one call.  A gang wants to know all of them, and
    sooner than one call after the other: so its calls go side by side, each of a size at which
    the share that every call takes and the share of its workers are about alike.
    """
    if not step.spec.gang:
        return [tuple(worker_ids[:MAXIMUM_WORKERS_ASKED])]
    balanced = int(policy.decide_ms / policy.per_item_ms) if policy.per_item_ms else len(worker_ids)
    most = min(MAXIMUM_WORKERS_ASKED, max(balanced, MINIMUM_WORKERS_ASKED))
    count = -(-len(worker_ids) // most)
    size = -(-len(worker_ids) // count)
    return [tuple(worker_ids[at : at + size]) for at in range(0, len(worker_ids), size)]
