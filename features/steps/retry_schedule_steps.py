"""Steps about the times at which refused jobs are to be retried, without a cluster."""

from __future__ import annotations

from collections import Counter
from typing import Any

from behave import then, when
from hypothesis import given as drawn
from hypothesis import strategies as st

from onyxspoke.core.admission.arrivals import RankClass
from onyxspoke.core.admission.retry_schedule import (
    NON_URGENT_WORK_PER_SECOND,
    WORK_PER_SECOND,
    RetrySchedule,
)


@when("retry slots are reserved for random amounts of work and random minimum waits")
def _reserve_random_slots(context: Any) -> None:
    context.worst = 0.0
    context.compared = 0
    refusals = st.lists(
        st.tuples(st.floats(0.001, 5.0), st.floats(0.0, 30.0), st.booleans(), st.floats(0.0, 0.5)),
        max_size=60,
    )

    @drawn(refusals)
    def check(items: list[Any]) -> None:
        seconds = RetrySchedule()
        now = 100.0
        told: Counter[int] = Counter()
        for work, wait_seconds, is_urgent, pause in items:
            now += pause
            most = WORK_PER_SECOND if is_urgent else NON_URGENT_WORK_PER_SECOND
            slot = seconds.reserve_slot("service", work, wait_seconds, most, now)
            if slot is not None:
                assert slot.retry_seconds >= 1
                assert slot.retry_seconds + 1e-9 >= wait_seconds
                assert slot.second == int(now + slot.retry_seconds)
                told[slot.second] += 1
                for second, _work in slot.reservations:
                    context.worst = max(context.worst, seconds.reserved_work_in("service", second))
                context.compared += 1

    check()


@then("no second has more work reserved than it can serve")
def _within_second(context: Any) -> None:
    assert context.compared > 0
    assert context.worst <= WORK_PER_SECOND + 1e-9, context.worst


@when("retry slots are reserved for random jobs of several ranks, with and without later ranks")
def _reserve_by_rank(context: Any) -> None:
    context.pairs = []
    context.worst_by_class = context.worst = 0.0
    context.compared = 0
    refusals = st.lists(
        st.tuples(
            st.floats(0.001, 2.0),
            st.floats(0.0, 10.0),
            st.tuples(st.booleans(), st.integers(0, 2)),
            st.floats(0.0, 0.5),
        ),
        max_size=60,
    )

    @drawn(refusals, st.tuples(st.booleans(), st.integers(0, 2)))
    def check(items: list[Any], last_class: tuple[bool, int]) -> None:
        both, without = RetrySchedule(), RetrySchedule()
        now = 100.0
        reserved: Counter[tuple[int, tuple[bool, int]]] = Counter()
        for work, wait_seconds, rank_class, pause in items:
            now += pause
            slots = [
                schedule.reserve_slot(
                    "service",
                    work,
                    wait_seconds,
                    WORK_PER_SECOND,
                    now,
                    rank_class=RankClass(*rank_class),
                )
                for schedule in (both, without)
                if schedule is both or rank_class <= last_class
            ]
            if len(slots) > 1:
                context.pairs.append(slots)
            for second, amount in slots[0].reservations if slots[0] is not None else ():
                reserved[second, rank_class] += amount
                context.compared += 1
                context.worst = max(context.worst, both.reserved_work_in("service", second))
        context.worst_by_class = max([context.worst_by_class, *reserved.values()])

    check()


@then("each job gets the same retry time with and without jobs of later ranks")
def _same_retry_times(context: Any) -> None:
    assert any(slot is not None and slot.retry_seconds > 10 for slot, _other in context.pairs)
    different = [pair for pair in context.pairs if pair[0] != pair[1]]
    assert not different, different[0]


@then("no second has more work of one rank reserved than it can serve")
def _within_second_by_rank(context: Any) -> None:
    assert context.compared > 0
    assert context.worst_by_class <= WORK_PER_SECOND + 1e-9, context.worst_by_class
