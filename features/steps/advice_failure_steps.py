"""Steps that play single calls on the desk for advice: failures, and random histories."""

from __future__ import annotations

import itertools
from typing import Any

import naive_advice
from advice_cell import REPAIR, Cell
from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from onyxspoke.core.estimates.work_model import WorkModel
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.advice_queue import AdviceCall
from onyxspoke.core.placement.entry_partition import length_of
from onyxspoke.core.placement.queue_order import StepRank, step_rank_in_queue
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult, Ticket

BEGIN = 100.0
_ENTRIES = [f"entry-{number}" for number in range(6)]
_wants = st.tuples(st.just("want"), st.integers(0, 11), st.integers(1, 60))
_operations = st.one_of(
    _wants,
    _wants,
    _wants,
    st.tuples(st.just("pass"), st.sampled_from((0.01, 0.05, 0.3, 1.5))),
    st.tuples(st.just("answer"), st.integers(0, 9)),
    st.tuples(st.just("fail"), st.integers(0, 9)),
    st.tuples(st.just("advisors"), st.integers(1, 6), st.booleans()),
    st.tuples(st.just("placed"), st.integers(0, 11)),
)
_SAME_EACH_TIME = settings(deadline=None, derandomize=True, database=None, phases=[Phase.generate])
_histories = st.lists(_operations, min_size=15, max_size=60)


class _Desk:
    """A desk, its steps, and the entries' side of its calls."""

    def __init__(self, entries: int, uses_fair_shares: bool) -> None:
        self.now = BEGIN
        self.desk = AdviceDispatcher(0, uses_fair_shares)
        self.desk.set_advice_entries(_ENTRIES[:entries], self.now)
        self.cell = Cell(1, 1, REPAIR)
        self.out: list[AdviceCall] = []
        self.sent: list[tuple[int, str]] = []
        self.calls: list[AdviceCall] = []
        self.answered: dict[str, float] = {}
        self.notices: list[Any] = []

    def step(self, kind: str, beyond: bool = False) -> StepProgress:
        self.cell.now = self.now
        return self.cell.hand_in(kind, beyond)

    def want(self, step: StepProgress, workers: int) -> float:
        policy = step.job.spec.queue.advice
        assert policy is not None
        names = [f"w{number}" for number in range(workers)]
        self.desk.want(step, policy, names, self.rank(step), self.now)
        return policy.call_seconds(workers)

    def rank(self, step: StepProgress) -> StepRank:
        return step_rank_in_queue(step, step.job.spec.queue, self.now)

    def make_pass(self, seconds: float) -> list[AdviceCall]:
        self.now += seconds
        started = self.desk.dispatch(self.now)
        self.out += started
        self.calls += started
        self.sent += [(call.call_id, call.entry_name) for call in started]
        self.notices += self.desk.take_log_events(self.now)
        return started

    def answer(self, call: AdviceCall, call_id: int, outcome: AdviceOutcome) -> None:
        tickets = [Ticket(name, "leave") for name in call.worker_ids]
        result = AdviceResult(outcome, tickets, 2_000.0)
        if self.desk.handle_result(call_id, result, self.now) is not None:
            self.answered.setdefault(call.step.job_id, self.now)
        self.notices += self.desk.take_log_events(self.now)

    def play(self, seconds: float, silent: str = "", outcome: str = "") -> None:
        """Have entries answer as the service does, but for one that does not, or is busy."""
        free_at: dict[str, float] = {}
        due: list[tuple[float, int, AdviceCall]] = []
        end = self.now + seconds
        while self.now < end:
            for call in self.make_pass(0.02):
                if call.entry_name == silent and not outcome:
                    continue
                free_at[call.entry_name] = (
                    max(free_at.get(call.entry_name, 0.0), self.now) + call.seconds
                )
                is_busy = call.entry_name == silent
                due.append((self.now if is_busy else free_at[call.entry_name], call.call_id, call))
            for item in [item for item in due if item[0] <= self.now]:
                due.remove(item)
                is_busy = item[2].entry_name == silent
                self.answer(item[2], item[1], AdviceOutcome(outcome if is_busy else "answered"))


def _kinds() -> list[tuple[str, bool]]:
    return list(itertools.product(("urgent", "patient", "gang"), (False, True))) * 2


def _steps_of(desk: _Desk) -> list[StepProgress]:
    return [desk.step(kind, beyond) for kind, beyond in _kinds()]


def _place(step: StepProgress) -> None:
    step.waiting.clear()


@when("{count:d} random histories of a desk without shares are played beside a plain line")
def _beside_plain(context: Any, count: int) -> None:
    context.compared = 0

    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None, phases=[Phase.generate]
    )
    @for_all(_histories)
    def play(history: list[Any]) -> None:
        desk, plain = _Desk(6, False), naive_advice.NaiveDesk()
        plain.set_advice_entries(_ENTRIES, desk.now)
        steps = [step for step in _steps_of(desk) if not step.spec.gang] * 2
        for operation, *values in history:
            if operation == "want":
                step = steps[values[0]]
                rank = desk.rank(step)
                plain.want(step.key, desk.want(step, values[1]), rank, desk.now)
            elif operation == "pass":
                sent = len(desk.sent)
                desk.make_pass(values[0])
                assert desk.sent[sent:] == plain.dispatch(desk.now)
                context.compared += len(desk.sent) - sent
            elif operation == "advisors":
                names = _ENTRIES[: values[0]] if values[1] else _ENTRIES[-values[0] :]
                desk.desk.set_advice_entries(names, desk.now)
                plain.set_advice_entries(names, desk.now)
            elif operation in ("answer", "fail") and desk.out:
                call = desk.out.pop(values[0] % len(desk.out))
                is_answer = operation == "answer"
                desk.answer(call, call.call_id, AdviceOutcome("answered" if is_answer else "busy"))
                (plain.answer if is_answer else plain.fail)(call.call_id, desk.now)

    play()


@then("both sent the same calls through the same entries")
def _compared(context: Any) -> None:
    assert context.compared > 500, context.compared


def _check_pass(desk: _Desk, started: list[AdviceCall]) -> None:
    out = list(desk.desk._under_way.values())
    for name in _ENTRIES:
        assert sum(call.entry_name == name for call in out) <= 2
    for call in started:
        assert call.progress.waiting, call
        assert call.progress.over_quota_since is None
        for other in desk.desk._line:
            is_alike = length_of(other.seconds) is length_of(call.seconds)
            if is_alike and other.seconds >= call.seconds and other.rank.is_entitled:
                assert (call.rank, call.number) < (other.rank, other.number)
    for key, advice in desk.desk._steps.items():
        numbers = [call.number for call in (*out, *desk.desk._line) if call.step == key]
        assert sorted(advice.open_calls) == sorted(numbers), (key, advice.open_calls)


@when("{count:d} random histories of a desk with shares are played")
def _random(context: Any, count: int) -> None:
    context.checked = 0

    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None, phases=[Phase.generate]
    )
    @for_all(_histories)
    def play(history: list[Any]) -> None:
        desk = _Desk(6, True)
        steps = _steps_of(desk)
        for operation, *values in history:
            if operation == "want":
                desk.want(steps[values[0]], values[1])
            elif operation == "pass":
                started = desk.make_pass(values[0])
                _check_pass(desk, started)
                context.checked += len(started)
            elif operation == "advisors":
                names = _ENTRIES[: values[0]] if values[1] else _ENTRIES[-values[0] :]
                desk.desk.set_advice_entries(names, desk.now)
            elif operation == "placed":
                _place(steps[values[0]])
            elif desk.out:
                call = desk.out.pop(values[0] % len(desk.out))
                outcome = AdviceOutcome("answered" if operation == "answer" else "busy")
                desk.answer(call, call.call_id, outcome)
        wanted = [call.progress for call in desk.desk._line if call.rank.is_entitled]
        desk.answered.clear()
        desk.play(20.0)
        for step in wanted:
            expired = desk.rank(step).is_expired
            assert not step.waiting or expired or step.job.job_id in desk.answered
        assert not desk.desk._under_way

    play()


@then("no entry had more than two calls out, and none was sent for a step that had no use for it")
@then("calls alike in rank and length went in the order in which they were wanted")
@then("every step that was owed and still wanted advice had it in the end")
def _checked(context: Any) -> None:
    assert context.checked > 500, context.checked


@given("a desk with shares and {entries:d} entries")
def _desk(context: Any, entries: int) -> None:
    context.desk = _Desk(entries, True)


@given("patient steps that wait behind two calls at each entry")
def _full_line(context: Any) -> None:
    desk = context.desk
    context.steps = [desk.step("patient") for _number in range(20)]
    for step in context.steps:
        desk.want(step, 25)
    desk.make_pass(0.0)


@given("an urgent step whose call is out with the first entry")
def _urgent_out(context: Any) -> None:
    desk = context.desk
    context.step = desk.step("urgent")
    desk.want(context.step, 25)
    [context.call] = desk.make_pass(0.0)
    context.call_id = context.call.call_id
    assert context.call.entry_name == _ENTRIES[0]


@when("entry {number:d} is gone")
def _gone(context: Any, number: int) -> None:
    desk = context.desk
    name = _ENTRIES[number - 1]
    context.lost = [call.step for call in desk.out if call.entry_name == name]
    context.load = desk.desk._entries.places.owed_load(length_of(0.2), desk.now)
    desk.desk.set_advice_entries([entry for entry in _ENTRIES[:4] if entry != name], desk.now)
    assert desk.desk.has_requeued_calls


@then("the next calls are those that were out with it, at once and without a second charge")
def _moved(context: Any) -> None:
    desk = context.desk
    assert context.lost
    [*others] = [call for call in desk.out if call.step not in context.lost]
    for call in others:
        desk.answer(call, call.call_id, AdviceOutcome.ANSWERED)
    started = desk.make_pass(0.0)
    assert [call.step for call in started[: len(context.lost)]] == context.lost
    assert desk.desk._entries.places.owed_load(length_of(0.2), desk.now) == context.load


@when("the answer is {late:g} seconds late, and comes before the call was made again")
def _late(context: Any, late: float) -> None:
    desk = context.desk
    desk.now += context.call.seconds + late
    desk.desk.set_advice_entries([], desk.now - 0.01)
    desk.desk.set_advice_entries(_ENTRIES[:4], desk.now - 0.01)
    desk.answer(context.call, context.call_id, AdviceOutcome.ANSWERED)


@then("the step has its tickets, and no further call is made")
def _has_tickets(context: Any) -> None:
    desk = context.desk
    advice = desk.desk.advice_for(context.step)
    assert advice.tickets
    assert not advice.has_open_calls
    assert desk.make_pass(0.02) == []


@then("the log tells that the first entry was doubted and regained")
def _told(context: Any) -> None:
    desk = context.desk
    step = desk.step("urgent")
    desk.want(step, 25)
    [call] = desk.make_pass(0.0)
    call_id, name = call.call_id, call.entry_name
    desk.make_pass(0.98)
    desk.make_pass(0.02)
    desk.answer(call, call_id, AdviceOutcome.ANSWERED)
    told = [(notice.event, notice.fields["advisor"]) for notice in desk.notices]
    assert told[-2:] == [("advisor_doubted", name), ("advisor_regained", name)], told


@when("the second entry answers nothing for {seconds:d} seconds of urgent steps, {rate:d} a second")
def _silent(context: Any, seconds: int, rate: int) -> None:
    desk = context.desk
    context.handed_in = {}
    for _number in range(seconds * rate):
        for _both in range(2):
            step = desk.step("urgent")
            context.handed_in[step.job.job_id] = desk.now
            desk.want(step, 25)
        desk.play(1.0 / rate, silent=_ENTRIES[1])
    desk.play(1.0)


@then("the second entry was asked at most {count:d} times")
def _asked_seldom(context: Any, count: int) -> None:
    asked = [name for _call, name in context.desk.sent if name == _ENTRIES[1]]
    assert 2 <= len(asked) <= count, len(asked)


@then("every urgent step had an answer within {seconds:g} seconds")
def _all_answered(context: Any, seconds: float) -> None:
    answered = context.desk.answered
    waits = [answered.get(name, float("inf")) - at for name, at in context.handed_in.items()]
    assert max(waits) <= seconds, max(waits)


@when("the first entry is busy for {seconds:d} seconds, and then answers")
def _busy(context: Any, seconds: int) -> None:
    desk = context.desk
    context.step = desk.step("gang")
    desk.want(context.step, 25)
    desk.play(float(seconds), silent=_ENTRIES[0], outcome="busy")
    desk.play(6.0)


@then("the step was asked about between {least:d} and {most:d} times, and has its answer")
def _asked_again(context: Any, least: int, most: int) -> None:
    assert least <= len(context.desk.sent) <= most, len(context.desk.sent)
    assert context.step.job.job_id in context.desk.answered


@when("one of the waiting steps is placed, one is over its quota and one expires")
def _unwanted(context: Any) -> None:
    desk = context.desk
    waiting = [call.progress for call in desk.desk._line]
    context.unwanted = placed, over_quota, expired = waiting[3], waiting[5], waiting[7]
    _place(placed)
    over_quota.set_over_quota(True, desk.now)
    expired.due_at -= 1_000.0
    for call in desk.desk._line:
        call.rank_holds_until = desk.now
    sent = len(desk.sent)
    for call in desk.out:
        desk.answer(call, call.call_id, AdviceOutcome.ANSWERED)
    desk.play(5.0)
    context.sent = desk.calls[sent:]


@then("none of the three is asked about, and all others are")
def _not_asked(context: Any) -> None:
    asked = {call.step for call in context.sent}
    assert not asked & {step.key for step in context.unwanted}
    assert len(asked) == len(context.steps) - 2 - len(context.unwanted)


@when("a successor's desk is made and all steps want advice again")
def _successor(context: Any) -> None:
    former = context.desk
    context.desk = desk = _Desk(4, True)
    desk.now = former.now
    context.handed_in = {step.job.job_id: desk.now for step in context.steps}
    for step in context.steps:
        desk.want(step, 25)
    desk.play(3.0)


@then("every step has its answer within {seconds:d} seconds")
def _answers(context: Any, seconds: int) -> None:
    _all_answered(context, float(seconds))


@when("the holder stands still for {seconds:g} seconds, makes a pass, and then reads the answer")
def _stall(context: Any, seconds: float) -> None:
    desk = context.desk
    assert desk.make_pass(seconds) == []
    desk.answer(context.call, context.call_id, AdviceOutcome.ANSWERED)


@then("no entry was doubted")
def _none_doubted(context: Any) -> None:
    assert context.desk.notices == []


@when("their work turns out to take {times:g} times its estimate, and a pass is made")
def _learned(context: Any, times: float) -> None:
    desk = context.desk
    for step in context.steps:
        step.job.work = WorkModel("patient")
        desk.want(step, 25)
    desk.make_pass(0.02)
    for step in context.steps:
        step.job.work.factor = times
    desk.make_pass(0.02)


@then("every waiting call stands where its step does")
def _stands(context: Any) -> None:
    waiting = list(context.desk.desk._line)
    assert len(waiting) > 10
    for call in waiting:
        assert call.rank == context.desk.rank(call.progress), call


@when("the step is forgotten, wanted again, and the former call {outcome}")
def _forgotten(context: Any, outcome: str) -> None:
    desk = context.desk
    former = desk.out[-1]
    desk.desk.forget(context.step.key)
    desk.want(context.step, 25)
    context.call_id = desk.desk._last_call_id
    desk.make_pass(0.0)
    desk.answer(
        former, former.call_id, AdviceOutcome("answered" if outcome == "answered" else "busy")
    )


@then("the step still has the call that it wanted last, and no further one is made")
def _has_last(context: Any) -> None:
    desk = context.desk
    assert desk.desk.advice_for(context.step).has_open_calls
    desk.want(context.step, 25)
    desk.make_pass(0.02)
    assert desk.desk._last_call_id == context.call_id
    assert [call.call_id for call in desk.desk._under_way.values()] == [context.call_id]


@when(
    "the first entry is busy for {seconds:d} seconds of urgent steps, one a second,"
    " and then answers"
)
def _long_outage(context: Any, seconds: int) -> None:
    desk = context.desk
    for _number in range(seconds):
        context.step = desk.step("urgent")
        desk.want(context.step, 25)
        desk.play(1.0, silent=_ENTRIES[0], outcome="busy")
    context.mended_at = desk.now
    desk.play(1.0)


@then("the last step was asked about again, and has its answer within {seconds:g} seconds")
def _answered_soon(context: Any, seconds: float) -> None:
    desk = context.desk
    answered_at = desk.answered[context.step.job.job_id]
    assert context.mended_at < answered_at <= context.mended_at + seconds, answered_at
