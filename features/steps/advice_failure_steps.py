"""Steps about single calls of the advice dispatcher: failures and random sequences."""

from __future__ import annotations

import itertools
from typing import Any

import naive_advice
from advice_cell import LARGE_WORKER_JOBS, SimulatedCell
from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from onyxspoke.core.estimates.work_model import WorkModel
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_dispatcher import AdviceDispatcher
from onyxspoke.core.placement.advice_queue import AdviceCall
from onyxspoke.core.placement.entry_partition import call_length
from onyxspoke.core.placement.queue_order import StepRank, step_rank_in_queue
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult, Ticket

START_SECONDS = 100.0
_ENTRIES = [f"entry-{number}" for number in range(6)]
_requests = st.tuples(st.just("want"), st.integers(0, 11), st.integers(1, 60))
_operations = st.one_of(
    _requests,
    _requests,
    _requests,
    st.tuples(st.just("pass"), st.sampled_from((0.01, 0.05, 0.3, 1.5))),
    st.tuples(st.just("answer"), st.integers(0, 9)),
    st.tuples(st.just("fail"), st.integers(0, 9)),
    st.tuples(st.just("advisors"), st.integers(1, 6), st.booleans()),
    st.tuples(st.just("placed"), st.integers(0, 11)),
)
_DETERMINISTIC = settings(deadline=None, derandomize=True, database=None, phases=[Phase.generate])
_operation_lists = st.lists(_operations, min_size=15, max_size=60)


class _DispatcherHarness:
    """A dispatcher, the steps that request its advice, and simulated answers of its entries."""

    def __init__(self, entries: int, uses_fair_shares: bool) -> None:
        self.now = START_SECONDS
        self.dispatcher = AdviceDispatcher(0, uses_fair_shares)
        self.dispatcher.set_advice_entries(_ENTRIES[:entries], self.now)
        self.cell = SimulatedCell(1, 1, LARGE_WORKER_JOBS)
        self.in_flight: list[AdviceCall] = []
        self.sent_calls: list[tuple[int, str]] = []
        self.dispatched_calls: list[AdviceCall] = []
        self.answered_at: dict[str, float] = {}
        self.log_events: list[Any] = []

    def submit_step(self, kind: str, is_over_share: bool = False) -> StepProgress:
        self.cell.now = self.now
        return self.cell.submit_job(kind, is_over_share)

    def request_advice(self, step: StepProgress, workers: int) -> float:
        policy = step.job.spec.queue.advice
        assert policy is not None
        names = [f"w{number}" for number in range(workers)]
        self.dispatcher.request_advice(step, policy, names, self.rank_of(step), self.now)
        return policy.call_seconds(workers)

    def rank_of(self, step: StepProgress) -> StepRank:
        return step_rank_in_queue(step, step.job.spec.queue, self.now)

    def run_pass(self, seconds: float) -> list[AdviceCall]:
        self.now += seconds
        started = self.dispatcher.dispatch(self.now)
        self.in_flight += started
        self.dispatched_calls += started
        self.sent_calls += [(call.call_id, call.entry_name) for call in started]
        self.log_events += self.dispatcher.take_log_events(self.now)
        return started

    def answer(self, call: AdviceCall, call_id: int, outcome: AdviceOutcome) -> None:
        tickets = [Ticket(name, "leave") for name in call.worker_ids]
        result = AdviceResult(outcome, tickets, 2_000.0)
        if self.dispatcher.handle_result(call_id, result, self.now) is not None:
            self.answered_at.setdefault(call.step.job_id, self.now)
        self.log_events += self.dispatcher.take_log_events(self.now)

    def run(self, seconds: float, failing_entry: str = "", outcome: str = "") -> None:
        """Simulate the answers of all entries, except one that is silent or reports an outcome."""
        free_at: dict[str, float] = {}
        due: list[tuple[float, int, AdviceCall]] = []
        end = self.now + seconds
        while self.now < end:
            for call in self.run_pass(0.02):
                if call.entry_name == failing_entry and not outcome:
                    continue
                free_at[call.entry_name] = (
                    max(free_at.get(call.entry_name, 0.0), self.now) + call.seconds
                )
                is_busy = call.entry_name == failing_entry
                due.append((self.now if is_busy else free_at[call.entry_name], call.call_id, call))
            for item in [item for item in due if item[0] <= self.now]:
                due.remove(item)
                is_busy = item[2].entry_name == failing_entry
                self.answer(item[2], item[1], AdviceOutcome(outcome if is_busy else "answered"))


def _job_kinds() -> list[tuple[str, bool]]:
    return list(itertools.product(("urgent", "patient", "gang"), (False, True))) * 2


def _submit_steps(harness: _DispatcherHarness) -> list[StepProgress]:
    return [harness.submit_step(kind, is_over_share) for kind, is_over_share in _job_kinds()]


def _mark_placed(step: StepProgress) -> None:
    step.waiting.clear()


@when(
    "{count:d} random sequences of operations run on a dispatcher without fair shares and on a"
    " reference dispatcher"
)
def _run_beside_reference(context: Any, count: int) -> None:
    context.compared = 0

    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None, phases=[Phase.generate]
    )
    @for_all(_operation_lists)
    def run_sequence(operations: list[Any]) -> None:
        harness, reference = _DispatcherHarness(6, False), naive_advice.NaiveDispatcher()
        reference.set_advice_entries(_ENTRIES, harness.now)
        steps = [step for step in _submit_steps(harness) if not step.spec.gang] * 2
        for operation, *values in operations:
            if operation == "want":
                step = steps[values[0]]
                rank = harness.rank_of(step)
                reference.request_advice(
                    step.key, harness.request_advice(step, values[1]), rank, harness.now
                )
            elif operation == "pass":
                sent_count = len(harness.sent_calls)
                harness.run_pass(values[0])
                assert harness.sent_calls[sent_count:] == reference.dispatch(harness.now)
                context.compared += len(harness.sent_calls) - sent_count
            elif operation == "advisors":
                names = _ENTRIES[: values[0]] if values[1] else _ENTRIES[-values[0] :]
                harness.dispatcher.set_advice_entries(names, harness.now)
                reference.set_advice_entries(names, harness.now)
            elif operation in ("answer", "fail") and harness.in_flight:
                call = harness.in_flight.pop(values[0] % len(harness.in_flight))
                is_answer = operation == "answer"
                harness.answer(
                    call, call.call_id, AdviceOutcome("answered" if is_answer else "busy")
                )
                (reference.answer if is_answer else reference.fail)(call.call_id, harness.now)

    run_sequence()


@then("both sent the same calls through the same entries")
def _check_same_calls(context: Any) -> None:
    assert context.compared > 500, context.compared


def _check_pass(harness: _DispatcherHarness, started: list[AdviceCall]) -> None:
    in_flight = list(harness.dispatcher._in_flight.values())
    for name in _ENTRIES:
        assert sum(call.entry_name == name for call in in_flight) <= 2
    for call in started:
        assert call.progress.waiting, call
        assert call.progress.over_quota_since is None
        for other in harness.dispatcher._queue:
            has_same_length = call_length(other.seconds) is call_length(call.seconds)
            if has_same_length and other.seconds >= call.seconds and other.rank.is_entitled:
                assert (call.rank, call.number) < (other.rank, other.number)
    for key, advice in harness.dispatcher._steps.items():
        numbers = [
            call.number for call in (*in_flight, *harness.dispatcher._queue) if call.step == key
        ]
        assert sorted(advice.open_calls) == sorted(numbers), (key, advice.open_calls)


@when("{count:d} random sequences of operations run on a dispatcher with fair shares")
def _run_random_sequences(context: Any, count: int) -> None:
    context.checked = 0

    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None, phases=[Phase.generate]
    )
    @for_all(_operation_lists)
    def run_sequence(operations: list[Any]) -> None:
        harness = _DispatcherHarness(6, True)
        steps = _submit_steps(harness)
        for operation, *values in operations:
            if operation == "want":
                harness.request_advice(steps[values[0]], values[1])
            elif operation == "pass":
                started = harness.run_pass(values[0])
                _check_pass(harness, started)
                context.checked += len(started)
            elif operation == "advisors":
                names = _ENTRIES[: values[0]] if values[1] else _ENTRIES[-values[0] :]
                harness.dispatcher.set_advice_entries(names, harness.now)
            elif operation == "placed":
                _mark_placed(steps[values[0]])
            elif harness.in_flight:
                call = harness.in_flight.pop(values[0] % len(harness.in_flight))
                outcome = AdviceOutcome("answered" if operation == "answer" else "busy")
                harness.answer(call, call.call_id, outcome)
        entitled_steps = [
            call.progress for call in harness.dispatcher._queue if call.rank.is_entitled
        ]
        harness.answered_at.clear()
        harness.run(20.0)
        for step in entitled_steps:
            expired = harness.rank_of(step).is_expired
            assert not step.waiting or expired or step.job.job_id in harness.answered_at
        assert not harness.dispatcher._in_flight

    run_sequence()


@then("no entry had more than two calls in flight, and no call was made that its step did not need")
@then("calls of equal rank and length were made in the order in which they were queued")
@then("every entitled step that still needed advice got it eventually")
def _check_enough_calls(context: Any) -> None:
    assert context.checked > 500, context.checked


@given("a dispatcher with fair shares and {entries:d} entries")
def _make_harness(context: Any, entries: int) -> None:
    context.harness = _DispatcherHarness(entries, True)


@given("patient steps queued behind two calls in flight at each entry")
def _fill_queue(context: Any) -> None:
    harness = context.harness
    context.steps = [harness.submit_step("patient") for _number in range(20)]
    for step in context.steps:
        harness.request_advice(step, 25)
    harness.run_pass(0.0)


@given("an urgent step whose call is in flight at the first entry")
def _dispatch_urgent_call(context: Any) -> None:
    harness = context.harness
    context.step = harness.submit_step("urgent")
    harness.request_advice(context.step, 25)
    [context.call] = harness.run_pass(0.0)
    context.call_id = context.call.call_id
    assert context.call.entry_name == _ENTRIES[0]


@when("entry {entry_number:d} is removed")
def _remove_entry(context: Any, entry_number: int) -> None:
    harness = context.harness
    name = _ENTRIES[entry_number - 1]
    context.moved_steps = [call.step for call in harness.in_flight if call.entry_name == name]
    context.entitled_load = harness.dispatcher._entries.partition.entitled_load(
        call_length(0.2), harness.now
    )
    harness.dispatcher.set_advice_entries(
        [entry for entry in _ENTRIES[:4] if entry != name], harness.now
    )
    assert harness.dispatcher.has_requeued_calls


@then("the calls that it carried are made next, at once, and do not count twice towards the load")
def _check_calls_move(context: Any) -> None:
    harness = context.harness
    assert context.moved_steps
    [*others] = [call for call in harness.in_flight if call.step not in context.moved_steps]
    for call in others:
        harness.answer(call, call.call_id, AdviceOutcome.ANSWERED)
    started = harness.run_pass(0.0)
    assert [call.step for call in started[: len(context.moved_steps)]] == context.moved_steps
    assert (
        harness.dispatcher._entries.partition.entitled_load(call_length(0.2), harness.now)
        == context.entitled_load
    )


@when("the answer is {late:g} seconds late, and arrives before the call is made again")
def _answer_late(context: Any, late: float) -> None:
    harness = context.harness
    harness.now += context.call.seconds + late
    harness.dispatcher.set_advice_entries([], harness.now - 0.01)
    harness.dispatcher.set_advice_entries(_ENTRIES[:4], harness.now - 0.01)
    harness.answer(context.call, context.call_id, AdviceOutcome.ANSWERED)


@then("the step has its tickets, and no further call is made")
def _check_tickets_stored(context: Any) -> None:
    harness = context.harness
    advice = harness.dispatcher.advice_for(context.step)
    assert advice.tickets
    assert not advice.has_open_calls
    assert harness.run_pass(0.02) == []


@then("the log records that the first entry was suspected and has recovered")
def _check_log_events(context: Any) -> None:
    harness = context.harness
    step = harness.submit_step("urgent")
    harness.request_advice(step, 25)
    [call] = harness.run_pass(0.0)
    call_id, name = call.call_id, call.entry_name
    harness.run_pass(0.98)
    harness.run_pass(0.02)
    harness.answer(call, call_id, AdviceOutcome.ANSWERED)
    events = [(event.event, event.fields["advisor"]) for event in harness.log_events]
    assert events[-2:] == [("advisor_doubted", name), ("advisor_regained", name)], events


@when(
    "the second entry answers no calls for {seconds:d} seconds, while {rate:d} pairs of urgent"
    " steps arrive per second"
)
def _run_with_silent_entry(context: Any, seconds: int, rate: int) -> None:
    harness = context.harness
    context.submitted_at = {}
    for _number in range(seconds * rate):
        for _pair_member in range(2):
            step = harness.submit_step("urgent")
            context.submitted_at[step.job.job_id] = harness.now
            harness.request_advice(step, 25)
        harness.run(1.0 / rate, failing_entry=_ENTRIES[1])
    harness.run(1.0)


@then("the second entry carried at most {count:d} calls")
def _check_few_calls(context: Any, count: int) -> None:
    called = [name for _call, name in context.harness.sent_calls if name == _ENTRIES[1]]
    assert 2 <= len(called) <= count, len(called)


@then("every urgent step got an answer within {seconds:g} seconds")
def _check_all_answered(context: Any, seconds: float) -> None:
    answer_times = context.harness.answered_at
    waits = [answer_times.get(name, float("inf")) - at for name, at in context.submitted_at.items()]
    assert max(waits) <= seconds, max(waits)


@when("the first entry rejects calls as busy for {seconds:d} seconds, and then answers")
def _run_with_busy_entry(context: Any, seconds: int) -> None:
    harness = context.harness
    context.step = harness.submit_step("gang")
    harness.request_advice(context.step, 25)
    harness.run(float(seconds), failing_entry=_ENTRIES[0], outcome="busy")
    harness.run(6.0)


@then(
    "between {minimum:d} and {maximum:d} calls about the step were made, and the step has its"
    " answer"
)
def _check_retries(context: Any, minimum: int, maximum: int) -> None:
    assert minimum <= len(context.harness.sent_calls) <= maximum, len(context.harness.sent_calls)
    assert context.step.job.job_id in context.harness.answered_at


@when("one of the queued steps is placed, one exceeds its tenant's quota and one expires")
def _make_calls_unneeded(context: Any) -> None:
    harness = context.harness
    waiting = [call.progress for call in harness.dispatcher._queue]
    context.unneeded = placed, over_quota, expired = waiting[3], waiting[5], waiting[7]
    _mark_placed(placed)
    over_quota.set_over_quota(True, harness.now)
    expired.due_at -= 1_000.0
    for call in harness.dispatcher._queue:
        call.rank_valid_until = harness.now
    sent_count = len(harness.sent_calls)
    for call in harness.in_flight:
        harness.answer(call, call.call_id, AdviceOutcome.ANSWERED)
    harness.run(5.0)
    context.sent_calls = harness.dispatched_calls[sent_count:]


@then("no call is made about these three steps, and calls are made about all others")
def _check_unneeded_not_called(context: Any) -> None:
    called = {call.step for call in context.sent_calls}
    assert not called & {step.key for step in context.unneeded}
    assert len(called) == len(context.steps) - 2 - len(context.unneeded)


@when("a new holder creates its dispatcher and all steps request advice again")
def _replace_dispatcher(context: Any) -> None:
    previous = context.harness
    context.harness = harness = _DispatcherHarness(4, True)
    harness.now = previous.now
    context.submitted_at = {step.job.job_id: harness.now for step in context.steps}
    for step in context.steps:
        harness.request_advice(step, 25)
    harness.run(3.0)


@then("every step has its answer within {seconds:d} seconds")
def _check_steps_answered(context: Any, seconds: int) -> None:
    _check_all_answered(context, float(seconds))


@when("the holder stalls for {seconds:g} seconds, makes a pass, and then reads the answer")
def _stall_holder(context: Any, seconds: float) -> None:
    harness = context.harness
    assert harness.run_pass(seconds) == []
    harness.answer(context.call, context.call_id, AdviceOutcome.ANSWERED)


@then("no entry was suspected")
def _check_no_entry_suspected(context: Any) -> None:
    assert context.harness.log_events == []


@when("the steps turn out to take {times:g} times their estimate, and a pass is made")
def _learn_work(context: Any, times: float) -> None:
    harness = context.harness
    for step in context.steps:
        step.job.work = WorkModel("patient")
        harness.request_advice(step, 25)
    harness.run_pass(0.02)
    for step in context.steps:
        step.job.work.factor = times
    harness.run_pass(0.02)


@then("every queued call has the current rank of its step")
def _check_ranks(context: Any) -> None:
    waiting = list(context.harness.dispatcher._queue)
    assert len(waiting) > 10
    for call in waiting:
        assert call.rank == context.harness.rank_of(call.progress), call


@when("the step is forgotten, its advice is requested again, and the previous call is {outcome}")
def _forget_step(context: Any, outcome: str) -> None:
    harness = context.harness
    previous = harness.in_flight[-1]
    harness.dispatcher.forget(context.step.key)
    harness.request_advice(context.step, 25)
    context.call_id = harness.dispatcher._last_call_id
    harness.run_pass(0.0)
    harness.answer(
        previous, previous.call_id, AdviceOutcome("answered" if outcome == "answered" else "busy")
    )


@then("the step's newest call is still in flight, and no further call is made")
def _check_last_call_stands(context: Any) -> None:
    harness = context.harness
    assert harness.dispatcher.advice_for(context.step).has_open_calls
    harness.request_advice(context.step, 25)
    harness.run_pass(0.02)
    assert harness.dispatcher._last_call_id == context.call_id
    assert [call.call_id for call in harness.dispatcher._in_flight.values()] == [context.call_id]


@when(
    "the first entry rejects calls as busy for {seconds:d} seconds, while one urgent step"
    " arrives per second, and then answers"
)
def _run_long_outage(context: Any, seconds: int) -> None:
    harness = context.harness
    for _number in range(seconds):
        context.step = harness.submit_step("urgent")
        harness.request_advice(context.step, 25)
        harness.run(1.0, failing_entry=_ENTRIES[0], outcome="busy")
    context.recovered_at = harness.now
    harness.run(1.0)


@then(
    "the call about the last step is made again, and its answer arrives within {seconds:g} seconds"
)
def _check_last_step_answered(context: Any, seconds: float) -> None:
    harness = context.harness
    answered_at = harness.answered_at[context.step.job.job_id]
    assert context.recovered_at < answered_at <= context.recovered_at + seconds, answered_at
