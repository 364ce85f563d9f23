"""Steps about jobs of very many small tasks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from behave import given, then, when
from slow_store_steps import QUEUE

from onyxspoke.core.estimates import durations
from onyxspoke.core.estimates.durations import DurationEstimator
from onyxspoke.core.jobs.model import JobId, JobSpec, ResourceVector, RunKey, StepSpec, TaskKey
from onyxspoke.core.jobs.progress import JobProgress
from onyxspoke.core.jobs.states import JobState, RunEnd, RunState, TaskState
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.unresolved_starts import UnresolvedStarts
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard import run_manager
from onyxspoke.core.shard.actions import SendStart
from onyxspoke.core.shard.calls import CallReply, ReplyCode, SubmitCall
from onyxspoke.core.shard.context import ShardContext, ShardOptions
from onyxspoke.core.shard.orders import OrderOutcome, OrderResult
from onyxspoke.core.shard.run_manager import RunManager
from onyxspoke.core.shard.run_starter import RunStarter
from onyxspoke.core.shard.scheduler import ShardScheduler
from onyxspoke.kit.jobs.worker_orders import FakeWorkerOrders
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.node import loop_watch
from onyxspoke.node.loop_watch import LoopWatch
from onyxspoke.node.metrics import NodeMetrics
from onyxspoke.sim import job_cluster
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

SETTLE_SECONDS = 2.0
#: How long a connection is busy with one order, and how long an order may wait for one.
ORDER_SECONDS = 0.002
PATIENCE_SECONDS = 0.2
CONNECTIONS = 8
QUEUE_LENGTH = 512
LARGE_CAPACITY = ResourceVector(64_000, 131_072, 0)
TRAFFIC_SECONDS = 5.0
ORDINARY_PAUSE_SECONDS = 0.25
LARGE_JOB = "f" * 16


def _patch(context: Any, owner: Any, name: str, replacement: Any) -> None:
    patch = mock.patch.object(owner, name, replacement)
    patch.start()
    context.add_cleanup(patch.stop)


class _Wire:
    """The few connections to each worker: orders wait for one, or are given up unsent."""

    def __init__(self, context: Any) -> None:
        self._context = context
        self._start = FakeWorkerOrders.start
        self._busy: Counter[str] = Counter()
        self._waiting: dict[str, list[Callable[[], None]]] = {}
        self.most_unanswered = 0
        self.unsent = 0
        self._unanswered: Counter[str] = Counter()

    def start(
        self, orders: FakeWorkerOrders, order: SendStart, on_result: Callable[[OrderResult], None]
    ) -> None:
        time = self._context.cluster.time
        worker_id = order.address.worker_id
        waiting = self._waiting.setdefault(worker_id, [])
        decided_at = time.now()
        self._unanswered[worker_id] += 1
        self.most_unanswered = max(self.most_unanswered, self._unanswered[worker_id])

        def finish(result: OrderResult) -> None:
            self._unanswered[worker_id] -= 1
            on_result(result)

        def leave() -> None:
            if time.now() - decided_at > PATIENCE_SECONDS:
                self.unsent += 1
                serve_next()
                finish(OrderResult(OrderOutcome.NOT_SENT))
                return
            time.schedule(ORDER_SECONDS, serve_next)
            self._start(orders, order, finish)

        def serve_next() -> None:
            self._busy[worker_id] -= 1
            if waiting:
                self._busy[worker_id] += 1
                waiting.pop(0)()

        if self._busy[worker_id] < CONNECTIONS:
            self._busy[worker_id] += 1
            leave()
        elif len(waiting) < QUEUE_LENGTH:
            waiting.append(leave)
        else:
            self.unsent += 1
            finish(OrderResult(OrderOutcome.NOT_SENT))


@given("a cell of {count:d} large workers, each of which takes 8 orders at a time")
def _cell(context: Any, count: int) -> None:
    _patch(context, job_cluster, "WORKER_CAPACITY", LARGE_CAPACITY)
    context.wire = _Wire(context)

    def start(orders: FakeWorkerOrders, order: SendStart, on_result: Any) -> None:
        context.wire.start(orders, order, on_result)

    _patch(context, FakeWorkerOrders, "start", start)
    context.most_ordered = 0
    flush = ShardScheduler.flush

    def count_starts(scheduler: ShardScheduler, now: float) -> list[Any]:
        actions = flush(scheduler, now)
        ordered = sum(isinstance(action, SendStart) for action in actions)
        context.most_ordered = max(context.most_ordered, ordered)
        return actions

    _patch(context, ShardScheduler, "flush", count_starts)
    work = WorkOptions(seed=4, shortest_seconds=30.0, longest_seconds=40.0)
    options = ClusterOptions(seed=4, nodes=3, workers=count, with_advice=False, work=work)
    cluster = context.cluster = JobCluster(options)
    context.starts = {}
    handle_started = cluster.audit.handle_started

    def note_start(worker: Any, run: RunKey, payload: str, node: str) -> None:
        context.starts.setdefault(run.task.job_id, []).append(cluster.time.now())
        handle_started(worker, run, payload, node)

    _patch(context, cluster.audit, "handle_started", note_start)
    # It adds up all runs of a worker at each start, which takes minutes for thousands of them.
    _patch(context, cluster.audit, "_check_room", lambda *_arguments: None)
    context.submitted = {}
    context.accepted = {}
    cluster.start()
    cluster.run(SETTLE_SECONDS)


def _submit(context: Any, job_id: JobId, step: StepSpec) -> None:
    cluster = context.cluster
    queue = cluster.configuration.configuration.policy.queues[QUEUE]
    job = JobSpec(job_id=job_id, queue=queue, payload="p", steps=(step,))
    cluster.pool.specs[job_id] = job
    cluster.audit.handle_submitted(job)
    context.submitted[job_id] = cluster.time.now()

    def note(reply: CallReply | None) -> None:
        if reply is not None and reply.code is ReplyCode.OK:
            context.accepted[job_id] = cluster.time.now()

    node = next(node for node in cluster.nodes.values() if not node.is_holding)
    cluster.call(node, job_id, SubmitCall(job), note)


def _small_step(tasks: int, *, gang: bool = False) -> StepSpec:
    return StepSpec(
        task_count=tasks, processors_milli=50, memory_mb=16, estimated_ms=35_000, gang=gang
    )


@when("a job of {tasks:d} small tasks is handed in, and 4 ordinary jobs a second beside it")
def _hand_in(context: Any, tasks: int) -> None:
    context.tasks = tasks
    _submit(context, LARGE_JOB, _small_step(tasks))
    ordinary = StepSpec(task_count=2, processors_milli=500, memory_mb=256, estimated_ms=35_000)
    for number in range(int(TRAFFIC_SECONDS / ORDINARY_PAUSE_SECONDS)):
        _submit(context, f"{number:016x}", ordinary)
        context.cluster.run(ORDINARY_PAUSE_SECONDS)
    context.cluster.run(1.0)


@then(
    "the ordinary jobs were accepted within {accept:g} seconds,"
    " and each started within {start:g} seconds more"
)
def _ordinary_in_time(context: Any, accept: float, start: float) -> None:
    ordinary = [job_id for job_id in context.submitted if job_id != LARGE_JOB]
    for job_id in ordinary:
        assert context.accepted[job_id] - context.submitted[job_id] <= accept, job_id
        first_start = min(context.starts[job_id])
        assert first_start - context.accepted[job_id] <= start, (job_id, first_start)


@then("no start was given up unsent")
def _none_unsent(context: Any) -> None:
    assert context.wire.unsent == 0, context.wire.unsent


@then("no worker had more than {count:d} starts to answer")
def _few_unanswered(context: Any, count: int) -> None:
    assert context.wire.most_unanswered <= count, context.wire.most_unanswered


@then("no turn of the holder's loop ordered more than {count:d} starts")
def _few_per_turn(context: Any, count: int) -> None:
    assert context.most_ordered <= count, context.most_ordered


@then("the large job has started all its tasks within {seconds:g} seconds")
def _large_started(context: Any, seconds: float) -> None:
    submitted_at = context.submitted[LARGE_JOB]
    left = submitted_at + seconds - context.cluster.time.now()
    if left > 0 and len(context.starts[LARGE_JOB]) < context.tasks:
        context.cluster.run(left)
    starts = context.starts[LARGE_JOB]
    assert len(starts) == context.tasks, len(starts)
    assert max(starts) - submitted_at <= seconds, max(starts) - submitted_at


@then("the cell of large workers has broken nothing")
def _nothing_broken(context: Any) -> None:
    assert not context.cluster.audit.findings, context.cluster.audit.findings[:3]


@when("{seconds:g} seconds pass in the cell of large workers")
def _pass(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@when("{count:d} jobs of {tasks:d} small tasks are handed in together")
def _several(context: Any, count: int, tasks: int) -> None:
    context.tasks = tasks
    for number in range(count):
        _submit(context, f"{number:016x}", _small_step(tasks))


@then("each of them has started at least {count:d} tasks, or all")
def _each_started(context: Any, count: int) -> None:
    for job_id in context.submitted:
        assert len(context.starts.get(job_id, [])) >= min(count, context.tasks), job_id


@when("a gang of {tasks:d} small tasks is handed in")
def _gang(context: Any, tasks: int) -> None:
    context.tasks = tasks
    _submit(context, LARGE_JOB, _small_step(tasks, gang=True))


@then("the gang runs with all its members")
def _gang_runs(context: Any) -> None:
    scheduler = context.cluster.holder().node.seats[0].scheduler
    [step] = scheduler.context.job_registry.jobs[LARGE_JOB].steps()
    states = Counter(task.run.state if task.run is not None else None for task in step.tasks)
    assert states == {RunState.RUNNING: context.tasks}, states
    assert len(context.starts[LARGE_JOB]) == context.tasks, len(context.starts[LARGE_JOB])


# Costs of single parts


class _CountingDict(dict[Any, Any]):
    """Counts the entries that are looked at one after the other."""

    looked_at = 0

    def items(self) -> Iterator[tuple[Any, Any]]:  # type: ignore[override]
        for item in list(super().items()):
            self.looked_at += 1
            yield item


def _run_key(number: int) -> RunKey:
    return RunKey(TaskKey(LARGE_JOB, 0, 0, number), 1)


@when("{count:d} starts are recorded as ordered, and answered")
def _record_starts(context: Any, count: int) -> None:
    starts = UnresolvedStarts()
    starts._ordered_at = context.ordered = _CountingDict()
    context.count = count
    for number in range(count):
        starts.add_start("w0", _run_key(number), number / count)
    for number in range(count):
        starts.resolve_start("w0", _run_key(number))
    assert starts.starts_on_worker("w0", 1.0) == []


@then("each of them was looked at {times:d} times at most")
def _looked_at(context: Any, times: int) -> None:
    assert context.ordered.looked_at <= times * context.count, context.ordered.looked_at


def _worker(number: int = 0) -> Worker:
    record = WorkerRecord(
        worker_id=f"w{number}",
        host=f"10.9.0.{number}",
        port=8_000,
        service="service",
        zone="zone",
        capacity=LARGE_CAPACITY,
    )
    worker = Worker(record, 0.0)
    worker.contact = WorkerContact.RECONCILED
    return worker


def _job(context: Any, tasks: int) -> JobProgress:
    queue = job_cluster.make_configuration(1, False).policy.queues[QUEUE]
    spec = JobSpec(job_id=LARGE_JOB, queue=queue, payload="p", steps=(_small_step(tasks),))
    job = JobProgress(spec, 0.0)
    job.begin_repetition(0, 0.0)
    return job


@when("{count:d} recorded starts are ordered together")
def _order_together(context: Any, count: int) -> None:
    context.compared = 0

    def compare(run: Run, other: object) -> bool:
        context.compared += 1
        return run is other

    _patch(context, Run, "__eq__", compare)
    shard = ShardContext(ShardOptions(), 1)
    shard.policy = job_cluster.make_configuration(1, False).policy
    shard.commit = mock.Mock(ownership_proven_at=1.0)
    worker = _worker()
    shard.table.workers[worker.worker_id] = worker
    [step] = _job(context, count).steps()
    runs = [Run(task, 1, worker, 1.0) for task in step.tasks]
    for run in runs:
        run.task.run = run
        run.task.move_to(TaskState.ACTIVE)
        worker.add(run)
    RunStarter(shard, RunManager(shard)).order_starts(runs, 1.0)


@then("no two of them were compared")
def _none_compared(context: Any) -> None:
    assert context.compared == 0, context.compared


@when("{ends:d} tasks of a step of {tasks:d} tasks end on one worker")
def _ends(context: Any, ends: int, tasks: int) -> None:
    context.ends = ends
    find_baseline = mock.Mock(wraps=durations.find_baseline)
    _patch(context, durations, "find_baseline", find_baseline)
    context.find_baseline = find_baseline
    estimator = DurationEstimator(True)
    worker = _worker()
    job = _job(context, tasks)
    job.move_to(JobState.RUNNING, 0.0)
    [step] = job.steps()
    for number in range(ends):
        run = Run(step.tasks[number], 1, worker, 1.0)
        run.ordered_at = run.confirmed_at = 1.0
        run.listed_at = 30.0 + number / ends
        estimator.observe_run_end(run, RunEnd.DONE, run.listed_at)


@then("each end computed at most {count:d} baseline")
def _baselines(context: Any, count: int) -> None:
    calls = context.find_baseline.call_count
    assert 0 < calls <= count * context.ends, calls


@given("{workers:d} workers with {runs:d} runs each")
def _workers_with_runs(context: Any, workers: int, runs: int) -> None:
    shard = context.shard = ShardContext(ShardOptions(), 1)
    [step] = _job(context, workers * runs).steps()
    tasks = iter(step.tasks)
    for number in range(workers):
        worker = _worker(number)
        shard.table.workers[worker.worker_id] = worker
        for _ in range(runs):
            run = Run(next(tasks), 1, worker, 1.0)
            run.move_to(RunState.RUNNING)
            worker.add(run)


@when("the runs are checked for stalls {times:d} times")
def _check_stalls(context: Any, times: int) -> None:
    context.checks = []
    seen: list[Run] = []

    def note(run: Run, _seen_at: float) -> bool:
        seen.append(run)
        return False

    _patch(context, run_manager, "is_stalled", note)
    manager = RunManager(context.shard)
    for _ in range(times):
        before = len(seen)
        manager.tick(1.0)
        context.checks.append(len(seen) - before)
    context.seen = seen


@then("each check looked at {count:d} runs at most")
def _check_size(context: Any, count: int) -> None:
    assert max(context.checks) <= count, context.checks


@then("every run was looked at once")
def _all_checked(context: Any) -> None:
    runs = sum(len(worker.runs) for worker in context.shard.table.workers.values())
    assert len(context.seen) == len({id(run) for run in context.seen}) == runs


@given("a watch of the event loop")
def _watch(context: Any) -> None:
    context.metrics = NodeMetrics()
    context.watch = LoopWatch(context.metrics)
    context.lines = []

    def warn(text: str, *arguments: Any) -> None:
        context.lines.append(text % arguments)

    _patch(context, loop_watch.logging, "warning", warn)


@when("ticks come 0, 0.05, 0.35, 0.25 and 0.01 seconds late, one every {pause:g} seconds")
def _late_ticks(context: Any, pause: float) -> None:
    for number, delay in enumerate((0.0, 0.05, 0.35, 0.25, 0.01), start=1):
        due_at = 1.0 + number * pause
        context.watch.expect_tick(due_at)
        context.watch.note_tick(due_at + delay)
    # On time; the log may tell of the second late tick only now, as it came soon after the first.
    context.watch.expect_tick(9.0)
    context.watch.note_tick(9.0)


@then("the log tells of delays of {first} and {second} seconds")
def _log_tells(context: Any, first: str, second: str) -> None:
    expected = [f"event=loop_late seconds={seconds}" for seconds in (first, second)]
    assert context.lines == expected, context.lines


@then("the metrics count {ticks:d} ticks, {late:d} of them over 0.1 seconds late")
def _metrics_count(context: Any, ticks: int, late: int) -> None:
    text = context.metrics.render().decode()
    name = "onyxspoke_loop_delay_seconds"
    assert f"{name}_count {ticks:.1f}" in text, text
    assert f'{name}_bucket{{le="0.1"}} {ticks - late:.1f}' in text, text
