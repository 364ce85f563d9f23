"""Steps about ends of runs that come late, or of runs that count as ended already."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from behave import given, then, when
from job_directed_steps import (
    FIRST_JOB,
    _call,
    _other_holder,
    _send,
    _submit,
    _whole_worker_job,
)
from msgspec.structs import replace

from onyxspoke.core.jobs.model import ResourceVector, RunKey, TaskKey
from onyxspoke.core.jobs.states import RunEnd, TaskState
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.placement.workers import LeaseVerdict, Worker, WorkerContact
from onyxspoke.core.shard.actions import DecisionLogLine, SendStart, SendStop
from onyxspoke.core.shard.calls import StateCall
from onyxspoke.core.shard.context import ShardContext, ShardOptions
from onyxspoke.core.shard.ignored_ends import IgnoredEndLog, IgnoredEndReason
from onyxspoke.core.shard.log_records import AppendOutcome, ShardAppend, ShardRecord
from onyxspoke.core.shard.orders import (
    EndReport,
    HoldResult,
    OrderOutcome,
    OrderResult,
    RunningReport,
)
from onyxspoke.kit.jobs.store import FakeStore
from onyxspoke.kit.jobs.workers import FakeWorker, WorkOptions
from onyxspoke.node import seat
from onyxspoke.sim.call_faults import STORE
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster
from onyxspoke.sim.virtual_reactor import VirtualTime

SETTLE_SECONDS = 2.0
#: How far a worker has come with a task before something happens to it.
BEGUN_SECONDS = 1.0
#: The speed of a clock that is far slower than any holder expects.
SLOW_RATE = 0.25


def _capture_lines(context: Any) -> None:
    """Keep the lines that holders log, with the name of their node's process."""
    context.lines = []
    former = seat.ShardSeat._log_decision

    def take(holder: Any, line: DecisionLogLine) -> None:
        context.lines.append((line.event, dict(line.fields)))
        former(holder, line)

    patch = mock.patch.object(seat.ShardSeat, "_log_decision", take)
    patch.start()
    context.add_cleanup(patch.stop)


def _start_cell(context: Any, workers: int, seconds: float) -> None:
    _capture_lines(context)
    work = WorkOptions(seed=5, shortest_seconds=seconds, longest_seconds=seconds)
    options = ClusterOptions(seed=5, workers=workers, with_advice=False, work=work)
    context.cluster = JobCluster(options)
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)
    context.holder = context.cluster.holder()


@given("a cell of {count:d} workers whose tasks take {seconds:g} seconds")
def _cell(context: Any, count: int, seconds: float) -> None:
    _start_cell(context, count, seconds)
    _submit(context, FIRST_JOB)
    context.busy = _busy_workers(context)


def _busy_workers(context: Any) -> list[str]:
    return [worker.worker_id for worker in context.cluster.pool.workers.values() if worker.runs]


def _start_cell_with_wrong_answer(context: Any, workers: int, seconds: float) -> None:
    """Start a cell whose first start is carried out, while its sender counts it as not sent."""
    _start_cell(context, workers, seconds)
    cluster = context.cluster
    context.store_away_seconds = 0.0
    context.wrong_answers = 1
    context.hidden_runs = set()
    context.hides_run = False

    def wrap(worker: FakeWorker) -> None:
        former, former_lists = worker.start, worker._lists

        def start(order: SendStart, node: str) -> OrderResult:
            result = former(order, node)
            if not context.wrong_answers:
                return result
            context.wrong_answers -= 1
            if context.hides_run:
                context.hidden_runs.add(order.run)
            if context.store_away_seconds:
                cluster.store.faults.is_down = True
                cluster.time.schedule(
                    context.store_away_seconds,
                    lambda: setattr(cluster.store.faults, "is_down", False),
                )
            return OrderResult(OrderOutcome.NOT_SENT)

        def list_runs() -> HoldResult:
            lists = former_lists()
            running = [report for report in lists.running if report.run not in context.hidden_runs]
            return replace(lists, running=running)

        worker.start, worker._lists = start, list_runs

    for worker in cluster.pool.workers.values():
        wrap(worker)


@given(
    "a cell of {count:d} worker whose tasks take {seconds:g} seconds, and whose first start counts"
    " as not sent"
)
@given(
    "a cell of {count:d} workers whose tasks take {seconds:g} second, and whose first start counts"
    " as not sent"
)
def _wrong_answer(context: Any, count: int, seconds: float) -> None:
    _start_cell_with_wrong_answer(context, count, seconds)
    context.execute_steps("Given the first job is handed in")


@given(
    "a cell of {count:d} workers whose tasks take {seconds:g} seconds, and whose first start of a"
    " gang counts as not sent"
)
def _wrong_answer_for_gang(context: Any, count: int, seconds: float) -> None:
    _start_cell_with_wrong_answer(context, count, seconds)
    job = _whole_worker_job(context, FIRST_JOB)
    gang = replace(job.steps[0], gang=True, task_count=count)
    _send(context, replace(job, steps=(gang,)), 0.0)


@given("all starts of its first run count as not sent, are not listed, and are not stopped")
def _wrong_answers_for_gang(context: Any) -> None:
    workers = context.cluster.pool.workers.values()
    context.wrong_answers = len(workers)
    context.hides_run = True
    for worker in workers:
        _lose_stops(worker, context.hidden_runs)


def _lose_stops(worker: FakeWorker, runs: set[RunKey]) -> None:
    """Let stops of some runs be lost on their way to a worker."""
    former = worker.stop

    def stop(order: SendStop) -> OrderResult:
        return OrderResult(OrderOutcome.NO_ANSWER) if order.run in runs else former(order)

    worker.stop = stop


@given("the first job is handed in")
def _hand_in(context: Any) -> None:
    _send(context, _whole_worker_job(context, FIRST_JOB), 0.0)


@given("every run fails")
def _all_fail(context: Any) -> None:
    for worker in context.cluster.pool.workers.values():
        worker.faults.fails_all = True


@then("the first job is failed")
def _first_failed(context: Any) -> None:
    reply = _call(context, context.cluster.holder(), FIRST_JOB, StateCall(FIRST_JOB))
    assert reply is not None
    assert reply.state == "failed", reply


@given("that run is not listed while it runs")
def _hide_run(context: Any) -> None:
    context.hides_run = True


def _cut_lists_short(worker: FakeWorker, is_cut: Callable[[], bool]) -> None:
    """Let a worker's lists lack all ends while a condition holds."""
    former = worker._lists

    def list_runs() -> HoldResult:
        lists = former()
        return replace(lists, ended=[], is_complete=False) if is_cut() else lists

    worker._lists = list_runs


@given("the first {count:d} lists of each worker for the next holder lack all ends")
def _cut_first_lists(context: Any, count: int) -> None:
    token = context.holder.node.seats[0].scheduler.context.token
    for worker in context.cluster.pool.workers.values():
        left = iter(range(count))

        def is_cut(worker: FakeWorker = worker, left: Iterator[int] = left) -> bool:
            return worker.token > token and next(left, None) is not None

        _cut_lists_short(worker, is_cut)


@given("every list of ends is cut short until {seconds:g} seconds from now")
def _cut_lists(context: Any, seconds: float) -> None:
    time = context.cluster.time
    until = time.now() + seconds
    for worker in context.cluster.pool.workers.values():
        _cut_lists_short(worker, lambda: time.now() < until)


@given("the store goes away with that start, for {seconds:g} seconds")
def _store_away(context: Any, seconds: float) -> None:
    context.store_away_seconds = seconds


@given(
    "a cell of {count:d} worker with a quarter of the speed of its clock, whose tasks take"
    " {seconds:g} seconds"
)
def _slow_clock(context: Any, count: int, seconds: float) -> None:
    _start_cell(context, count, seconds)
    for worker in context.cluster.pool.workers.values():
        _slow_down(worker)
    context.cluster.run(SETTLE_SECONDS)
    _submit(context, FIRST_JOB)
    context.busy = _busy_workers(context)


@given("the clock of the worker that runs the job goes at a quarter of its speed")
def _slow_busy(context: Any) -> None:
    for worker_id in context.busy:
        _slow_down(context.cluster.pool.workers[worker_id])
    context.cluster.run(BEGUN_SECONDS)


@given(
    "the clock of the worker that runs the job goes at a quarter of its speed, and its stops are"
    " lost"
)
def _slow_busy_without_stops(context: Any) -> None:
    _slow_busy(context)
    for worker_id in context.busy:
        worker = context.cluster.pool.workers[worker_id]
        worker.stop = lambda _order: OrderResult(OrderOutcome.NO_ANSWER)


def _slow_down(worker: FakeWorker) -> None:
    """Let a worker's clock go on at a quarter of its speed, from what it shows now."""
    now_ms = worker.clock_ms()
    worker._born_at = worker._pool.timers.now()
    worker._clock_base_ms = now_ms
    worker._rate = SLOW_RATE


@given(
    "a cell of {count:d} worker whose tasks take {seconds:g} seconds, and which starts nothing else"
)
def _only_worker(context: Any, count: int, seconds: float) -> None:
    _cell(context, count, seconds)


@then("{started:d} run has started in that cell, and {stopped:d} have been stopped")
@then("{started:d} runs have started in that cell, and {stopped:d} have been stopped")
@then("{started:d} runs have started in that cell, and {stopped:d} has been stopped")
def _run_counts(context: Any, started: int, stopped: int) -> None:
    counts = context.cluster.audit.counts
    assert (counts["starts"], counts["run_stopped"]) == (started, stopped), counts


@then("the first job is not completed")
def _not_completed(context: Any) -> None:
    reply = _call(context, context.cluster.holder(), FIRST_JOB, StateCall(FIRST_JOB))
    assert reply is not None
    assert reply.state != "completed", reply


@given("the only worker that runs a task is cut off from all nodes")
@when("that worker is cut off again")
def _cut_busy(context: Any) -> None:
    assert len(context.busy) == 1
    for node in context.cluster.nodes.values():
        context.cluster.cut(node.host, context.busy)


@when("that worker is reached again")
def _heal_busy(context: Any) -> None:
    for node in context.cluster.nodes.values():
        context.cluster.heal(node.host, context.busy)


def _lines(context: Any, event: str) -> list[dict[str, Any]]:
    return [fields for name, fields in context.lines if name == event]


@then('a line "{event}" tells {facts}')
def _line_tells(context: Any, event: str, facts: str) -> None:
    wanted = dict(fact.split(" ") for fact in facts.split(", "))
    lines = _lines(context, event)
    told = [{name: str(line.get(name)) for name in wanted} for line in lines]
    assert wanted in told, lines


def _worker() -> Worker:
    record = WorkerRecord(
        worker_id="w",
        host="10.9.0.1",
        port=8_000,
        service="service",
        zone="zone",
        capacity=ResourceVector(1_000, 1_000, 0),
    )
    return Worker(record, 0.0)


@given("a worker that has granted a lease until {until:d}, and was asked for one until {asked:d}")
def _granted(context: Any, until: int, asked: int) -> None:
    context.worker = _worker()
    context.worker.move_to(WorkerContact.RECONCILED)
    context.worker.extend_lease(until)
    context.worker.note_granted_lease(until)
    context.worker.extend_lease(asked)


@when("its clock shows {clock:d} in a list that is up to {age:g} seconds old")
def _list_comes(context: Any, clock: int, age: float) -> None:
    context.verdict = context.worker.lease_verdict(clock, age)


@then("its lease counts as {verdict}")
def _counts_as(context: Any, verdict: str) -> None:
    assert context.verdict is LeaseVerdict(verdict), context.verdict


@when("{count:d} ends in one answer are ignored")
def _ignore_ends(context: Any, count: int) -> None:
    context.shard = ShardContext(ShardOptions(), token=7)
    worker = _worker()
    log = IgnoredEndLog(context.shard, worker, 1_000, LeaseVerdict.UNKNOWN)
    for number in range(1, count + 1):
        key = RunKey(TaskKey(FIRST_JOB, 0, 0, number), 1)
        log.note(EndReport(number, key, RunEnd.DONE), IgnoredEndReason.UNKNOWN_TASK)
    log.close()


@then('{count:d} lines "{event}" and one "{other}" with more {more:d} are logged')
def _bounded_lines(context: Any, count: int, event: str, other: str, more: int) -> None:
    lines = [(line.event, dict(line.fields)) for line in context.shard.actions]
    assert len([name for name, _ in lines if name == event]) == count, lines
    assert [fields["more"] for name, fields in lines if name == other] == [more], lines


@when("the holder changes because it is {change}")
def _change_holder(context: Any, change: str) -> None:
    context.step_downs = []

    def take(text: str, *values: Any) -> None:
        if text.startswith("event=step_down"):
            context.step_downs.append(text % values)

    patch = mock.patch.object(seat.logging, "info", take)
    patch.start()
    context.add_cleanup(patch.stop)
    cluster, holder = context.cluster, context.holder
    context.commit = holder.node.seats[0].scheduler.context.commit
    context.lines.clear()
    if change == "killed":
        cluster.kill_node(holder.name)
    elif change == "paused":
        holder.process.pause()
    else:
        others = [node.host for node in cluster.nodes.values() if node is not holder]
        cluster.cut(holder.host, [STORE, *others])
    _other_holder(context)
    cluster.run(BEGUN_SECONDS)
    if change == "paused":
        holder.process.resume()
        cluster.run(BEGUN_SECONDS)


@then('the line "{event}" tells an end that is not before the former holder\'s last append')
def _read_all(context: Any, event: str) -> None:
    restored = _lines(context, event)
    assert len(restored) == 1, restored
    kept = context.commit.acknowledged_end
    assert 0 < kept < restored[0]["token"] <= restored[0]["read_end"], (kept, restored)


@then('the line "{event}" of the former holder tells the same append, if it gave the shard up')
def _told_at_end(context: Any, event: str) -> None:
    commit = context.commit
    told = (
        f"token={commit.epoch} acknowledged={commit.acknowledged_sequence}"
        f" acknowledged_end={commit.acknowledged_end}"
    )
    lines = [line for line in context.step_downs if line.startswith(f"event={event} ")]
    gave_up = context.holder.process.alive
    assert len(lines) == int(gave_up), context.step_downs
    assert all(line.endswith(told) for line in lines), (lines, told)


@when(
    "two lists with one reading of the clock come in the wrong order, and between them its run had"
    " {change}"
)
def _pass_each_other(context: Any, change: str) -> None:
    cluster = context.cluster
    scheduler = context.holder.node.seats[0].scheduler
    (worker,) = scheduler.context.table.workers.values()
    (run,) = worker.runs.values()
    now = cluster.time.now()
    fake = cluster.pool.workers[worker.worker_id]
    running = HoldResult(OrderOutcome.DONE, fake.clock_ms(), [RunningReport(run.key)])
    later = earlier = running
    if change == "ended":
        fake.end(run.key, RunEnd.DONE)
        later = fake._lists()
    else:
        earlier = replace(running, running=[])
    reconciler = scheduler.workers._reconciler
    reconciler.reconcile(worker, later, now - 0.001, now)
    # The hold that the earlier list answers was sent before the run was known to be there.
    reconciler.reconcile(worker, earlier, min(now, run.confirmed_at) - 0.001, now)


@when("one answer tells that an unknown run of its task has failed, and its run has ended")
def _two_ends(context: Any) -> None:
    scheduler = context.holder.node.seats[0].scheduler
    (worker,) = scheduler.context.table.workers.values()
    (run,) = worker.runs.values()
    context.task = run.task
    earlier = RunKey(run.key.task, run.number - 1)
    ends = [EndReport(1, earlier, RunEnd.FAILED), EndReport(2, run.key, RunEnd.DONE)]
    now = context.cluster.time.now()
    clock_ms = worker.clock.estimate_ms(now)
    result = HoldResult(OrderOutcome.DONE, clock_ms, ended=ends)
    scheduler.workers._reconciler.reconcile(worker, result, now, now)


@then("its task is done after {count:d} failed run")
def _task_done(context: Any, count: int) -> None:
    assert context.task.state is TaskState.DONE, context.task.state
    assert len(context.task.failed_runs) == count, context.task.failed_runs


@when("the entry of that worker is deleted")
def _delete_entry(context: Any) -> None:
    for worker_id in context.busy:
        context.cluster.directory.drop(worker_id)


@when("the entry of that worker is written again")
def _write_entry(context: Any) -> None:
    for worker_id in context.busy:
        context.cluster.directory.list(context.cluster.pool.workers[worker_id].record)


@when(
    "the holder is killed, while appends are carried out {late:g} seconds late for {span:g} seconds"
)
def _kill_with_late_appends(context: Any, late: float, span: float) -> None:
    cluster = context.cluster
    faults = cluster.store.faults
    faults.loses_share, faults.late_seconds = 1.0, late
    cluster.time.schedule(span, lambda: setattr(faults, "loses_share", 0.0))
    cluster.kill_node(context.holder.name)


@given("a store to which a holder has made {count:d} appends")
def _appends(context: Any, count: int) -> None:
    context.store = FakeStore(VirtualTime(), random.Random(1), keeps_log=True)
    context.appends = [
        ShardAppend(shard=0, epoch=7, sequence=number, records=[ShardRecord(f"k{number}", b"v")])
        for number in range(1, count + 1)
    ]
    for append in context.appends:
        assert context.store.append(append).outcome is AppendOutcome.DONE


@when("each of them is made again, the earliest first")
def _append_again(context: Any) -> None:
    context.outcomes = [context.store.append(append).outcome for append in context.appends]


@then("the store has kept {count:d} records, and answers the earliest {early:d} as out of sequence")
def _kept(context: Any, count: int, early: int) -> None:
    assert len(context.store.read_log(0, 0)[0]) == count
    late = count - early
    expected = [AppendOutcome.OUT_OF_SEQUENCE] * early + [AppendOutcome.DONE] * late
    assert context.outcomes == expected, context.outcomes
