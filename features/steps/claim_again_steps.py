"""Steps in which a node gives its shard up, and claims it again before any other node does."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from behave import given, then, when
from job_directed_steps import FIRST_JOB, _submit

from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster

WORKERS = 3
SETTLE_SECONDS = 2.0
#: The former holder starts again so long after the end of all nodes, and the other node later.
RESTART_SECONDS = (0.3, 0.8)
#: It has held for so long, longer than earlier holders may order, when the job comes.
TERM_SECONDS = 6.0
#: The task has run for so long when its worker is cut off, the call to submit it included.
WORK_SECONDS = 5.0
SUBMIT_SECONDS = 1.5
#: In how small steps, and for how long, the end and the begin of a term are waited for.
STEP_SECONDS = 0.0005
LONGEST_TERM_SECONDS = 8.0


@given(
    "a cell with leases of {lease:g} s, whose holder claimed it back, and a task of {seconds:g} s"
)
def _cell_claimed_back(context: Any, lease: float, seconds: float) -> None:
    work = WorkOptions(seed=5, shortest_seconds=seconds, longest_seconds=seconds)
    options = ClusterOptions(
        seed=5,
        nodes=2,
        workers=WORKERS,
        with_advice=False,
        work=work,
        maximum_hold_ms=int(lease * 1_000),
    )
    cluster = context.cluster = JobCluster(options)
    cluster.start()
    cluster.run(SETTLE_SECONDS)
    holder = cluster.holder().name
    names = [holder, *(name for name in cluster.nodes if name != holder)]
    for name in names:
        cluster.kill_node(name)
    for name, seconds_later in zip(names, RESTART_SECONDS, strict=True):
        cluster.time.schedule(seconds_later, lambda name=name: cluster.start_node(name))
    cluster.run(TERM_SECONDS)
    assert cluster.holder().name == holder
    context.holder = cluster.holder()
    _submit(context, FIRST_JOB)
    cluster.run(WORK_SECONDS - SUBMIT_SECONDS)


def _is_turned_away(context: Any) -> None:
    context.cluster.store.faults.refuses.add(context.holder.name)


def _larger_node_comes(context: Any) -> None:
    context.cluster.options.large_nodes = len(context.cluster.nodes) + 1
    context.cluster.start_node(f"node-{len(context.cluster.nodes)}")


CAUSES: dict[str, Callable[[Any], None]] = {
    "the store turns it away": _is_turned_away,
    "a larger node comes": _larger_node_comes,
}


@when("that task's worker is cut off, and the holder gives the shard up because {cause}")
def _give_up(context: Any, cause: str) -> None:
    cluster = context.cluster
    workers = cluster.pool.workers.values()
    context.busy = [worker.worker_id for worker in workers if worker.runs]
    assert len(context.busy) == 1
    context.cut_at = cluster.time.now()
    CAUSES[cause](context)
    for node in cluster.nodes.values():
        cluster.cut(node.host, context.busy)
    _wait(context, is_holding=False)


def _wait(context: Any, *, is_holding: bool) -> None:
    """Let time pass until the term of the node begins or ends."""
    for _ in range(int(LONGEST_TERM_SECONDS / STEP_SECONDS)):
        context.cluster.run(STEP_SECONDS)
        if context.holder.is_holding is is_holding:
            return
    raise AssertionError(f"the node's holding is still {not is_holding}")


@when("all other nodes die before they claim it, so that the same process holds it again")
def _claim_again(context: Any) -> None:
    cluster = context.cluster
    for name, node in cluster.nodes.items():
        if node is not context.holder:
            cluster.kill_node(name)
    cluster.store.faults.refuses.clear()
    _wait(context, is_holding=True)


@when("the worker is reached again {seconds:g} s after it was cut off, and {more:g} s pass")
def _reach_again(context: Any, seconds: float, more: float) -> None:
    cluster = context.cluster
    cluster.run(context.cut_at + seconds - cluster.time.now())
    for node in cluster.nodes.values():
        cluster.heal(node.host, context.busy)
    cluster.run(more)


@when("each worker that runs it then crashes, and {seconds:g} s pass")
def _crash(context: Any, seconds: float) -> None:
    cluster = context.cluster
    for worker in list(cluster.pool.workers.values()):
        if worker.runs:
            cluster.crash_worker(worker.worker_id)
    cluster.run(seconds)


@then("the task has been started {count:d} time(s)")
def _started(context: Any, count: int) -> None:
    audit = context.cluster.audit
    found = [f"{item.at:.2f} {item.violation.value}" for item in audit.findings]
    assert audit.counts["starts"] == count, (audit.counts, found)
