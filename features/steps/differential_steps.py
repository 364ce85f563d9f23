"""Steps that compare the system with naive versions of its parts."""

import random

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st
from naive import NaiveCell, NaiveOwnership, NaiveSettings, naive_has_free_capacity
from settings_file_steps import deployment_path

from onyxspoke.core.cell_state import CellLimits, CellState
from onyxspoke.core.log_records import (
    ClaimItem,
    LogBatch,
    SettingChange,
    SettingsApply,
    WorkerClaim,
    WorkerRelease,
)
from onyxspoke.core.owned_worker import OwnedWorker, WorkerState
from onyxspoke.core.requests import ActiveRequest, CallerOrigin, QueueLimits, RequestState
from onyxspoke.core.schema import (
    MachineRecord,
    PlacementPolicy,
    Priority,
    Resources,
    RunningTask,
    TaskClass,
    TaskRequest,
)
from onyxspoke.core.settings_tree import SettingsTree
from onyxspoke.core.waiting_queue import WaitingQueue
from onyxspoke.core.worker_table import WorkerTable
from onyxspoke.kit.hollow_work import digest_of
from onyxspoke.kit.naive_placement import choose_worker
from onyxspoke.settings_file import load_settings
from onyxspoke.sim.callers import Callers
from onyxspoke.sim.cell import SimulatedCell
from onyxspoke.sim.faults import FaultInjector, draw_schedule

SEEDS = (51, 52, 53)
PATHS = ("", "r", "r/z", "r/z/s", "r/y")


class ObservedCallers(Callers):
    """Submits every payload to the naive version as well."""

    def __init__(self, cell, load, source):
        super().__init__(cell, load, source)
        self.naive = NaiveCell(digest_of)

    def _submit(self, request, nonce, tries):
        self.naive.submit(nonce, request.payload)
        super()._submit(request, nonce, tries)


def run_both(name, seed, faulty):
    deployment = load_settings(deployment_path(name))
    cell = SimulatedCell(deployment, seed)
    callers = ObservedCallers(cell, deployment.load, random.Random(seed))
    if faulty:
        FaultInjector(cell).schedule(draw_schedule(cell, random.Random(seed)))
    cell.start()
    cell.time.run_until(4.0)
    callers.submit_for(20.0, 20.0)
    cell.time.run_until(70.0)
    callers.close()
    return callers


@when("the same requests go to the naive version and to a cell without faults")
def step_without_faults(context):
    context.runs = [run_both("klimaplan", seed, faulty=False) for seed in SEEDS]


@when("the same requests go to the naive version and to a cell under random faults")
def step_with_faults(context):
    names = ("klimaplan", "motor-estudio")
    context.runs = [run_both(name, seed, faulty=True) for seed in SEEDS for name in names]


@then("every answer is the same")
def step_same_answers(context):
    for callers in context.runs:
        assert len(callers.records) > 100
        for record in callers.records:
            assert record.outcome == "completed", record
            assert record.digest == callers.naive.answers[record.nonce], record


@then('every answer equals the naive version\'s answer or is "not run" or "unknown"')
def step_allowed_answers(context):
    for callers in context.runs:
        for record in callers.records:
            if record.outcome == "completed":
                assert record.digest == callers.naive.answers[record.nonce], record
            else:
                assert record.outcome in ("not_run", "unknown"), record


changes = st.builds(
    SettingChange,
    path=st.sampled_from(PATHS),
    key=st.just("task.priority"),
    value=st.sampled_from([None, 0, 1, 2]),
    expected_revision=st.integers(0, 12),
)


@then("random changes by concurrent operators leave both trees equal")
def step_settings(context):
    @given(st.lists(st.lists(changes, min_size=1, max_size=3), max_size=12))
    def check(applies):
        tree, naive = SettingsTree(), NaiveSettings()
        for offset, items in enumerate(applies, start=1):
            apply = SettingsApply(f"c{offset}", "operator", items)
            tree.apply(offset, apply)
            tree.apply(offset + 1_000, apply)  # A repeat of a folded change changes nothing.
            tree.revision = offset
            assert tree.verdict(f"c{offset}").accepted == naive.apply(offset, items)
        for path in PATHS:
            resolved = tree.resolve(path, "task.priority")
            expected = naive.resolve(path, "task.priority")
            assert (None if resolved is None else resolved.value) == expected

    check()


writers = st.sampled_from(["e1", "e2", "e3"])
workers = st.sampled_from(["w1", "w2", "w3"])
claim_sets = st.lists(st.tuples(workers, st.integers(0, 8), st.integers(0, 8)), max_size=3)
batches = st.lists(st.tuples(writers, claim_sets, st.lists(workers, max_size=2)), max_size=12)


def make_batches(drawn):
    sequences = {}
    for writer, claims, releases in drawn:
        sequences[writer] = sequences.get(writer, 0) + 1
        records = [WorkerClaim([ClaimItem(*claim) for claim in claims]), WorkerRelease(releases)]
        yield LogBatch(writer, "z", "127.0.0.1", 1, sequences[writer], False, records)


def replay(log):
    cell = CellState(CellLimits())
    for offset, batch in enumerate(log, start=1):
        cell.apply(offset, batch, float(offset))
    return cell


@then("random claims, renewals and releases leave the same holders in both")
def step_claims(context):
    @given(batches)
    def check(drawn):
        naive = NaiveOwnership()
        for offset, (writer, claims, releases) in enumerate(drawn, start=1):
            naive.write(offset, writer, claims, releases)
        cell = replay(make_batches(drawn))
        for worker in ("w1", "w2", "w3"):
            ownership = cell.ownership_of(worker)
            assert ownership.holder == (naive.holders.get(worker) or "")
            assert ownership.epoch == naive.epochs.get(worker, 0)

    check()


@then("a log with repeated batches gives the same state as the log without the repeats")
def step_repeats(context):
    @given(batches, st.lists(st.integers(0, 11), max_size=6))
    def check(drawn, repeats):
        log = list(make_batches(drawn))
        plain, repeated = CellState(CellLimits()), CellState(CellLimits())
        for offset, batch in enumerate(log, start=1):
            plain.apply(offset, batch, 0.0)
            assert repeated.apply(offset, batch, 0.0)
            for index in repeats:
                if index < offset:
                    assert not repeated.apply(offset, log[index], 0.0)
        assert plain.ownerships == repeated.ownerships

    check()


amounts = st.builds(
    Resources,
    processors=st.integers(0, 8),
    memory_mb=st.integers(0, 8),
    accelerators=st.integers(0, 2),
    slots=st.integers(0, 4),
)
task_classes = st.builds(
    TaskClass,
    service=st.just("s"),
    name=st.just("c"),
    resources=amounts,
    patience_seconds=st.just(1.0),
    policy=st.sampled_from(PlacementPolicy),
    generations=st.sampled_from([(), ("g1",), ("g1", "g2")]),
)


def make_worker(index, generation, capacity):
    machine = MachineRecord(f"w{index}", "127.0.0.1", 1, "z", "r", generation)
    worker = OwnedWorker(machine, 1)
    worker.load_inventory(capacity, [])
    worker.transition(WorkerState.ACTIVE)
    return worker


@then("both find a worker for the same random tasks, and no free capacity is negative")
def step_placement(context):
    machines = st.lists(st.tuples(st.sampled_from(["g1", "g2"]), amounts), max_size=5)

    @settings(max_examples=200)
    @given(machines, st.lists(st.tuples(task_classes, st.integers(0, 30)), max_size=20))
    def check(drawn, steps):
        table = WorkerTable()
        for index, item in enumerate(drawn):
            worker = make_worker(index, *item)
            table.workers[worker.worker_id] = worker
            table.refresh(worker)
        running = []
        for number, (task_class, fate) in enumerate(steps):
            owned = list(table.workers.values())
            accepting = [worker for worker in owned if worker.accepts_work]
            chosen, expected = table.choose(task_class), choose_worker(task_class, accepting)
            assert (chosen is not None) == naive_has_free_capacity(task_class, accepting)
            assert (chosen is None) == (expected is None)
            if chosen is not None:
                assert chosen.occupied_share == expected.occupied_share
                assert bool(chosen.capacity.accelerators) == bool(expected.capacity.accelerators)
                table.reserve(chosen, RunningTask(f"a{number}", task_class.resources))
                running.append((chosen.worker_id, f"a{number}"))
                assert not chosen.free.is_negative()
            disturb(table, running, fate)

    check()


def disturb(table, running, fate):
    """Release a task twice, toggle the drain of a worker, or remove a worker."""
    if running and fate % 3 == 0:
        worker_id, attempt_id = running[fate % len(running)]
        table.release(worker_id, attempt_id)
        table.release(worker_id, attempt_id)
    if table.workers and fate % 7 == 0:
        worker = list(table.workers.values())[fate % len(table.workers)]
        worker.draining = not worker.draining
        table.refresh(worker)
    if table.workers and fate == 29:
        table.remove(next(iter(table.workers)))


arrivals = st.lists(
    st.tuples(st.sampled_from(Priority), st.integers(0, 5), st.sampled_from(["keep", "drop"])),
    max_size=15,
)


@then("random arrivals, dispatches and withdrawals leave both queues in the same order")
def step_queue(context):
    @given(arrivals, st.integers(0, 15))
    def check(drawn, dispatched):
        queue, naive = WaitingQueue(QueueLimits()), []
        for number, (priority, deadline, fate) in enumerate(drawn):
            request = make_queued(number, priority, float(deadline))
            queue.push(request)
            if fate == "drop":
                request.transition(RequestState.ANSWERED)
                queue.discard(request)
            else:
                naive.append((priority, deadline, number))
        naive.sort()
        expected = [f"q{number}" for _, _, number in naive]
        for index, request in enumerate(queue.in_order()):
            assert request.request_id == expected[index]
            if index < dispatched:
                request.transition(RequestState.DISPATCHED)
                queue.discard(request)
        rest = [request.request_id for request in queue.in_order()]
        assert rest == expected[dispatched:]
        assert len(queue) == len(rest)

    check()


def make_queued(number, priority, deadline):
    task_class = TaskClass(
        service="s",
        name="c",
        resources=Resources(1, 1),
        patience_seconds=1.0,
        priority=priority,
    )
    request = TaskRequest(tenant="t", task_class=task_class, payload=b"")
    queued = ActiveRequest(f"q{number}", request, CallerOrigin(), deadline, 0.0)
    queued.state = RequestState.QUEUED
    return queued
