"""Steps about properties that hold for every admission decision, without a cluster."""

from __future__ import annotations

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
from onyxspoke.core.admission.late_job_margins import LateJobMargins, LateWork
from onyxspoke.core.admission.load_view import LoadView
from onyxspoke.core.admission.load_view_builder import LoadInputs, build_load_view
from onyxspoke.core.admission.queue_closures import MAX_NOTICE_TENANTS, ClosureScope, QueueClosures
from onyxspoke.core.admission.refused_jobs import MAX_REFUSED_JOBS, RefusedJobs, job_hash
from onyxspoke.core.admission.retry_schedule import (
    WORK_PER_SECOND,
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
#: Half of the processors of the cell.
QUOTA_PROCESSORS = 12
#: Random cells: runs (worker, processors, priority, with checkpoints) and waiting steps (tasks,
#: processors, priority, age in seconds).
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
    scene: _Scene,
    job: tuple[int, int, int, bool],
    tenant: str = "",
    stretch: float = 2.0,
    *,
    checkpointing: bool = False,
) -> SubmittedJob:
    tasks, processors, priority, beyond = job
    queue = QueuePolicy(
        name=f"queue-{priority}", service=SERVICE, priority=priority, stretch=stretch
    )
    step = StepSpec(
        task_count=tasks,
        processors_milli=processors * 1_000,
        memory_mb=100,
        estimated_ms=2_000,
        checkpointing=checkpointing,
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


@when("jobs are submitted to random cells")
def _decide_random_cells(context: Any) -> None:
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


@then("no job is refused that idle workers could run")
def _idle_workers_not_refused(context: Any) -> None:
    refused = [item for item in context.decided if item[1] and not item[2]]
    assert not refused, refused[0]
    assert any(item[1] for item in context.decided)
    assert not all(item[2] for item in context.decided)


@when("urgent jobs are submitted to random quotas with and without less urgent work")
def _decide_urgent_in_quota(context: Any) -> None:
    context.decided = []
    quota = ResourceVector(QUOTA_PROCESSORS * 1_000, 0, 0)
    tenant = TenantPolicy(name="small", weight=1.0, quota=quota)
    policy = PolicySet(tenants={"small": tenant})

    @drawn(RUNS, WAITING, st.integers(1, 6), st.integers(1, 8))
    def check(runs: list[Any], waiting: list[Any], tasks: int, processors: int) -> None:
        job = (tasks, processors, 1, False)
        urgent_runs = [item for item in runs if item[2] <= 1]
        later = [(index, wide, priority, True) for index, wide, priority, _ in runs if priority > 1]
        verdicts = []
        for cell_runs, cell_waiting in (
            (urgent_runs + later, waiting),
            (urgent_runs, [item for item in waiting if item[2] <= 1]),
        ):
            scene = _make_cell(cell_runs, cell_waiting)
            for step in scene.steps.values():
                step.job.spec = msgspec.structs.replace(step.job.spec, tenant="small")
            hand_in = _job(scene, job, "small")
            verdict = AdmissionDecider().decide(hand_in, _view(scene, policy), scene.now)
            verdicts.append(isinstance(verdict, Admit))
        context.decided.append(verdicts)

    check()


@when("urgent jobs are submitted to random cells with and without less urgent work")
def _decide_urgent(context: Any) -> None:
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


@then("each job that is admitted without the less urgent work is also admitted with it")
def _less_urgent_ignored(context: Any) -> None:
    pushed = [item for item in context.decided if item[1] and not item[0]]
    assert not pushed, len(pushed)
    assert [False, False] in context.decided


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
    line.work_before(_CountedRank(False, False, 1, Lateness.ON_TIME, count / 3, 0))
    return _CountedRank.compared


@when("a rank is looked up in queues of {few:d} and of {many:d} steps")
def _count_lookups(context: Any, few: int, many: int) -> None:
    context.counts = (_count_comparisons(few), _count_comparisons(many))


@then("the longer queue needs at most {more:d} more comparisons")
def _few_comparisons(context: Any, more: int) -> None:
    few, many = context.counts
    assert few > 0 and many - few <= more, context.counts


@given("a cell with busy workers and {seconds:d} seconds of waiting work")
def _full_cell(context: Any, seconds: int) -> None:
    runs = [(index, PROCESSORS, 1, False) for index in range(WORKERS)]
    # Each waiting task of 2 s takes a whole worker.
    waiting = [(WORKERS * seconds // 2, PROCESSORS, 1, 0)]
    context.scene = _make_cell(runs, waiting)


@given(
    "a cell whose workers run less urgent tasks {with_or_without} checkpoints,"
    " and {seconds:d} seconds of waiting work"
)
def _preemptible_cell(context: Any, with_or_without: str, seconds: int) -> None:
    checkpointing = with_or_without == "with"
    runs = [(index, PROCESSORS, 2, checkpointing) for index in range(WORKERS)]
    context.scene = _make_cell(runs, [(WORKERS * seconds // 2, PROCESSORS, 1, 0)])


@given("a cell whose workers are busy for {seconds:d} seconds, without waiting work")
def _busy_cell(context: Any, seconds: int) -> None:
    context.scene = _make_cell([(index, PROCESSORS, 1, False) for index in range(WORKERS)], [])
    _set_estimates_of_runs(context, seconds)


@given("these tasks take {seconds:d} seconds")
def _set_estimates_of_runs(context: Any, seconds: int) -> None:
    for worker in context.scene.table.workers.values():
        for run in worker.runs.values():
            step = run.task.step
            step.spec = msgspec.structs.replace(step.spec, estimated_ms=seconds * 1_000)


@given("one more worker with {processors:d} processors that is not reconciled yet")
def _unreconciled_worker(context: Any, processors: int) -> None:
    scene = context.scene
    scene.add_worker("not-heard", processors)
    scene.table.workers["not-heard"].contact = WorkerContact.UNRECONCILED
    scene.table.note_availability(scene.now)


@then("a job that is wider than all other workers together is admitted")
def _wider_than_reconciled(context: Any) -> None:
    verdict = _decide(context, True, job=(1, WORKERS * PROCESSORS + 1, 1, False))
    assert isinstance(verdict, Admit), verdict


@when("runs with random shares of the capacity end")
def _release_shares(context: Any) -> None:
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


@then("the whole capacity is free after the last of them")
def _all_capacity_free(context: Any) -> None:
    assert len(context.free_after) > 10
    assert all(seconds == last for seconds, last in context.free_after), context.free_after


@given(
    "a cell whose workers are busy for 2 seconds, and a late job that must start right after that"
)
def _cell_with_late_job(context: Any) -> None:
    runs = [(index, PROCESSORS, 1, False) for index in range(WORKERS)]
    # The waiting job must start within 2 s, so any more work before it makes it expire.
    context.scene = _make_cell(runs, [(1, PROCESSORS, 1, 8)])


@given("a late job that can wait {margin:g} seconds longer than the work before it takes")
def _late_job_margin(context: Any, margin: float) -> None:
    work_before = 3.0
    late_work = LateWork(slack_seconds=work_before + margin, work_share_seconds=0.5)
    context.margins = LateJobMargins([late_work], work_before, lambda work: work)


@then("one more second of work {effect} it expire")
def _more_work(context: Any, effect: str) -> None:
    assert context.margins.any_expires_after(1.0) == (effect == "makes")


@given("a cell with idle workers and {seconds:d} seconds of waiting work")
def _idle_cell_with_waiting_work(context: Any, seconds: int) -> None:
    context.scene = _make_cell([], [(WORKERS * seconds // 2, PROCESSORS, 1, 0)])


@when("less urgent jobs {traits} checkpoints that need all workers are admitted to it")
def _admit_less_urgent(context: Any, traits: str) -> None:
    context.view = _view(context.scene)
    checkpointing = traits == "with"
    for _ in range(WORKERS):
        job = _job(context.scene, (1, PROCESSORS, 2, False), checkpointing=checkpointing)
        context.view.add(job)


@then('an urgent job that needs a whole worker is "{outcome}" in the same view')
def _decide_in_same_view(context: Any, outcome: str) -> None:
    job = _job(context.scene, (1, PROCESSORS, 1, False))
    verdict = AdmissionDecider().decide(job, context.view, context.scene.now)
    found = "admitted" if isinstance(verdict, Admit) else verdict.reason.value
    assert found == outcome, verdict


@given("a waiting job of one processor with an estimate of {seconds:d} seconds")
def _excessive_estimate(context: Any, seconds: int) -> None:
    step = context.scene.add_step("odd", 1, 1, 1)
    step.spec = msgspec.structs.replace(step.spec, estimated_ms=seconds * 1_000)


@when("tasks are known to take {times:d} times their estimates")
def _longer_durations(context: Any, times: int) -> None:
    def expected(*args: Any, **_named: Any) -> DurationEstimate:
        seconds = times * args[3] / 1_000.0
        return DurationEstimate(seconds, seconds, evidence=100.0)

    patch = mock.patch.object(DurationEstimator, "expected", expected)
    patch.start()
    context.add_cleanup(patch.stop)


def _decide(context: Any, is_entitled: bool, policy: PolicySet | None = None, **traits: Any) -> Any:
    scene = context.scene
    job = _job(scene, traits.pop("job", (1, 1, 1, not is_entitled)), **traits)
    return AdmissionDecider().decide(job, _view(scene, policy), scene.now)


@then('a job with an estimate of 2 seconds, {share} its tenant\'s share, is "{outcome}"')
def _check_outcome(context: Any, share: str, outcome: str) -> None:
    verdict = _decide(context, share == "within")
    found = "admitted" if isinstance(verdict, Admit) else verdict.reason.value
    assert found == outcome, verdict


@then("a job with {tasks:d} tasks that each need a whole worker is admitted")
def _wide_job_admitted(context: Any, tasks: int) -> None:
    verdict = _decide(context, True, job=(tasks, PROCESSORS, 1, False))
    assert isinstance(verdict, Admit), verdict


@then("a job that can never fit its tenant's quota is refused")
def _exceeds_quota(context: Any) -> None:
    tenant = TenantPolicy(name="small", weight=1.0, quota=ResourceVector(2_000, 0, 0))
    policy = PolicySet(tenants={"small": tenant})
    verdict = _decide(context, True, policy, job=(1, 4, 1, False), tenant="small")
    assert not isinstance(verdict, Admit)
    assert verdict.reason is RefusalReason.TOO_LATE


@then("a job that fits no present worker is admitted while the workers are idle")
def _no_worker_large_enough(context: Any) -> None:
    context.scene = _make_cell([], [])
    for processors in (PROCESSORS + 1, WORKERS * PROCESSORS + 1):
        assert isinstance(_decide(context, True, job=(1, processors, 1, False)), Admit)


@given("{count:d} refused jobs, more than are remembered")
def _many_refused(context: Any, count: int) -> None:
    scene = _make_cell([], [])
    refused_jobs = context.refused_jobs = RefusedJobs()
    job = _job(scene, (1, 1, 1, False))
    for number in range(count):
        refused_jobs.refuse(job_hash("", str(number)), job, 0.01, 1.0, WORK_PER_SECOND, scene.now)
    context.now = scene.now


@then("only {count:d} of them are remembered, and the first is forgotten")
def _bounded_memory(context: Any, count: int) -> None:
    assert len(context.refused_jobs) == count == MAX_REFUSED_JOBS
    assert context.refused_jobs.find(job_hash("", "0")) is None


@then("the work reserved for missed retries is released")
def _reservations_released(context: Any) -> None:
    context.refused_jobs.release_missed(context.now + 300.0)
    assert context.refused_jobs.retry_schedule.reserved_work(SERVICE, context.now) == 0.0
    assert not list(context.refused_jobs.expected_retries(context.now + 300.0))


@given("{count:d} refused jobs that are not retried")
def _not_retried(context: Any, count: int) -> None:
    _many_refused(context, count)
    context.expires_at = max(item.expires_at for item in context.refused_jobs._jobs.values())


@when("the jobs have expired and their retry times have passed")
def _expire_jobs(context: Any) -> None:
    retry_at = max(item.retry_at for item in context.refused_jobs._jobs.values())
    context.refused_jobs.release_missed(max(context.expires_at, retry_at) + 10.0)


@then("none of them is remembered")
def _none_remembered(context: Any) -> None:
    assert len(context.refused_jobs) == 0


@given("a cell with idle workers")
def _idle_cell(context: Any) -> None:
    context.scene = _make_cell([], [])


@when("a job with {tasks:d} tasks is refused by it")
def _refuse_wide_job(context: Any, tasks: int) -> None:
    context.wide = _job(context.scene, (tasks, 1, 1, False))
    context.verdict = AdmissionDecider().decide(
        context.wide, _view(context.scene), context.scene.now
    )
    assert isinstance(context.verdict, Refuse)


@then("its queue is closed for 0 seconds, and a narrow job is admitted")
def _open_for_narrow_job(context: Any) -> None:
    assert isinstance(_decide(context, True), Admit)
    assert closed_seconds(context.wide, context.verdict) <= 0.0


@given("a quota overdrawn by half, with runs of half the quota that end after 1 and 2 seconds")
def _overdrawn_quota(context: Any) -> None:
    context.curve = FreeCapacityCurve(-0.5, [(1.0, 0.5), (2.0, 0.5)])


@then("half of the quota is free after 2 seconds, and nothing before")
def _free_after_excess(context: Any) -> None:
    assert context.curve.seconds_until_free(0.5) == 2.0
    assert context.curve.seconds_until_free(0.01) == 2.0
    assert context.curve.seconds_until(0.5) == 3.0


@given("a queue that is closed for {count:d} tenants")
def _close_for_tenants(context: Any, count: int) -> None:
    context.closures = QueueClosures()
    for number in range(count):
        context.closures.note_refused(
            ClosureScope("queue", f"tenant-{number}"), 5.0 + number, 100.0
        )


@then("its notice names 20 of them, and lasts no longer than any of their closures")
def _check_notice(context: Any) -> None:
    [notice] = context.closures.notices(100.0)
    assert len(notice.tenants) == MAX_NOTICE_TENANTS
    shortest = min(int(name.rpartition("-")[2]) for name in notice.tenants)
    assert notice.closed_seconds <= min(30.0, 5.0 + shortest)


@then("no queue is closed after the longest closure has ended")
def _all_reopened(context: Any) -> None:
    assert context.closures.notices(100.0 + 31.0) == ()
    assert context.closures.pop_reopened(100.0 + 31.0)
    assert context.closures.pop_reopened(100.0 + 32.0) == []
