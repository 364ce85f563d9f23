"""Advice on which workers may run a step: whom to ask, through whom, and what was said.

The advice service works for each calling machine on one call at a time, so calls are spread
over the entries; see ``advice_places`` for which entry carries which call.
"""

from __future__ import annotations

import math
from dataclasses import replace

from onyxspoke.core.jobs.model import AdvicePolicy, StepKey, WorkerId
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_entries import AdviceEntries
from onyxspoke.core.placement.advice_forecast import LineForecast
from onyxspoke.core.placement.advice_log_events import (
    AdviceNotice,
    advisor_doubted,
    advisor_regained,
    step_put_off,
)
from onyxspoke.core.placement.advice_queue import AdviceCall, AdviceQueue
from onyxspoke.core.placement.advice_targets import batches
from onyxspoke.core.placement.queue_order import StepRank
from onyxspoke.core.placement.step_advice import GoodShare, StepAdvice, note_answer
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult

#: An answer that comes later than this after its call was given up, in seconds, is of no use.
LATE_ANSWER_SECONDS = 10.0
#: Pause after a refused or unanswered call before the step is asked about again.
RETRY_SECONDS = 0.1
#: After a longer pause between passes, in seconds, answers may have come that are not read yet.
STALL_SECONDS = 0.1


class AdviceDispatcher:
    """Keeps advice by step and hands out the calls.

    Parameters
    ----------
    shard : int
        Whose holder asks; holders of other shards use the same entries.
    uses_fair_shares : bool
        Whether the line is a resource with shares: steps that are not owed take only what owed
        ones leave, calls that are wanted no longer go, and calls out with an entry that does not
        answer are made elsewhere at once.
    """

    def __init__(self, shard: ShardId = 0, uses_fair_shares: bool = False) -> None:
        self.uses_fair_shares = uses_fair_shares
        self._steps: dict[StepKey, StepAdvice] = {}
        self._entries = AdviceEntries(shard, uses_fair_shares)
        self._line = AdviceQueue(uses_fair_shares)
        self._under_way: dict[int, AdviceCall] = {}
        #: Calls that were given up, whose answers may come yet.
        self._given_up: dict[int, AdviceCall] = {}
        self._last_call_id = 0
        #: Which share of the workers is good, by queue.
        self._shares: dict[str, GoodShare] = {}
        #: Steps whose call was given up, and from when on they may be asked about again.
        self._retries: dict[StepKey, float] = {}
        self._forecast: LineForecast | None = None
        self._notices: list[AdviceNotice] = []
        self._passed_at = math.inf
        self._was_late = False
        #: Whether calls went back into the line since the last pass.
        self.has_requeued_calls = False

    def set_advice_entries(self, names: list[str], now: float) -> None:
        """Take the entries through which calls can go, the holder first; others' are lost."""
        self._entries.set_names(names)
        for call in list(self._under_way.values()):
            if self._entries.find(call.entry_name) is None:
                self._give_up(call, now, "gone")

    def advice_for(self, step: StepProgress) -> StepAdvice:
        """Return what is known about a step."""
        advice = self._steps.get(step.key)
        if advice is None:
            advice = self._steps[step.key] = StepAdvice()
        return advice

    def known_advice(self, key: StepKey) -> StepAdvice | None:
        """Return what is known about a step, if it was ever asked about."""
        return self._steps.get(key)

    def queried_worker_ids(self, key: StepKey) -> set[WorkerId]:
        """Return the workers about which the answers on a step were received."""
        advice = self._steps.get(key)
        return set() if advice is None else advice.queried_workers

    def approval_rate(self, queue: str) -> float:
        """Return which share of the workers is good for a queue's steps, by the answers so far."""
        return self._shares.get(queue, GoodShare()).value

    def forget(self, key: StepKey) -> None:
        """Drop what is known about a step that needs no more tickets."""
        self._steps.pop(key, None)
        self._line.take_step(key)

    def request_advice(
        self,
        step: StepProgress,
        policy: AdvicePolicy,
        worker_ids: list[WorkerId],
        rank: StepRank,
        now: float,
    ) -> None:
        """Ask about a step, unless that is under way; the lowest rank is asked first."""
        advice = self.advice_for(step)
        if advice.has_open_calls or now < advice.retry_at or not worker_ids:
            return
        for chosen in batches(step, policy, worker_ids):
            seconds = policy.call_seconds(len(chosen))
            self._last_call_id += 1
            number = self._last_call_id
            queue = step.job.spec.queue.name
            call = AdviceCall(number, step, queue, chosen, seconds, rank, now, number)
            advice.open_calls.add(number)
            self._entries.places.note_call(seconds, now)
            if rank.is_entitled:
                self._entries.places.note_owed(seconds, now)
            self._line.add(call, now)

    def dispatch(self, now: float) -> list[AdviceCall]:
        """Return the calls to be made now, each with its advisor."""
        if not self._may_be_unread(now):
            for call in [call for call in self._under_way.values() if now >= call.overdue_at]:
                if call.call_id in self._under_way:
                    self._give_up(call, now, "overdue")
        self._forget_given_up(now)
        self._entries.begin_pass(now)
        if self.uses_fair_shares:
            self._drop_unwanted(now)
        started, left = [], []
        for call in self._line.in_order():
            entry_name = self._entries.choose(call, now)
            if entry_name is None:
                left.append(call)
                continue
            self._line.take(call.number)
            self._entries.begin(call, entry_name, now)
            self._under_way[call.call_id] = call
            started.append(call)
        self._forecast = LineForecast(left, self._entries, now)
        self.has_requeued_calls = False
        return started

    def handle_result(self, call_id: int, result: AdviceResult, now: float) -> StepKey | None:
        """Take an answer; return the step that it is about, if that is still wanted."""
        call = self._under_way.get(call_id)
        if call is None:
            return self._handle_late_result(call_id, result, now)
        if result.outcome is not AdviceOutcome.ANSWERED:
            self._give_up(call, now, result.outcome.value)
            return None
        self._entries.note_answer(call, now)
        self._end(call, now)
        self._note_trust(call, now)
        return self._take_answer(call, result, now)

    def wait_seconds(self, call_seconds: float, rank: StepRank, now: float) -> float:
        """Return about how long a call of a rank would wait until an entry takes it.

        As of the last pass; 0 before the first.
        """
        if self._forecast is None:
            return 0.0
        return self._forecast.wait_seconds(call_seconds, rank, now)

    def take_log_events(self, now: float) -> list[AdviceNotice]:
        """Return what is to be told since the last call."""
        notices, self._notices = self._notices, []
        if self.uses_fair_shares:
            notices += [
                AdviceNotice("advice_line", fields) for fields in self._line.take_report(now)
            ]
        return notices

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
            advice.queried_workers.discard(worker_id)

    def drop_ticket(self, step: StepKey, worker_id: WorkerId) -> None:
        """A worker refused a ticket; it is not used again."""
        advice = self._steps.get(step)
        if advice is not None and worker_id in advice.tickets:
            advice.tickets[worker_id].use_before = 0.0

    def note_put_off(self, step: StepProgress, ahead_milli: int, room_milli: int) -> None:
        """A step does not ask yet, because what goes before it takes the room; told once."""
        advice = self.advice_for(step)
        if not advice.is_put_off:
            advice.is_put_off = True
            self._notices.append(step_put_off(step.key, ahead_milli, room_milli))

    def _may_be_unread(self, now: float) -> bool:
        """Return whether no call is judged now: the process stood still, and has just gone on."""
        pause, self._passed_at = now - self._passed_at, now
        self._was_late = self.uses_fair_shares and pause > STALL_SECONDS and not self._was_late
        return self._was_late

    def _take_answer(self, call: AdviceCall, result: AdviceResult, now: float) -> StepKey | None:
        advice = self._steps.get(call.step)
        if advice is None:
            return None
        advice.open_calls.discard(call.number)
        self._shares.setdefault(call.queue, GoodShare()).note(call, result)
        note_answer(advice, call, result, now)
        return call.step

    def _handle_late_result(self, call_id: int, result: AdviceResult, now: float) -> StepKey | None:
        """Take the answer to a call that was given up: its tickets are as good as any."""
        call = self._given_up.pop(call_id, None)
        if call is None or result.outcome is not AdviceOutcome.ANSWERED:
            return None
        if self.uses_fair_shares:
            self._entries.note_pace(call, now)
            self._note_trust(call, now)
            if self._line.take(call.number) is not None:
                # It still waited to be made again, which is not needed any more.
                return self._take_answer(call, result, now)
        advice = self._steps.get(call.step)
        if advice is None:
            return None
        note_answer(advice, call, result, now)
        return call.step

    def _drop_unwanted(self, now: float) -> None:
        for call in self._line.take_unwanted(now):
            advice = self._steps.get(call.step)
            if advice is not None:
                advice.open_calls.discard(call.number)

    def _end(self, call: AdviceCall, now: float) -> None:
        del self._under_way[call.call_id]
        self._entries.end(call, now)

    def _forget_given_up(self, now: float) -> None:
        horizon = now - LATE_ANSWER_SECONDS
        for call_id in [key for key, call in self._given_up.items() if call.overdue_at < horizon]:
            del self._given_up[call_id]

    def _give_up(self, call: AdviceCall, now: float, reason: str) -> None:
        """A call was not answered; with shares it is made elsewhere, as all out with its entry."""
        entry_name = self._entries.find(call.entry_name)
        is_new = entry_name is not None and self._entries.doubt(entry_name, now)
        out = [call]
        if self.uses_fair_shares and entry_name is not None:
            out = list(entry_name.out.values())
        for item in out:
            self._end(item, now)
            self._given_up[item.call_id] = item
            if self.uses_fair_shares:
                self._make_again(item, now)
            else:
                self._put_off(item, now)
        if is_new and entry_name is not None:
            self._notices.append(advisor_doubted(entry_name, reason, len(out), now))

    def _put_off(self, call: AdviceCall, now: float) -> None:
        advice = self._steps.get(call.step)
        if advice is not None:
            advice.open_calls.discard(call.number)
            advice.retry_at = now + RETRY_SECONDS
            self._retries[call.step] = advice.retry_at

    def _make_again(self, call: AdviceCall, now: float) -> None:
        """Have a call wait at its old place, under a new id; the answer to either will do."""
        advice = self._steps.get(call.step)
        if advice is None or call.number not in advice.open_calls:
            return
        self._last_call_id += 1
        again = replace(call, call_id=self._last_call_id, tries=call.tries + 1, entry_name="")
        self._line.add(again, now)
        self.has_requeued_calls = True

    def _note_trust(self, call: AdviceCall, now: float) -> None:
        entry_name = self._entries.find(call.entry_name)
        if not self.uses_fair_shares or entry_name is None or not entry_name.doubts:
            return
        doubts = self._entries.trust(entry_name, now)
        self._notices.append(advisor_regained(entry_name, doubts, now))
