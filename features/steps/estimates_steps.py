"""Steps about durations that are learned from simulated runs."""

from __future__ import annotations

import math
import random
import sys
from collections.abc import Callable
from typing import Any

import msgspec
from behave import given, then, when
from estimates_simulation import QUEUE, RELATIVE_TOLERANCE, EstimatesSimulation

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
    context.simulation = EstimatesSimulation()
    for number in range(count):
        context.simulation.add_worker(f"w{number}")


@given("{count:d} workers at work, with learning disabled")
def _workers_without(context: Any, count: int) -> None:
    context.simulation = EstimatesSimulation(learns=False)
    for number in range(count):
        context.simulation.add_worker(f"w{number}")


@given('{count:d} workers of kind "{kind}" that take {times:g} times as long')
def _kind(context: Any, count: int, kind: str, times: float) -> None:
    for number in range(count):
        name = f"{kind}{number}"
        context.simulation.add_worker(name, kind)
        context.simulation.slowdown_factors[name] = times


@given('work of "{queue}" takes {times:g} times its estimate')
def _takes(context: Any, queue: str, times: float) -> None:
    context.simulation.times[queue, ""] = times


@given('for "{tenant}" work of "{queue}" takes {times:g} times its estimate')
def _tenant_takes(context: Any, queue: str, tenant: str, times: float) -> None:
    context.simulation.times[queue, tenant] = times


@given('"{worker}" takes {times:g} times as long as others')
def _slow(context: Any, worker: str, times: float) -> None:
    context.simulation.slowdown_factors[worker] = times


@given("every second worker takes {times:g} times as long as others")
def _second_slow(context: Any, times: float) -> None:
    for name in list(context.simulation.workers)[::2][:14]:
        context.simulation.slowdown_factors[name] = times


@given("{count:d} of a hundred tasks take 10 times as long as they should")
def _tails(context: Any, count: int) -> None:
    context.simulation.long_task_percent = count


@given("{count:d} of a hundred tasks fail halfway")
def _failures(context: Any, count: int) -> None:
    context.simulation.failing_percent = count


@when('{jobs:d} job of {tasks:d} tasks of "{queue}" is run, estimated at {seconds:g} seconds')
@when('{jobs:d} jobs of {tasks:d} tasks of "{queue}" are run, estimated at {seconds:g} seconds')
def _run(context: Any, jobs: int, tasks: int, queue: str, seconds: float) -> None:
    context.simulation.run_jobs(jobs, tasks, seconds, queue=queue)


@when(
    '{jobs:d} jobs of "{tenant}" with {tasks:d} tasks of "{queue}" are run,'
    " estimated at {seconds:g} seconds"
)
def _run_tenant(
    context: Any, jobs: int, tasks: int, queue: str, tenant: str, seconds: float
) -> None:
    context.simulation.run_jobs(jobs, tasks, seconds, queue=queue, tenant=tenant)


@when(
    '{jobs:d} jobs of {tasks:d} tasks of "{queue}" are run,'
    " every fourth taking {times:g} times its estimate of {seconds:g} seconds"
)
def _run_spread(
    context: Any, jobs: int, tasks: int, queue: str, times: float, seconds: float
) -> None:
    for number in range(jobs):
        context.simulation.start(tasks, seconds, queue=queue, times=1.0 if number % 4 else times)
        context.simulation.pass_time(0.2)
    context.simulation.drain()


@when('{jobs:d} gangs of {tasks:d} tasks of "{queue}" are run, estimated at {seconds:g} seconds')
def _run_gangs(context: Any, jobs: int, tasks: int, queue: str, seconds: float) -> None:
    simulation = context.simulation
    # The queue's factor is learned first, while all workers have the same speed.
    slow, simulation.slowdown_factors = simulation.slowdown_factors, {}
    simulation.run_jobs(12, 1, seconds, queue=queue)
    simulation.slowdown_factors = slow
    simulation.run_jobs(jobs, tasks, seconds, queue=queue, gang=True)


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


EXCLUDED_CASES: dict[str, dict[str, Any]] = {
    "resumed": {"prepare": _resumed},
    "started by a previous holder": {"prepare": _of_former_holder},
    "with their data in another rack": {"preferred_rack": "elsewhere"},
    "of long-running tasks": {"long_running": True},
    "at a pace of 40 percent": {"prepare": _paced},
    "with an estimate of 0 seconds": {},
    "with an estimate of 90 seconds": {},
    "during pauses of the holder": {},
    "on unreachable workers": {},
    "after their jobs were cancelled": {"prepare": _cancelled},
    "as same-rack gangs on two racks": {"gang": True, "same_rack": True},
}


@when('{jobs:d} jobs of {tasks:d} tasks of "letters" are run, {case}')
def _run_excluded(context: Any, jobs: int, tasks: int, case: str) -> None:
    simulation = context.simulation
    options = EXCLUDED_CASES[case]
    seconds = 1.0
    if case.startswith("with an estimate"):
        seconds = float(case.split()[4])
        # The tasks take 4 seconds in both cases: without an estimate, and with one over 20 times
        # too high.
        options = {"times": 4.0 / seconds if seconds else 0.0}
    if case == "as same-rack gangs on two racks":
        for name, worker in simulation.workers.items():
            worker.record = msgspec.structs.replace(worker.record, rack=name)
    for _ in range(jobs):
        simulation.start(tasks, seconds, **options)
        simulation.pass_time(0.5)
        if case == "during pauses of the holder":
            simulation.context.stall_ended_at = simulation.now
        simulation.pass_time(0.5)
        if case == "on unreachable workers":
            simulation._polled_at = simulation.now + 60.0
    simulation.drain()
    assert len(simulation.ended) == jobs * tasks


@when("a job of {tasks:d} tasks estimated at {seconds:g} seconds has run for {passed:g} seconds")
def _half_run(context: Any, tasks: int, seconds: float, passed: float) -> None:
    context.simulation.start(tasks, seconds)
    context.simulation.pass_time(passed)


@when('"{worker}" takes {times:g} times as long from now on, and {seconds:g} seconds more pass')
def _turns_slow(context: Any, worker: str, times: float, seconds: float) -> None:
    context.simulation.slowdown_factors[worker] = times
    context.simulation.pass_time(seconds)


@when("an hour passes")
def _pass(context: Any) -> None:
    context.simulation.now += 3_600.0
    context.simulation.tick()


@when("{minutes:d} minutes pass")
def _pass_minutes(context: Any, minutes: int) -> None:
    context.simulation.now += 60.0 * minutes
    context.simulation.tick()


@when('{minutes:d} minutes pass, "{tenant}" submits a job, and {more:d} minutes more pass')
def _pass_beside_job(context: Any, minutes: int, tenant: str, more: int) -> None:
    _pass_minutes(context, minutes)
    context.simulation.durations.work_model_for("letters", tenant)
    _pass_minutes(context, more)


@when('"{worker}" starts again')
def _starts_again(context: Any, worker: str) -> None:
    simulation = context.simulation
    kind = simulation.workers[worker].record.kind
    speed = simulation.durations.begin_incarnation(worker, 9_999, kind, simulation.now)
    simulation.workers[worker].speed = speed
    simulation.now += 1.0
    simulation.tick()


@then('no task on "{worker}" has ended')
def _none_ended(context: Any, worker: str) -> None:
    assert all(run.worker.worker_id != worker for run in context.simulation.ended)


@then(
    'a task of "letters" for "{tenant}" estimated at {seconds:g} seconds'
    " is expected to take {times:g} times that"
)
def _expected_tenant(context: Any, tenant: str, seconds: float, times: float) -> None:
    expected = context.simulation.expected(seconds, tenant).median_seconds
    assert abs(expected / (times * seconds) - 1.0) < RELATIVE_TOLERANCE, expected


@then(
    'a task of "letters" estimated at {seconds:g} seconds is expected to take {times:g} times that'
)
def _expected(context: Any, seconds: float, times: float) -> None:
    _expected_tenant(context, "", seconds, times)


@then('a task of "letters" estimated at {seconds:g} seconds is expected to take exactly that')
def _expected_exactly(context: Any, seconds: float) -> None:
    expected = context.simulation.expected(seconds)
    assert expected.median_seconds == seconds, expected


@then("its upper quantile is {times:g} times the estimate")
def _upper(context: Any, times: float) -> None:
    expected = context.simulation.expected(2.0)
    assert abs(expected.upper_seconds / (2.0 * times) - 1.0) < RELATIVE_TOLERANCE, expected
    assert expected.median_seconds == 2.0, expected


def _decode_submitted(amount: float) -> JobSpec:
    step = {"count": 1, "cpu": 1_000, "estimatedMs": amount}
    body = {"spec": "plan", "steps": [step, {**step, "dependsOn": [0]}]}
    return decode_job("00000000000000a1", QUEUE, msgspec.json.encode(body))


@then("a job whose steps are estimated at {amount:g} milliseconds each is taken and ranked")
def _is_ranked(context: Any, amount: float) -> None:
    work = context.simulation.durations.work_model_for("letters", "")
    assert work.factor > 2.0
    job = JobProgress(_decode_submitted(amount), context.simulation.now, work)
    rank = step_rank_in_queue(
        job.begin_repetition(0, context.simulation.now)[0], QUEUE, context.simulation.now
    )
    assert math.isfinite(rank.latest_start), rank
    assert not rank.is_expired


@then("a job whose steps are estimated at {amount:g} milliseconds each is refused with a code")
def _is_refused(context: Any, amount: float) -> None:
    try:
        _decode_submitted(amount)
    except OnyxspokeError as error:
        assert error.code is ResultCode.MALFORMED_REQUEST
        return
    raise AssertionError(amount)


def _start_run(context: Any, estimate: float) -> Run:
    step = context.simulation.start(1, estimate)
    [run] = [run for run in context.simulation.runs if run.task.step is step]
    return run


@then("a run of it counts as stalled after {seconds:g} seconds without progress, and not before")
def _counts_as_stalled(context: Any, seconds: float) -> None:
    run = _start_run(context, 400.0)
    assert not is_stalled(run, run.progressed_at + seconds - 0.01)
    assert is_stalled(run, run.progressed_at + seconds + 0.01)


@then(
    "a run estimated at {estimate:g} seconds may be without progress for more than"
    " {seconds:g} seconds"
)
def _may_lack_progress(context: Any, estimate: float, seconds: float) -> None:
    run = _start_run(context, estimate)
    assert not is_stalled(run, run.progressed_at + seconds)


@then("work of an unknown queue and worker is expected to take its estimate")
def _unknown(context: Any) -> None:
    expected = context.simulation.durations.expected("nobody", "knows", 1_500.0, "w-none")
    assert expected == (1.5, 1.5, 0.0), expected


@then(
    'a waiting step of "letters" estimated at {seconds:g} seconds'
    " has a chain of about {chain:g} and an objective of about {objective:g} seconds"
)
def _rank(context: Any, seconds: float, chain: float, objective: float) -> None:
    simulation = context.simulation
    step = simulation.start(1, seconds)
    rank = step_rank_in_queue(step, step.job.spec.queue, simulation.now)
    slack = rank.latest_start - simulation.now
    assert abs(step.expected_remaining_path_seconds / chain - 1.0) < RELATIVE_TOLERANCE
    assert abs(step.job.expected_objective_seconds / objective - 1.0) < RELATIVE_TOLERANCE
    assert abs(slack / (objective - chain) - 1.0) < RELATIVE_TOLERANCE, slack


@then("every worker has a speed factor of 1")
def _all_factors_one(context: Any) -> None:
    _all_factors_one_but(context, "")


@then('every worker but "{name}" has a speed factor of 1')
def _all_factors_one_but(context: Any, name: str) -> None:
    speeds = [worker.speed for worker in context.simulation.workers.values()]
    unlike = {item.worker_id: item.factor for item in speeds if item.factor != 1.0}
    unlike.pop(name, None)
    assert not unlike, unlike


@then('"{worker}" is expected to take between {low:g} and {high:g} times as long as others')
def _factor(context: Any, worker: str, low: float, high: float) -> None:
    factor = context.simulation.workers[worker].speed.factor
    assert low <= factor <= high, factor
    alone = context.simulation.durations.expected("nobody", "", 1_000.0, worker)
    assert alone.median_seconds == factor, alone


@then("no record is due, and nothing was logged")
def _nothing(context: Any) -> None:
    assert not context.simulation.keeper.collect_records()
    assert not context.simulation.logged_lines


@then('the change of "letters" was logged with its evidence')
def _change_logged(context: Any) -> None:
    lines = [
        dict(line.fields) for line in context.simulation.logged_lines if line.event == "work_factor"
    ]
    assert any(line["queue"] == "letters" and line["evidence"] >= 8 for line in lines), lines
    assert any(line.event == "worker_speed" for line in context.simulation.logged_lines)


@then("never more than {count:d} changes were logged at once")
def _logged_at_once(context: Any, count: int) -> None:
    assert 0 < context.simulation.most_logged_at_once <= count, (
        context.simulation.most_logged_at_once
    )


def _replace_holder(context: Any, change: Callable[[bytes], bytes]) -> None:
    previous = context.simulation
    data = encode_estimates(previous.durations, previous.now)
    simulation = context.simulation = EstimatesSimulation()
    record = ShardRecord(ESTIMATES_KEY, change(data))
    restore_estimates_record(simulation.context, [record], simulation.now)
    for name, worker in previous.workers.items():
        simulation.add_worker(name, worker.record.kind)
        assert simulation.workers[name].speed.born_ms == worker.speed.born_ms
    simulation.tick()


def _damage(fault: str, data: bytes) -> bytes:
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
    _replace_holder(context, lambda data: data)


@when("a successor reads the record, which is {fault}")
def _damaged_successor(context: Any, fault: str) -> None:
    _replace_holder(context, lambda data: _damage(fault, data))


@then("the successor has logged once that the record can't be read")
def _logged_unreadable(context: Any) -> None:
    assert [line.event for line in context.simulation.logged_lines] == ["record_unreadable"]


@when("jobs of {queues:d} queues and {tenants:d} tenants have ended, and all workers are known")
def _fill(context: Any, queues: int, tenants: int) -> None:
    simulation = context.simulation
    source = random.Random(3)
    for number in range(tenants):
        work = simulation.durations.work_model_for(f"queue-{number % queues}", f"tenant-{number}")
        for _ in range(60):
            simulation.durations._observe_work(work, source.gauss(0.0, 2.0), 3.0, simulation.now)
    for worker in simulation.workers.values():
        worker.speed.add_sample(source.gauss(0.0, 1.0), 5.0, simulation.now)
    simulation.now += 1.0
    simulation.tick()


@then("{queues:d} queues and {tenants:d} tenants are kept, of at most {most:d} bytes each")
def _memory(context: Any, queues: int, tenants: int, most: int) -> None:
    durations = context.simulation.durations
    works = [*durations.queues.values(), *durations.tenants.values()]
    assert (len(durations.queues), len(durations.tenants)) == (queues, tenants)
    for work in works:
        parts = [work, work.sketch, work.sketch._counts, work.queue, work.tenant]
        figures = [getattr(work, name) for name in ("factor", "upper_factor", "seen_at")]
        assert sum(map(sys.getsizeof, parts + figures)) <= most
    assert len(durations.speeds.workers) == len(context.simulation.workers)
    assert len(describe_estimates(durations, context.simulation.now).works) == len(works)


@then("the record has at most {most:d} bytes")
def _record_size(context: Any, most: int) -> None:
    data = encode_estimates(context.simulation.durations, context.simulation.now)
    assert most == MAXIMUM_RECORD_BYTES
    assert most / 2 < len(data) <= most, len(data)


@then("a successor can read it")
def _readable(context: Any) -> None:
    data = encode_estimates(context.simulation.durations, context.simulation.now)
    again = DurationEstimator()
    restore_estimates(again, data, 5.0)
    assert again.queues or again.tenants
