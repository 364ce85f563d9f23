"""Steps about durations that are learned, over runs that are played in virtual time."""

from __future__ import annotations

import math
import random
import sys
from collections.abc import Callable
from typing import Any

import msgspec
from behave import given, then, when
from estimates_shop import NEAR, QUEUE, Shop

from onyxspoke.core.codes import OnyxspokeError, ResultCode
from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.estimates.record import (
    MAXIMUM_RECORD_BYTES,
    encode_estimates,
    restore_estimates,
)
from onyxspoke.core.estimates.report import describe_estimates
from onyxspoke.core.jobs.model import JobSpec
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.jobs.states import JobState
from onyxspoke.core.placement.queue_order import step_rank_in_queue
from onyxspoke.core.placement.runs import Run, is_stalled
from onyxspoke.core.shard.estimates_manager import restore_estimates_record
from onyxspoke.core.shard.log_records import ESTIMATES_KEY, ShardRecord
from onyxspoke.platform.ingress import decode_job


@given("{count:d} workers at work")
def _workers(context: Any, count: int) -> None:
    context.shop = Shop()
    for number in range(count):
        context.shop.add_worker(f"w{number}")


@given("{count:d} workers at work, and nothing is to be learned")
def _workers_without(context: Any, count: int) -> None:
    context.shop = Shop(learns=False)
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
            shop.context.stall_ended_at = shop.now
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
    context.shop.durations.work_model_for("letters", tenant)
    _pass_minutes(context, more)


@when('"{worker}" starts again')
def _starts_again(context: Any, worker: str) -> None:
    shop = context.shop
    kind = shop.workers[worker].record.kind
    speed = shop.durations.begin_incarnation(worker, 9_999, kind, shop.now)
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
    work = context.shop.durations.work_model_for("letters", "")
    assert work.factor > 2.0
    job = JobProgress(_handed_in(amount), context.shop.now, work)
    rank = step_rank_in_queue(job.begin_repetition(0, context.shop.now)[0], QUEUE, context.shop.now)
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
    assert not is_stalled(run, run.progressed_at + seconds - 0.01)
    assert is_stalled(run, run.progressed_at + seconds + 0.01)


@then(
    "a run estimated at {estimate:g} seconds may be without progress for more than"
    " {seconds:g} seconds"
)
def _may_stand(context: Any, estimate: float, seconds: float) -> None:
    run = _still_run(context, estimate)
    assert not is_stalled(run, run.progressed_at + seconds)


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
    rank = step_rank_in_queue(step, step.job.spec.queue, shop.now)
    slack = rank.latest_start - shop.now
    assert abs(step.expected_remaining_path_seconds / chain - 1.0) < NEAR
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
    shop = context.shop = Shop()
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
        work = shop.durations.work_model_for(f"queue-{number % queues}", f"tenant-{number}")
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
    again = DurationEstimator()
    restore_estimates(again, data, 5.0)
    assert again.queues or again.tenants
