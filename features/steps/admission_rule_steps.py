"""Steps about what holds for every decision on a hand-in, without a cluster."""

from __future__ import annotations

from collections import Counter
from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import strategies as st
from placement_steps import SERVICE, _Scene

from onyxspoke.core.admission.arrivals import ArrivalMeter
from onyxspoke.core.admission.decider import AdmissionDecider, closed_seconds
from onyxspoke.core.admission.free_capacity_curve import FreeCapacityCurve
from onyxspoke.core.admission.load_view import LoadView
from onyxspoke.core.admission.load_view_builder import LoadInputs, build_load_view
from onyxspoke.core.admission.queue_closures import MAXIMUM_TENANTS, ClosureScope, QueueClosures
from onyxspoke.core.admission.refused_jobs import MAX_REFUSED_JOBS, RefusedJobs, job_hash
from onyxspoke.core.admission.retry_schedule import (
    NON_URGENT_WORK_PER_SECOND,
    WORK_PER_SECOND,
    RetrySchedule,
)
from onyxspoke.core.admission.submitted_job import SubmittedJob, describe_submitted_job
from onyxspoke.core.admission.verdict import Admit, RefusalReason, Refuse
from onyxspoke.core.admission.waiting_work import WaitingWork, WaitingWorkQueue
from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.estimates.expected import DurationEstimate
from onyxspoke.core.jobs.model import JobSpec, QueuePolicy, ResourceVector, StepSpec
from onyxspoke.core.jobs.policy import PolicySet
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.queue_order import Lateness, StepRank
from onyxspoke.core.placement.workers import WorkerContact
from onyxspoke.core.tenants.policy import TenantPolicy

WORKERS = 3
PROCESSORS = 8
#: What runs (worker, processors, priority, with checkpoints) and what waits (tasks, processors,
#: priority, seconds ago) in drawn cells.
RUNS = st.lists(
    st.tuples(st.integers(0, WORKERS - 1), st.integers(1, 6), st.integers(0, 3), st.booleans()),
    max_size=12,
)
WAITING = st.lists(
    st.tuples(st.integers(1, 40), st.integers(1, 8), st.integers(0, 3), st.integers(0, 20)),
    max_size=12,
)
JOBS = st.tuples(st.integers(1, 6), st.integers(1, 8), st.integers(0, 3), st.booleans())


def _make_cell(runs: list[Any], waiting: list[Any]) -> _Scene:
    scene = _Scene()
    for index in range(WORKERS):
        scene.add_worker(f"w{index}", PROCESSORS)
    for number, (index, processors, priority, checkpointing) in enumerate(runs):
        worker = scene.table.workers[f"w{index}"]
        if processors * 1_000 > worker.free_processors:
            continue
        step = scene.add_step(f"run-{number}", 1, processors, priority, checkpointing=checkpointing)
        run = scene.start(step, 0, worker)
        run.move_to(RunState.RUNNING)
        run.confirmed_at = scene.now
    for number, (tasks, processors, priority, age) in enumerate(waiting):
        scene.add_step(f"waits-{number}", tasks, processors, priority, float(age))
    scene.table.note_availability(scene.now)
    return scene


def _view(scene: _Scene, policy: PolicySet | None = None) -> LoadView:
    steps = [step for step in scene.steps.values() if step.waiting]
    load = LoadInputs(
        steps, scene.table, policy or PolicySet(), DurationEstimator(), 0.4, ArrivalMeter()
    )
    return build_load_view(load, scene.now)


def _job(
    scene: _Scene, job: tuple[int, int, int, bool], tenant: str = "", stretch: float = 2.0
) -> SubmittedJob:
    tasks, processors, priority, beyond = job
    queue = QueuePolicy(
        name=f"queue-{priority}", service=SERVICE, priority=priority, stretch=stretch
    )
    step = StepSpec(
        task_count=tasks, processors_milli=processors * 1_000, memory_mb=100, estimated_ms=2_000
    )
    spec = JobSpec(
        job_id="new",
        queue=queue,
        payload="",
        steps=(step,),
        tenant=tenant,
        is_over_share=beyond,
    )
    return describe_submitted_job(spec, queue, DurationEstimator(), scene.now)


@when("jobs are handed in to drawn cells")
def _drawn_cells(context: Any) -> None:
    context.decided = []

    @drawn(RUNS, WAITING, JOBS)
    def check(runs: list[Any], waiting: list[Any], job: tuple[int, int, int, bool]) -> None:
        scene = _make_cell(runs, waiting)
        hand_in = _job(scene, job)
        verdict = AdmissionDecider().decide(hand_in, _view(scene), scene.now)
        room = sum(
            worker.free_processors // (job[1] * 1_000) for worker in scene.table.workers.values()
        )
        context.decided.append((job, room >= job[0], isinstance(verdict, Admit), (runs, waiting)))

    check()


@then("none is refused that workers which stand free could run")
def _free_room(context: Any) -> None:
    refused = [item for item in context.decided if item[1] and not item[2]]
    assert not refused, refused[0]
    assert any(item[1] for item in context.decided)
    assert not all(item[2] for item in context.decided)


@when("urgent jobs are handed in to drawn cells with less urgent work and without")
def _urgent(context: Any) -> None:
    context.decided = []

    @drawn(RUNS, WAITING, st.integers(1, 6), st.integers(1, 8))
    def check(runs: list[Any], waiting: list[Any], tasks: int, processors: int) -> None:
        job = (tasks, processors, 1, False)
        urgent_runs = [item for item in runs if item[2] <= 1]
        # Later work runs only in what earlier work left, and gives way.
        later = [(index, wide, priority, True) for index, wide, priority, _ in runs if priority > 1]
        with_later = _make_cell(urgent_runs + later, waiting)
        without = _make_cell(urgent_runs, [item for item in waiting if item[2] <= 1])
        verdicts = [
            AdmissionDecider().decide(_job(scene, job), _view(scene), scene.now)
            for scene in (with_later, without)
        ]
        context.decided.append([isinstance(verdict, Admit) for verdict in verdicts])

    check()


@then("each is taken in the one where it is taken in the other")
def _same_verdict(context: Any) -> None:
    pushed = [item for item in context.decided if item[1] and not item[0]]
    assert not pushed, len(pushed)
    assert [False, False] in context.decided


@when("refused jobs are told when to come back, with drawn work and waits")
def _slots(context: Any) -> None:
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
                assert slot.wait >= 1
                assert slot.wait + 1e-9 >= wait_seconds
                assert slot.second == int(now + slot.wait)
                told[slot.second] += 1
                for second, _work in slot.parts:
                    context.worst = max(context.worst, seconds.reserved_work_in("service", second))
                context.compared += 1

    check()


@then("no second is kept for more work than is served in it")
def _served(context: Any) -> None:
    assert context.compared > 0
    assert context.worst <= WORK_PER_SECOND + 1e-9, context.worst


class _CountedRank(StepRank):
    compared = 0

    def __lt__(self, other: Any) -> bool:
        _CountedRank.compared += 1
        return tuple.__lt__(self, other)


def _count_comparisons(count: int) -> int:
    works = [
        WaitingWork(
            _CountedRank(False, False, 1, Lateness.ON_TIME, float(number), 0), 0.1, 1.0, 2.0
        )
        for number in range(count)
    ]
    line = WaitingWorkQueue(works, 8.0)
    _CountedRank.compared = 0
    line.ahead_of(_CountedRank(False, False, 1, Lateness.ON_TIME, count / 3, 0))
    return _CountedRank.compared


@when("a place is looked up in lines of {few:d} and of {many:d} steps")
def _look_up(context: Any, few: int, many: int) -> None:
    context.counts = (_count_comparisons(few), _count_comparisons(many))


@then("the longer line costs at most {more:d} comparisons more")
def _comparisons(context: Any, more: int) -> None:
    few, many = context.counts
    assert few > 0 and many - few <= more, context.counts


@given("a cell whose workers are all taken for {seconds:d} seconds by what waits")
def _full(context: Any, seconds: int) -> None:
    runs = [(index, PROCESSORS, 1, False) for index in range(WORKERS)]
    # Each waiting task of 2 s takes a whole worker.
    waiting = [(WORKERS * seconds // 2, PROCESSORS, 1, 0)]
    context.scene = _make_cell(runs, waiting)


@given("a cell whose workers are all taken for {seconds:d} seconds by what runs")
def _full_of_runs(context: Any, seconds: int) -> None:
    context.scene = _make_cell([(index, PROCESSORS, 1, False) for index in range(WORKERS)], [])
    for worker in context.scene.table.workers.values():
        for run in worker.runs.values():
            step = run.task.step
            step.spec = msgspec.structs.replace(step.spec, estimated_ms=seconds * 1_000)


@given("one more worker of {processors:d} processors that was not heard yet")
def _not_heard(context: Any, processors: int) -> None:
    scene = context.scene
    scene.add_worker("not-heard", processors)
    scene.table.workers["not-heard"].contact = WorkerContact.UNRECONCILED
    scene.table.note_availability(scene.now)


@then("a job that is wider than all other workers together is taken")
def _wider_than_heard(context: Any) -> None:
    verdict = _decide(context, True, job=(1, WORKERS * PROCESSORS + 1, 1, False))
    assert isinstance(verdict, Admit), verdict


@when("runs of drawn shares end")
def _shares_end(context: Any) -> None:
    context.free_after = []

    @drawn(st.lists(st.integers(1, 9), min_size=1, max_size=12))
    def check(parts: list[int]) -> None:
        total = sum(parts) + 1
        free = 1.0
        for part in parts:
            free -= part / total
        ends = [(1.0 + at, part / total) for at, part in enumerate(parts)]
        context.free_after.append(
            (FreeCapacityCurve(free, ends).seconds_until_free(1.0), len(parts))
        )

    check()


@then("all is free after the last of them")
def _all_free(context: Any) -> None:
    assert len(context.free_after) > 10
    assert all(seconds == last for seconds, last in context.free_after), context.free_after


@given(
    "a cell whose workers are taken for 2 seconds, and a late job that must begin as they are free"
)
def _late_jobs(context: Any) -> None:
    runs = [(index, PROCESSORS, 1, False) for index in range(WORKERS)]
    # It is to begin within 2 s, and can hardly: any more work before it is too much.
    context.scene = _make_cell(runs, [(1, PROCESSORS, 1, 8)])


@given("a job of one processor whose estimate is {seconds:d} seconds waits before it")
def _beyond_measure(context: Any, seconds: int) -> None:
    step = context.scene.add_step("odd", 1, 1, 1)
    step.spec = msgspec.structs.replace(step.spec, estimated_ms=seconds * 1_000)


@when("it is known that tasks take {times:d} times their estimates")
def _longer(context: Any, times: int) -> None:
    def expected(*args: Any, **_named: Any) -> DurationEstimate:
        seconds = times * args[3] / 1_000.0
        return DurationEstimate(seconds, seconds, evidence=100.0)

    patch = mock.patch.object(DurationEstimator, "expected", expected)
    patch.start()
    context.add_cleanup(patch.stop)


def _decide(context: Any, owed: bool, policy: PolicySet | None = None, **traits: Any) -> Any:
    scene = context.scene
    job = _job(scene, traits.pop("job", (1, 1, 1, not owed)), **traits)
    return AdmissionDecider().decide(job, _view(scene, policy), scene.now)


@then('a job of 12 seconds of use, {owed} its tenant, is "{outcome}"')
def _outcome(context: Any, owed: str, outcome: str) -> None:
    verdict = _decide(context, owed == "owed to")
    found = "taken" if isinstance(verdict, Admit) else verdict.reason.value
    assert found == outcome, verdict


@then("a job of a tenant whose quota never has room for it is refused")
def _too_wide(context: Any) -> None:
    tenant = TenantPolicy(name="small", weight=1.0, quota=ResourceVector(2_000, 0, 0))
    policy = PolicySet(tenants={"small": tenant})
    verdict = _decide(context, True, policy, job=(1, 4, 1, False), tenant="small")
    assert not isinstance(verdict, Admit)
    assert verdict.reason is RefusalReason.TOO_LATE


@then("one that no worker has room for today is decided as any other")
def _no_worker_yet(context: Any) -> None:
    context.scene = _make_cell([], [])
    for processors in (PROCESSORS + 1, WORKERS * PROCESSORS + 1):
        assert isinstance(_decide(context, True, job=(1, processors, 1, False)), Admit)


@given("{count:d} refused jobs of which the first comes back")
def _many_refused(context: Any, count: int) -> None:
    scene = _make_cell([], [])
    refused_jobs = context.refused_jobs = RefusedJobs()
    job = _job(scene, (1, 1, 1, False))
    for number in range(count):
        refused_jobs.refuse(job_hash("", str(number)), job, 0.01, 1.0, WORK_PER_SECOND, scene.now)
    context.now = scene.now


@then("no more are remembered than {count:d}, and the first counts as new")
def _bounded(context: Any, count: int) -> None:
    assert len(context.refused_jobs) == count == MAX_REFUSED_JOBS
    assert context.refused_jobs.find(job_hash("", "0")) is None


@then("what was kept for those who did not come is free again")
def _given_back(context: Any) -> None:
    context.refused_jobs.release_missed(context.now + 300.0)
    assert context.refused_jobs.retry_schedule.reserved_work(SERVICE, context.now) == 0.0
    assert not list(context.refused_jobs.expected_retries(context.now + 300.0))


@given("{count:d} refused jobs of which none comes back")
def _refused(context: Any, count: int) -> None:
    _many_refused(context, count)
    context.expires_at = max(item.expires_at for item in context.refused_jobs._refused.values())


@when("their last use and their seconds are over")
def _no_use(context: Any) -> None:
    due_at = max(item.due_at for item in context.refused_jobs._refused.values())
    context.refused_jobs.release_missed(max(context.expires_at, due_at) + 10.0)


@then("none of them is remembered")
def _forgotten(context: Any) -> None:
    assert len(context.refused_jobs) == 0


@given("a cell whose workers stand free")
def _free_cell(context: Any) -> None:
    context.scene = _make_cell([], [])


@when("a job of {tasks:d} tasks is refused there")
def _wide_refused(context: Any, tasks: int) -> None:
    context.wide = _job(context.scene, (tasks, 1, 1, False))
    context.verdict = AdmissionDecider().decide(
        context.wide, _view(context.scene), context.scene.now
    )
    assert isinstance(context.verdict, Refuse)


@then("its queue is closed for 0 seconds, as a narrow job of it is taken")
def _not_closed(context: Any) -> None:
    assert isinstance(_decide(context, True), Admit)
    assert closed_seconds(context.wide, context.verdict) <= 0.0


@given("a quota of which half too much is taken, and half ends after 1 and after 2 seconds")
def _overdrawn(context: Any) -> None:
    context.curve = FreeCapacityCurve(-0.5, [(1.0, 0.5), (2.0, 0.5)])


@then("half of it is free after 2 seconds, and none before")
def _made_up_for(context: Any) -> None:
    assert context.curve.seconds_until_free(0.5) == 2.0
    assert context.curve.seconds_until_free(0.01) == 2.0
    assert context.curve.seconds_until(0.5) == 3.0


@given("a queue that is closed for {count:d} tenants")
def _closed_for(context: Any, count: int) -> None:
    context.closings = QueueClosures()
    for number in range(count):
        context.closings.note_refused(
            ClosureScope("queue", f"tenant-{number}"), 5.0 + number, 100.0
        )


@then("its notice names 20 of them, and closes for as long as each of them is")
def _notice(context: Any) -> None:
    [notice] = context.closings.notices(100.0)
    assert len(notice.tenants) == MAXIMUM_TENANTS
    shortest = min(int(name.rpartition("-")[2]) for name in notice.tenants)
    assert notice.closed_seconds <= min(30.0, 5.0 + shortest)


@then("nothing is closed once the longest is over")
def _all_over(context: Any) -> None:
    assert context.closings.notices(100.0 + 31.0) == ()
    assert context.closings.pop_reopened(100.0 + 31.0)
    assert context.closings.pop_reopened(100.0 + 32.0) == []
