"""Steps about durations that are learned, over runs that are played in virtual time."""

from __future__ import annotations

import math
import random
import statistics
import sys
from collections.abc import Callable
from typing import Any

import msgspec
from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as drawn_from
from hypothesis import strategies as st
from placement_steps import _Scene

from onyxspoke.core.codes import OnyxspokeError, ResultCode
from onyxspoke.core.estimates.durations import Durations
from onyxspoke.core.estimates.record import (
    MAXIMUM_RECORD_BYTES,
    encode_estimates,
    restore_estimates,
)
from onyxspoke.core.estimates.report import describe_estimates
from onyxspoke.core.jobs.model import JobSpec, Needs, QueuePolicy, StepSpec
from onyxspoke.core.jobs.progress import JobProgress, StepProgress
from onyxspoke.core.jobs.states import JobState, RunEnd, RunState, TaskState
from onyxspoke.core.placement.queue_order import step_rank_of
from onyxspoke.core.placement.runs import GangRun, Run, is_stalled
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.shard.actions import Decision
from onyxspoke.core.shard.calls import SubmitCall
from onyxspoke.core.shard.context import ShardContext, ShardOptions
from onyxspoke.core.shard.estimates_keeper import EstimatesKeeper, restore_estimates_record
from onyxspoke.core.shard.load_options import LoadOptions
from onyxspoke.core.shard.log_records import ESTIMATES_KEY, ShardRecord
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.platform.ingress import decode_job
from onyxspoke.sim.explore_jobs import make_options
from onyxspoke.sim.job_cluster import JobCluster

TICK_SECONDS = 0.05
#: Between two lists of a worker's runs, and from an end to the list that has it.
LOOK_SECONDS = 0.3
LAG_SECONDS = 0.04
QUEUE = QueuePolicy(name="letters", service="service", stretch=2.0, target_latency_ms=1_000)
#: A forecast this near is as good as the buckets and the lag of ends allow.
NEAR = 0.16


class _Shop:
    """Workers that run tasks, and a holder that sees their progress and their ends."""

    def __init__(self, learns: bool = True) -> None:
        load = LoadOptions(learned_estimates=learns)
        self.context = ShardContext(ShardOptions(load=load), 1)
        self.keeper = EstimatesKeeper(self.context)
        self.now = 100.0
        self.random = random.Random(7)
        self.workers: dict[str, Worker] = {}
        self.slowness: dict[str, float] = {}
        self.times: dict[tuple[str, str], float] = {}
        self.tail = 0
        self.failing = 0
        self.runs: dict[Run, float] = {}
        self.ended: list[Run] = []
        self.told: list[Decision] = []
        self.most_told = 0
        self.count = 0
        self._looked_at = 0.0

    @property
    def durations(self) -> Durations:
        return self.context.durations

    def add_worker(self, name: str, kind: str = "", rack: str = "one") -> None:
        born = 1_000 + len(self.workers)
        record = WorkerRecord(
            worker_id=name,
            host="",
            port=0,
            service="service",
            zone="zone",
            capacity=Needs(64_000, 64_000, 0),
            kind=kind,
            rack=rack,
            born_ms=born,
        )
        self.workers[name] = worker = Worker(record, 0.0)
        worker.speed = self.durations.begin_life(name, born, kind, self.now)

    def start(
        self,
        tasks: int,
        seconds: float,
        tenant: str = "",
        queue: str = "letters",
        times: float | None = None,
        prepare: Callable[[Run], None] = lambda run: None,
        **traits: Any,
    ) -> StepProgress:
        """Begin a job whose tasks are dealt out over the workers."""
        self.count += 1
        step_spec = StepSpec(task_count=tasks, estimated_ms=round(seconds * 1_000), **traits)
        policy = msgspec.structs.replace(QUEUE, name=queue)
        spec = JobSpec(
            job_id=f"{self.count:016x}",
            queue=policy,
            payload="",
            steps=(step_spec,),
            tenant=tenant,
        )
        job = JobProgress(spec, self.now, self.durations.work_of(queue, tenant))
        [step] = job.begin_repetition(0, self.now)
        gang = GangRun(step, 1) if step_spec.gang else None
        names = list(self.workers)
        first = self.random.randrange(len(names))
        if times is None:
            times = self.times.get((queue, tenant), self.times.get((queue, ""), 1.0))
        for task in step.tasks:
            worker = self.workers[names[(first + task.index) % len(names)]]
            run = Run(task, 1, worker, self.now, gang)
            run.state = RunState.RUNNING
            run.ordered_at = run.confirmed_at = self.now
            prepare(run)
            work = seconds * times * (10.0 if self.random.randrange(100) < self.tail else 1.0)
            self.runs[run] = work
            run.usage = round(work * 1e6)
        return step

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += TICK_SECONDS
            for run in list(self.runs):
                self._advance(run)
            if self.now - self._looked_at >= LOOK_SECONDS:
                self._looked_at = self.now
                for run in self.runs:
                    self._look_at(run)
            self.keep()

    def keep(self) -> None:
        self.keeper.keep(self.now)
        told = [item for item in self.context.actions if isinstance(item, Decision)]
        self.told += told
        self.most_told = max(self.most_told, len(told))
        self.context.actions.clear()

    def _advance(self, run: Run) -> None:
        work = run.usage / 1e6
        self.runs[run] -= TICK_SECONDS / self.slowness.get(run.worker.worker_id, 1.0)
        if run.gang is not None:
            if all(self.runs.get(member, 0.0) <= 0.0 for member in run.gang.members):
                self._end(run, RunEnd.DONE)
        elif self.runs[run] <= 1e-9:
            self._end(run, RunEnd.DONE)
        elif self.runs[run] <= work / 2 and self.random.randrange(100) < self.failing:
            self._end(run, RunEnd.FAILED)
        elif self.runs[run] <= work / 2:
            run.usage = round(work * 1e6)

    def _end(self, run: Run, end: RunEnd) -> None:
        del self.runs[run]
        self.ended.append(run)
        self.durations.note_end(run, end, self.now + LAG_SECONDS)
        run.state = RunState.ENDED

    def _look_at(self, run: Run) -> None:
        work = run.usage / 1e6
        percent = min(100, int(100 * (1.0 - self.runs[run] / work)))
        run.listed_at = self.now
        if percent != run.percent:
            run.percent = percent
            run.moved_at = self.now
            self.durations.note_progress(run, self.now)

    def drain(self) -> None:
        while self.runs:
            self.pass_time(1.0)
        self.pass_time(1.0)

    def run_jobs(self, jobs: int, tasks: int, seconds: float, **how: Any) -> None:
        for _ in range(jobs):
            self.start(tasks, seconds, **how)
            self.pass_time(0.2)
        self.drain()

    def expected(self, seconds: float, tenant: str = "", worker: str = "") -> Any:
        return self.durations.expected("letters", tenant, seconds * 1_000, worker)


@given("{count:d} workers at work")
def _workers(context: Any, count: int) -> None:
    context.shop = _Shop()
    for number in range(count):
        context.shop.add_worker(f"w{number}")


@given("{count:d} workers at work, and nothing is to be learned")
def _workers_without(context: Any, count: int) -> None:
    context.shop = _Shop(learns=False)
    for number in range(count):
        context.shop.add_worker(f"w{number}")


@given('{count:d} workers of kind "{kind}" that take {times:g} times as long')
def _kind(context: Any, count: int, kind: str, times: float) -> None:
    for number in range(count):
        name = f"{kind}{number}"
        context.shop.add_worker(name, kind)
        context.shop.slowness[name] = times


@given('work of "{queue}" takes {times:g} times its estimate')
def _takes(context: Any, queue: str, times: float) -> None:
    context.shop.times[queue, ""] = times


@given('for "{tenant}" work of "{queue}" takes {times:g} times its estimate')
def _tenant_takes(context: Any, queue: str, tenant: str, times: float) -> None:
    context.shop.times[queue, tenant] = times


@given('"{worker}" takes {times:g} times as long as others')
def _slow(context: Any, worker: str, times: float) -> None:
    context.shop.slowness[worker] = times


@given("every second worker takes {times:g} times as long as others")
def _second_slow(context: Any, times: float) -> None:
    for name in list(context.shop.workers)[::2][:14]:
        context.shop.slowness[name] = times


@given("{count:d} of a hundred tasks take 10 times as long as they should")
def _tails(context: Any, count: int) -> None:
    context.shop.tail = count


@given("{count:d} of a hundred tasks fail halfway")
def _failures(context: Any, count: int) -> None:
    context.shop.failing = count


@when('{jobs:d} job of {tasks:d} tasks of "{queue}" is run, estimated at {seconds:g} seconds')
@when('{jobs:d} jobs of {tasks:d} tasks of "{queue}" are run, estimated at {seconds:g} seconds')
def _run(context: Any, jobs: int, tasks: int, queue: str, seconds: float) -> None:
    context.shop.run_jobs(jobs, tasks, seconds, queue=queue)


@when(
    '{jobs:d} jobs of "{tenant}" with {tasks:d} tasks of "{queue}" are run,'
    " estimated at {seconds:g} seconds"
)
def _run_tenant(
    context: Any, jobs: int, tasks: int, queue: str, tenant: str, seconds: float
) -> None:
    context.shop.run_jobs(jobs, tasks, seconds, queue=queue, tenant=tenant)


@when(
    '{jobs:d} jobs of {tasks:d} tasks of "{queue}" are run,'
    " every fourth taking {times:g} times its estimate of {seconds:g} seconds"
)
def _run_spread(
    context: Any, jobs: int, tasks: int, queue: str, times: float, seconds: float
) -> None:
    for number in range(jobs):
        context.shop.start(tasks, seconds, queue=queue, times=1.0 if number % 4 else times)
        context.shop.pass_time(0.2)
    context.shop.drain()


@when('{jobs:d} gangs of {tasks:d} tasks of "{queue}" are run, estimated at {seconds:g} seconds')
def _run_gangs(context: Any, jobs: int, tasks: int, queue: str, seconds: float) -> None:
    shop = context.shop
    # The queue is known by work that its other workers did.
    slow, shop.slowness = shop.slowness, {}
    shop.run_jobs(12, 1, seconds, queue=queue)
    shop.slowness = slow
    shop.run_jobs(jobs, tasks, seconds, queue=queue, gang=True)


def _resumed(run: Run) -> None:
    run.is_resumed = True


def _of_former_holder(run: Run) -> None:
    run.ordered_at = 0.0


def _paced(run: Run) -> None:
    run.pace_percent = 40


def _cancelled(run: Run) -> None:
    job = run.task.step.job
    job.state = JobState.CANCELLED
    job.spec = msgspec.structs.replace(job.spec, steps=())


SILENT_CASES: dict[str, dict[str, Any]] = {
    "resumed": {"prepare": _resumed},
    "started by a former holder": {"prepare": _of_former_holder},
    "with their data in another rack": {"preferred_rack": "elsewhere"},
    "of tasks that last": {"long_running": True},
    "at a pace of 40 percent": {"prepare": _paced},
    "with an estimate of 0 seconds": {},
    "with an estimate of 90 seconds": {},
    "beside a pause of the holder": {},
    "on workers out of reach": {},
    "after their jobs were cancelled": {"prepare": _cancelled},
    "over racks as gangs of one": {"gang": True, "same_rack": True},
}


@when('{jobs:d} jobs of {tasks:d} tasks of "letters" are run, {case}')
def _run_silent(context: Any, jobs: int, tasks: int, case: str) -> None:
    shop = context.shop
    how = SILENT_CASES[case]
    seconds = 1.0
    if case.startswith("with an estimate"):
        seconds = float(case.split()[4])
        # Both take 4 seconds in fact: an absent estimate, and one 20 times too high and more.
        how = {"times": 4.0 / seconds if seconds else 0.0}
    if case == "over racks as gangs of one":
        for name, worker in shop.workers.items():
            worker.record = msgspec.structs.replace(worker.record, rack=name)
    for _ in range(jobs):
        shop.start(tasks, seconds, **how)
        shop.pass_time(0.5)
        if case == "beside a pause of the holder":
            shop.context.paused_until = shop.now
        shop.pass_time(0.5)
        if case == "on workers out of reach":
            shop._looked_at = shop.now + 60.0
    shop.drain()
    assert len(shop.ended) == jobs * tasks


@when("a job of {tasks:d} tasks estimated at {seconds:g} seconds has run for {passed:g} seconds")
def _half_run(context: Any, tasks: int, seconds: float, passed: float) -> None:
    context.shop.start(tasks, seconds)
    context.shop.pass_time(passed)


@when('"{worker}" takes {times:g} times as long from now on, and {seconds:g} seconds more pass')
def _turns_slow(context: Any, worker: str, times: float, seconds: float) -> None:
    context.shop.slowness[worker] = times
    context.shop.pass_time(seconds)


@when("an hour passes")
def _pass(context: Any) -> None:
    context.shop.now += 3_600.0
    context.shop.keep()


@when("{minutes:d} minutes pass")
def _pass_minutes(context: Any, minutes: int) -> None:
    context.shop.now += 60.0 * minutes
    context.shop.keep()


@when('{minutes:d} minutes pass, "{tenant}" hands in a job, and {more:d} minutes more pass')
def _pass_beside_job(context: Any, minutes: int, tenant: str, more: int) -> None:
    _pass_minutes(context, minutes)
    context.shop.durations.work_of("letters", tenant)
    _pass_minutes(context, more)


@when('"{worker}" starts again')
def _starts_again(context: Any, worker: str) -> None:
    shop = context.shop
    kind = shop.workers[worker].record.kind
    speed = shop.durations.begin_life(worker, 9_999, kind, shop.now)
    shop.workers[worker].speed = speed
    shop.now += 1.0
    shop.keep()


@then('no task on "{worker}" has ended')
def _none_ended(context: Any, worker: str) -> None:
    assert all(run.worker.worker_id != worker for run in context.shop.ended)


@then(
    'a task of "letters" for "{tenant}" estimated at {seconds:g} seconds'
    " is expected to take {times:g} times that"
)
def _expected_tenant(context: Any, tenant: str, seconds: float, times: float) -> None:
    expected = context.shop.expected(seconds, tenant).median_seconds
    assert abs(expected / (times * seconds) - 1.0) < NEAR, expected


@then(
    'a task of "letters" estimated at {seconds:g} seconds is expected to take {times:g} times that'
)
def _expected(context: Any, seconds: float, times: float) -> None:
    _expected_tenant(context, "", seconds, times)


@then('a task of "letters" estimated at {seconds:g} seconds is expected to take exactly that')
def _expected_exactly(context: Any, seconds: float) -> None:
    expected = context.shop.expected(seconds)
    assert expected.median_seconds == seconds, expected


@then("its upper quantile is {times:g} times the estimate")
def _upper(context: Any, times: float) -> None:
    expected = context.shop.expected(2.0)
    assert abs(expected.upper_seconds / (2.0 * times) - 1.0) < NEAR, expected
    assert expected.median_seconds == 2.0, expected


def _handed_in(amount: float) -> JobSpec:
    step = {"count": 1, "cpu": 1_000, "estimatedMs": amount}
    body = {"spec": "plan", "steps": [step, {**step, "dependsOn": [0]}]}
    return decode_job("00000000000000a1", QUEUE, msgspec.json.encode(body))


@then("a job whose steps are estimated at {amount:g} milliseconds each is taken and ranked")
def _is_ranked(context: Any, amount: float) -> None:
    work = context.shop.durations.work_of("letters", "")
    assert work.factor > 2.0
    job = JobProgress(_handed_in(amount), context.shop.now, work)
    rank = step_rank_of(job.begin_repetition(0, context.shop.now)[0], QUEUE, context.shop.now)
    assert math.isfinite(rank.latest_start), rank
    assert not rank.is_expired


@then("a job whose steps are estimated at {amount:g} milliseconds each is refused with a code")
def _is_refused(context: Any, amount: float) -> None:
    try:
        _handed_in(amount)
    except OnyxspokeError as error:
        assert error.code is ResultCode.MALFORMED_REQUEST
        return
    raise AssertionError(amount)


def _still_run(context: Any, estimate: float) -> Run:
    step = context.shop.start(1, estimate)
    [run] = [run for run in context.shop.runs if run.task.step is step]
    return run


@then("a run of it stands still after {seconds:g} seconds without progress, and not before")
def _stands_still(context: Any, seconds: float) -> None:
    run = _still_run(context, 400.0)
    assert not is_stalled(run, run.moved_at + seconds - 0.01)
    assert is_stalled(run, run.moved_at + seconds + 0.01)


@then(
    "a run estimated at {estimate:g} seconds may be without progress for more than"
    " {seconds:g} seconds"
)
def _may_stand(context: Any, estimate: float, seconds: float) -> None:
    run = _still_run(context, estimate)
    assert not is_stalled(run, run.moved_at + seconds)


@then("work of a queue and worker that nobody knows is expected to take its estimate")
def _unknown(context: Any) -> None:
    expected = context.shop.durations.expected("nobody", "knows", 1_500.0, "w-none")
    assert expected == (1.5, 1.5, 0.0), expected


@then(
    'a waiting step of "letters" estimated at {seconds:g} seconds'
    " has a chain of about {chain:g} and an objective of about {objective:g} seconds"
)
def _rank(context: Any, seconds: float, chain: float, objective: float) -> None:
    shop = context.shop
    step = shop.start(1, seconds)
    rank = step_rank_of(step, step.job.spec.queue, shop.now)
    slack = rank.latest_start - shop.now
    assert abs(step.expected_chain_seconds / chain - 1.0) < NEAR
    assert abs(step.job.expected_objective_seconds / objective - 1.0) < NEAR
    assert abs(slack / (objective - chain) - 1.0) < NEAR, slack


@then("every worker counts as usual")
def _all_usual(context: Any) -> None:
    _all_usual_but(context, "")


@then('every worker but "{name}" counts as usual')
def _all_usual_but(context: Any, name: str) -> None:
    speeds = [worker.speed for worker in context.shop.workers.values()]
    unlike = {item.worker_id: item.factor for item in speeds if item.factor != 1.0}
    unlike.pop(name, None)
    assert not unlike, unlike


@then('"{worker}" is expected to take between {low:g} and {high:g} times as long as others')
def _factor(context: Any, worker: str, low: float, high: float) -> None:
    factor = context.shop.workers[worker].speed.factor
    assert low <= factor <= high, factor
    alone = context.shop.durations.expected("nobody", "", 1_000.0, worker)
    assert alone.median_seconds == factor, alone


@then("nothing is to be recorded, and nothing was told")
def _nothing(context: Any) -> None:
    assert not context.shop.keeper.collect_records()
    assert not context.shop.told


@then('the change of "letters" was told with what it rests on')
def _was_told(context: Any) -> None:
    lines = [dict(line.fields) for line in context.shop.told if line.event == "work_factor"]
    assert any(line["queue"] == "letters" and line["evidence"] >= 8 for line in lines), lines
    assert any(line.event == "worker_speed" for line in context.shop.told)


@then("never more than {count:d} changes were told at once")
def _told_at_once(context: Any, count: int) -> None:
    assert 0 < context.shop.most_told <= count, context.shop.most_told


def _succeed(context: Any, change: Callable[[bytes], bytes]) -> None:
    former = context.shop
    data = encode_estimates(former.durations, former.now)
    shop = context.shop = _Shop()
    record = ShardRecord(ESTIMATES_KEY, change(data))
    restore_estimates_record(shop.context, [record], shop.now)
    for name, worker in former.workers.items():
        shop.add_worker(name, worker.record.kind)
        assert shop.workers[name].speed.born_ms == worker.speed.born_ms
    shop.keep()


def _damaged(fault: str, data: bytes) -> bytes:
    if fault == "cut off":
        return data[: len(data) // 2]
    if fault == "garbage":
        return b"\xc1garbage"
    decoded = msgspec.msgpack.decode(data)
    if fault == "of another version":
        decoded[0] += 1
    else:
        decoded[1][0][2] = {99: 10}
    return msgspec.msgpack.encode(decoded)


@when("a successor reads the record")
def _successor(context: Any) -> None:
    _succeed(context, lambda data: data)


@when("a successor reads the record, which is {fault}")
def _damaged_successor(context: Any, fault: str) -> None:
    _succeed(context, lambda data: _damaged(fault, data))


@then("the successor has told once that the record can't be read")
def _told_unreadable(context: Any) -> None:
    assert [line.event for line in context.shop.told] == ["record_unreadable"]


@when("jobs of {queues:d} queues and {tenants:d} tenants have ended, and all workers are known")
def _fill(context: Any, queues: int, tenants: int) -> None:
    shop = context.shop
    source = random.Random(3)
    for number in range(tenants):
        work = shop.durations.work_of(f"queue-{number % queues}", f"tenant-{number}")
        for _ in range(60):
            shop.durations._note_work(work, source.gauss(0.0, 2.0), 3.0, shop.now)
    for worker in shop.workers.values():
        worker.speed.note(source.gauss(0.0, 1.0), 5.0, shop.now)
    shop.now += 1.0
    shop.keep()


@then("{queues:d} queues and {tenants:d} tenants are remembered, of at most {most:d} bytes each")
def _memory(context: Any, queues: int, tenants: int, most: int) -> None:
    durations = context.shop.durations
    works = [*durations.queues.values(), *durations.tenants.values()]
    assert (len(durations.queues), len(durations.tenants)) == (queues, tenants)
    for work in works:
        parts = [work, work.sketch, work.sketch._counts, work.queue, work.tenant]
        figures = [getattr(work, name) for name in ("factor", "upper_factor", "seen_at")]
        assert sum(map(sys.getsizeof, parts + figures)) <= most
    assert len(durations.speeds.workers) == len(context.shop.workers)
    assert len(describe_estimates(durations, context.shop.now).works) == len(works)


@then("the record has at most {most:d} bytes")
def _record_size(context: Any, most: int) -> None:
    data = encode_estimates(context.shop.durations, context.shop.now)
    assert most == MAXIMUM_RECORD_BYTES
    assert most / 2 < len(data) <= most, len(data)


@then("a successor can read it")
def _readable(context: Any) -> None:
    data = encode_estimates(context.shop.durations, context.shop.now)
    again = Durations()
    restore_estimates(again, data, 5.0)
    assert again.queues or again.tenants


# A cluster


@given("a cluster whose tasks take {times:g} times their estimate")
def _cluster(context: Any, times: float) -> None:
    seconds = 0.5 * times
    work = WorkOptions(seed=4, shortest_seconds=seconds, longest_seconds=seconds + 0.01)
    context.cluster = cluster = JobCluster(make_options(4, work, shards=1))
    context.recorded = []
    append = cluster.store.append

    def watched(item: Any) -> Any:
        keys = [record for record in item.records if record.key == ESTIMATES_KEY]
        context.recorded += [(item.epoch, item.sequence, record) for record in keys]
        return append(item)

    cluster.store.append = watched
    context.cluster.start()
    context.cluster.run(2.0)


@when("{count:d} of its jobs have ended")
def _cluster_jobs(context: Any, count: int) -> None:
    cluster = context.cluster
    queue = cluster.configuration.configuration.policy.queues["normal"]
    step = StepSpec(task_count=1, processors_milli=100, memory_mb=10, estimated_ms=500)
    for number in range(count):
        job = JobSpec(job_id=f"{number:016x}", queue=queue, payload="p", steps=(step,))
        cluster.pool.specs[job.job_id] = job
        cluster.audit.handle_submitted(job)
        node = next(iter(cluster.nodes.values()))
        cluster.call(node, job.job_id, SubmitCall(job), lambda _reply: None)
        cluster.run(0.25)
    cluster.run(8.0)


def _holder(cluster: Any) -> Any:
    [holder] = [node for node in cluster.nodes.values() if node.is_holding]
    return holder


def _held_durations(cluster: Any) -> Durations:
    return _holder(cluster).node.seats[0].scheduler.context.durations


@then(
    "its holder expects {times:g} times the estimate,"
    " and appended at most one record in {pause:d} seconds"
)
def _cluster_expects(context: Any, times: float, pause: int) -> None:
    expected = _held_durations(context.cluster).expected("normal", "", 500.0)
    assert abs(expected.median_seconds / (0.5 * times) - 1.0) < NEAR, expected
    sent = {(epoch, sequence): record for epoch, sequence, record in context.recorded}
    seconds = context.cluster.time.now()
    assert 1 <= len(sent) <= 1 + seconds / pause, (len(sent), seconds)
    assert all(len(record.value) <= MAXIMUM_RECORD_BYTES for record in sent.values())


@when("its holder is killed")
def _kill(context: Any) -> None:
    context.cluster.kill_node(_holder(context.cluster).name)
    context.cluster.run(6.0)


@then("its next holder expects {times:g} times the estimate before any task has ended")
def _next_expects(context: Any, times: float) -> None:
    expected = _held_durations(context.cluster).expected("normal", "", 500.0)
    assert abs(expected.median_seconds / (0.5 * times) - 1.0) < NEAR, expected
    assert not context.cluster.audit.findings, context.cluster.audit.findings


# Decisions

#: A history is long, and shrinking one takes minutes.
WITHOUT_SHRINKING = (Phase.explicit, Phase.generate)

_jobs = st.lists(
    st.tuples(
        st.integers(0, 2),  # queue, by priority
        st.integers(1, 6),  # tasks
        st.integers(1, 6),  # processors
        st.integers(3, 40),  # estimate, in tenths of a second
        st.booleans(),  # a gang
        st.integers(0, 12),  # tenths of a second until the next
        st.integers(5, 30),  # what it takes, in tenths of its estimate
    ),
    min_size=4,
    max_size=40,
)


class _Played:
    """A placer, its workers and a history; what started where and when."""

    def __init__(self, durations: Durations, unlike: bool, lag: float) -> None:
        self.scene = _Scene()
        self.durations = durations
        self.lag = lag
        self.slowness: dict[str, float] = {}
        self.runs: dict[Run, float] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        for number in range(6):
            name = f"w{number}"
            self.scene.add_worker(name, 10)
            self.scene.table.workers[name].speed = durations.begin_life(name, 0, "", 0.0)
            self.slowness[name] = 2.5 if unlike and number % 3 == 0 else 1.0

    def hand_in(self, number: int, drawn: tuple[int, int, int, int, bool, int, int]) -> None:
        priority, tasks, processors, tenths, is_gang, _pause, takes = drawn
        scene = self.scene
        step = scene.add_step(
            f"j{number}", tasks, processors, priority, gang=is_gang, checkpointing=not is_gang
        )
        spec = msgspec.structs.replace(step.spec, estimated_ms=tenths * 100)
        job = step.job
        job_spec = msgspec.structs.replace(job.spec, steps=(spec,))
        work = self.durations.work_of(job.spec.queue.name, "")
        made = JobProgress(job_spec, scene.now, work)
        made.committed_state = JobState.QUEUED
        scene.steps[f"j{number}"] = made.begin_repetition(0, scene.now)[0]
        self.takes[made.job_id] = takes / 10.0

    def play(self, history: list[Any], holds: bool) -> list[tuple[float, str, int, str]]:
        self.takes: dict[str, float] = {}
        scene = self.scene
        next_at = scene.now
        waiting = list(enumerate(history))
        end = scene.now + 60.0
        while scene.now < end and (waiting or self.runs):
            scene.now = round(scene.now + TICK_SECONDS, 6)
            while waiting and next_at <= scene.now:
                number, drawn = waiting.pop(0)
                self.hand_in(number, drawn)
                next_at += drawn[5] / 10.0
            self._pass(holds)
        return self.starts

    def _pass(self, holds: bool) -> None:
        scene = self.scene
        for run in list(self.runs):
            self._advance(run, holds)
        self.durations.keep(scene.now)
        before = {name: set(worker.runs) for name, worker in scene.table.workers.items()}
        scene.make_pass()
        for name, worker in scene.table.workers.items():
            for key in worker.runs.keys() - before[name]:
                self._begin(worker.runs[key])
        for eviction in scene.placer.take_evictions():
            for run in eviction.preemption.runs:
                if run not in self.runs:
                    continue
                self.starts.append((scene.now, run.task.step.job.job_id, -1, run.worker.worker_id))
                self._end(run)
                run.task.move_to(TaskState.WAITING)

    def _begin(self, run: Run) -> None:
        scene = self.scene
        run.move_to(RunState.RUNNING)
        run.ordered_at = run.confirmed_at = scene.now
        self.runs[run] = 0.0
        step = run.task.step
        if step.spec.gang:
            gangs = [task.run.gang for task in step.tasks if task.run and task.run.gang]
            run.gang = gangs[0] if gangs else GangRun(step, 1)
            run.gang.members.append(run)
        where = run.worker.worker_id
        self.starts.append((scene.now, step.job.job_id, run.task.index, where))

    def _advance(self, run: Run, holds: bool) -> None:
        if run not in self.runs:
            return
        step = run.task.step
        times = 1.0 if holds else self.takes[step.job.job_id]
        whole = step.spec.estimated_ms / 1_000.0 * times * self.slowness[run.worker.worker_id]
        self.runs[run] += TICK_SECONDS
        percent = min(100, int(100 * self.runs[run] / whole))
        if percent // 10 != run.percent // 10 and percent < 100:
            run.percent = percent
            run.moved_at = run.listed_at = self.scene.now
            self.durations.note_progress(run, self.scene.now)
        if self.runs[run] >= whole + self.lag - 1e-9:
            self.durations.note_end(run, RunEnd.DONE, self.scene.now)
            self._end(run)
            run.task.move_to(TaskState.DONE)

    def _end(self, run: Run) -> None:
        del self.runs[run]
        run.move_to(RunState.ENDED)
        run.worker.remove(run)
        run.task.run = None
        self.scene.table.note_gain(run.worker)


@when("{count:d} random histories of sound work are played with learning and without")
def _alike(context: Any, count: int) -> None:
    context.pairs = []

    @settings(max_examples=count, phases=WITHOUT_SHRINKING)
    @drawn_from(_jobs, st.sampled_from([0.0, 0.02, 0.05]))
    def check(history: list[Any], lag: float) -> None:
        learning = Durations()
        first = _Played(learning, False, lag).play(history * 3, holds=True)
        second = _Played(Durations(False), False, lag).play(history * 3, holds=True)
        known = sum(work.is_known for work in learning.queues.values())
        context.pairs.append((first, second, known))
        assert first == second, (first, second)

    check()
    known_count = sum(known for _first, _second, known in context.pairs)
    assert known_count > count, known_count


@when("{count:d} random histories of unlike work are played with the part off and without learning")
def _off(context: Any, count: int) -> None:
    context.pairs = []

    @settings(max_examples=count, phases=WITHOUT_SHRINKING)
    @drawn_from(_jobs)
    def check(history: list[Any]) -> None:
        first = _Played(Durations(False), True, 0.02).play(history * 3, holds=False)
        naive = _Played(_Unaware(False), True, 0.02).play(history * 3, holds=False)
        context.pairs.append((first, naive, 0))
        assert first == naive

    check()


class _Unaware(Durations):
    """The naive version: told of nothing."""

    def note_progress(self, run: Run, now: float) -> None:
        pass

    def note_end(self, run: Run, end: RunEnd, now: float) -> None:
        pass

    def keep(self, now: float) -> bool:
        return False


@then("the same tasks started on the same workers at the same times")
def _same_starts(context: Any) -> None:
    assert all(first == second for first, second, _known in context.pairs)
    starts = sum(len(first) for first, _second, _known in context.pairs)
    assert starts > 1_000, starts


# How far forecasts are off


OFF = {"tenth": 0.1, "half": 0.5, "sound": 1.0, "double": 1.9}


@given("a cell of {count:d} unlike workers and four queues whose estimates are off by up to 0.9")
def _unlike_cell(context: Any, count: int) -> None:
    shop = context.shop = _Shop()
    for number in range(count):
        name = f"w{number}"
        shop.add_worker(name)
        shop.slowness[name] = 2.0 if number % 5 == 0 else 1.0
    shop.tail = 2


@when("{jobs:d} jobs are run in it")
def _run_in_cell(context: Any, jobs: int) -> None:
    shop = context.shop
    began: list[tuple[str, Run, float, float]] = []
    source = random.Random(11)
    for number in range(jobs):
        queue = source.choice(list(OFF))
        seconds = source.uniform(2.0, 6.0)
        times = OFF[queue] * math.exp(source.gauss(0.0, 0.15))

        def note(run: Run, queue: str = queue, seconds: float = seconds) -> None:
            worker = run.worker.worker_id
            learned = shop.durations.expected(queue, "", seconds * 1_000.0, worker)
            began.append((queue, run, seconds, learned.median_seconds))

        late = number >= jobs // 2
        step = shop.start(source.randint(1, 12), seconds, queue=queue, times=times)
        if late:
            for run in [run for run in shop.runs if run.task.step is step]:
                note(run)
        shop.pass_time(0.25)
    shop.drain()
    context.errors = {queue: ([], []) for queue in OFF}
    for queue, run, estimate, learned in began:
        actual = run.usage / 1e6 * shop.slowness[run.worker.worker_id]
        before, after = context.errors[queue]
        before.append(abs(math.log(actual / estimate)))
        after.append(abs(math.log(actual / learned)))


@then("forecasts are off by less than half as much as callers' estimates, and in no queue by more")
def _errors(context: Any) -> None:
    befores = [error for before, _after in context.errors.values() for error in before]
    afters = [error for _before, after in context.errors.values() for error in after]
    figures = {
        queue: (round(statistics.mean(before), 3), round(statistics.mean(after), 3))
        for queue, (before, after) in context.errors.items()
    }
    assert statistics.mean(afters) < 0.5 * statistics.mean(befores), figures
    assert all(after <= before for before, after in figures.values()), figures
