"""Steps about what operators see of a node under load."""

from __future__ import annotations

import argparse
import io
import re
from contextlib import redirect_stdout
from typing import Any

from behave import given, then, when
from job_ingress_steps import _cluster, _send
from msgspec.structs import replace

from onyxspoke.cli import load_commands
from onyxspoke.core.admission.summary import AdmissionSummary, QueueNotice
from onyxspoke.core.estimates.expected import DurationEstimate
from onyxspoke.core.jobs.model import AdvicePolicy, JobSpec, StepSpec
from onyxspoke.core.shard.actions import AdviceRequested, CallerReturned, ReturnOutcome
from onyxspoke.core.shard.calls import SubmitCall
from onyxspoke.node.load_reports import learned_factors
from onyxspoke.node.metrics import NodeMetrics
from onyxspoke.node.operator_api import make_operator_site


def _serve(context: Any, simulated: Any) -> None:
    context.simulated = simulated
    context.site = make_operator_site(simulated.node, simulated.process.reactor)


def _scheduler(context: Any) -> Any:
    return context.simulated.node.seats[0].scheduler


@given("a running cluster whose holder has the product's own interface")
def _holder_interface(context: Any) -> None:
    _cluster(context)
    _serve(context, context.cluster.holder())


@given(
    'the holder has closed "{queue}" for {seconds:g} seconds,'
    ' and "{other}" for {shorter:g} seconds for "{tenant}"'
)
def _closed(
    context: Any, queue: str, seconds: float, other: str, shorter: float, tenant: str
) -> None:
    scheduler = _scheduler(context)
    notices = (
        QueueNotice(queue=queue, closed_seconds=seconds),
        QueueNotice(queue=other, closed_seconds=shorter, tenants=(tenant,)),
    )
    summary = AdmissionSummary(token=scheduler.context.token, notices=notices)
    scheduler.admission_summary = lambda _now: summary


@given("a call for advice would wait {seconds:g} seconds there")
def _advice_waits(context: Any, seconds: float) -> None:
    shard = _scheduler(context).context
    advice = AdvicePolicy(5.0, 0.2, 1_500.0)
    queues = {name: replace(queue, advice=advice) for name, queue in shard.policy.queues.items()}
    shard.policy = replace(shard.policy, queues=queues)
    shard.advice_dispatcher.wait_seconds = lambda _call, _rank, _now: seconds


@given(
    'it has learned that "{queue}" takes {factor:g} times its estimates'
    ' and "{worker}" {times:g} times the usual'
)
def _learned(context: Any, queue: str, factor: float, worker: str, times: float) -> None:
    def expected(
        name: str, _tenant: str, estimated_ms: float, worker_id: str = ""
    ) -> DurationEstimate:
        own = times if worker_id.startswith(f"{worker}.") else 1.0
        seconds = estimated_ms / 1_000.0 * own
        if name != queue:
            return DurationEstimate(seconds, seconds)
        return DurationEstimate(seconds * factor, seconds * 2 * factor, 40.0)

    _scheduler(context).context.durations.expected = expected


@when('an operator gets "{path}" of another node after {seconds:g} seconds')
def _get_of_another(context: Any, path: str, seconds: float) -> None:
    context.cluster.run(seconds)
    others = [node for node in context.cluster.nodes.values() if node is not context.simulated]
    _serve(context, others[0])
    _send(context, f"GET {path}")


@then("these are the queues held")
def _queues_held(context: Any) -> None:
    found = sorted(context.exchange.body["held"], key=lambda row: row["queue"])
    assert len(found) == len(context.table.rows), found
    for row, expected in zip(found, context.table, strict=True):
        assert row["queue"] == expected["queue"]
        assert row["closed_seconds"] == float(expected["closed_seconds"]), row
        assert ",".join(row["closed_for"]) == expected["closed_for"], row
        assert row["advice_wait_seconds"] == float(expected["advice_wait_seconds"]), row


@then('it names "{first}" and "{second}" as closed, told at most {seconds:g} seconds ago')
def _told(context: Any, first: str, second: str, seconds: float) -> None:
    told = context.exchange.body["told"]
    assert {row["queue"] for row in told} == {first, second}, told
    assert all(0.0 <= row["age_seconds"] <= seconds for row in told), told


class _Client:
    """Answers a command as the node answered the operator."""

    def __init__(self, answer: Any) -> None:
        self._answer = answer

    def get(self, _path: str) -> Any:
        return self._answer


@then('the command "{name}" prints lines with')
def _prints(context: Any, name: str) -> None:
    run = {"admission": load_commands._admission, "estimates": load_commands._estimates}[name]
    output = io.StringIO()
    with redirect_stdout(output):
        run(_Client(context.exchange.body), argparse.Namespace(json=False))
    lines = [" ".join(line.split()) for line in output.getvalue().splitlines()]
    for row in context.table:
        assert any(line.startswith(row["words"]) for line in lines), (row["words"], lines)


@then('the figures say "{figure}" of "{queue}" is {value:g}')
def _figure_of(context: Any, figure: str, queue: str, value: float) -> None:
    node = context.simulated.node
    node.metrics.load.set_learned_factors(learned_factors(node))
    _says(node.metrics, f'{figure}{{queue="{queue}",shard="0"}}', value)


def _says(metrics: NodeMetrics, figure: str, value: float) -> None:
    lines = dict(line.rsplit(" ", 1) for line in metrics.render().decode().splitlines())
    assert float(lines[figure]) == value, [line for line in lines if line[:14] == figure[:14]]


@then("every factor is 1, and no worker is named")
def _no_factor(context: Any) -> None:
    body = context.exchange.body
    assert body["queues"] and body["workers"] == []
    assert all(row["median"] == row["upper"] == 1.0 for row in body["queues"]), body


@then("its figures say")
def _figures_say(context: Any) -> None:
    for row in context.table:
        _says(context.simulated.node.metrics, row["figure"], float(row["value"]))


def _emit(context: Any, actions: list[Any]) -> None:
    for action in actions:
        _scheduler(context).context.emit(action)
    context.cluster.run(0.1)


@when('it emits that callers of "{queue}" came back on time twice and were refused again once')
def _returned(context: Any, queue: str) -> None:
    outcomes = [ReturnOutcome.ON_TIME, ReturnOutcome.ON_TIME, ReturnOutcome.REFUSED_AGAIN]
    _emit(context, [CallerReturned(queue, outcome) for outcome in outcomes])


@when('it emits that a call for advice of "{queue}" and "{tenant}" waited {seconds:g} seconds')
def _waited(context: Any, queue: str, tenant: str, seconds: float) -> None:
    _emit(context, [AdviceRequested(queue, tenant, seconds)])


@when("jobs of {count:d} queues, tenants and reasons are refused and wait for advice")
def _many_labels(context: Any, count: int) -> None:
    context.metrics = NodeMetrics()
    for number in range(count):
        load = context.metrics.load
        load.note_refused(f"queue-{number}", f"reason-{number}", 1.0)
        load.note_advice_asked(AdviceRequested(f"queue-{number}", f"tenant-{number}", 1.0))


@when("an operator asks how much waits in {count:d} queues that nobody made")
def _ask_many(context: Any, count: int) -> None:
    for number in range(count):
        _send(context, f"GET /v1/queues/nobodys-{number}")
        context.cluster.run(0.05)
        assert context.exchange.status == 200, context.exchange.head
    context.metrics = context.simulated.node.metrics


@then("no figure has more than {queues:d} queues, {tenants:d} tenants or {reasons:d} reasons")
def _bounded(context: Any, queues: int, tenants: int, reasons: int) -> None:
    for label, most in (("queue", queues), ("tenant", tenants), ("reason", reasons)):
        _label_bounded(context.metrics, label, most)


@then("no figure has more than {queues:d} queues")
def _queues_bounded(context: Any, queues: int) -> None:
    _label_bounded(context.metrics, "queue", queues)


def _label_bounded(metrics: NodeMetrics, label: str, most: int) -> None:
    """Each figure has as many names as may be, what is counted together among them."""
    found: dict[str, set[str]] = {}
    pattern = rf'^(\w+?)(?:_bucket|_sum|_count|_total|_created)?\{{.*?\b{label}="([^"]*)"'
    for figure, name in re.findall(pattern, metrics.render().decode(), re.MULTILINE):
        found.setdefault(figure, set()).add(name)
    assert max(map(len, found.values())) == most, {key: len(names) for key, names in found.items()}
    assert any("(other)" in names for names in found.values()), found


@then('a refusal for "{queue}" is still counted by name')
def _by_name(context: Any, queue: str) -> None:
    context.metrics.load.note_refused(queue, "too_late", 1.0)
    _says(context.metrics, f'onyxspoke_refusals_total{{queue="{queue}",reason="too_late"}}', 1.0)


@when('a job of "{queue}" is handed in at the holder, and runs')
def _hand_in(context: Any, queue: str) -> None:
    _advice_waits(context, 0.0)
    scheduler = _scheduler(context)
    step = StepSpec(task_count=1, processors_milli=1_000, memory_mb=100, estimated_ms=100)
    policy = scheduler.context.policy.queues[queue]
    spec = JobSpec(job_id="a" * 16, queue=policy, payload="p", steps=(step,))
    context.cluster.pool.specs[spec.job_id] = spec
    scheduler.on_call(-1, SubmitCall(spec), context.cluster.time.now())
    context.cluster.run(2.0)


@then('its figures count the wait of at least {count:d} call for advice of "{queue}"')
def _advice_counted(context: Any, count: int, queue: str) -> None:
    text = context.simulated.node.metrics.render().decode()
    name = f'onyxspoke_advice_wait_seconds_count{{queue="{queue}"'
    [line] = [line for line in text.splitlines() if line.startswith(name)]
    assert float(line.split()[-1]) >= count, line
