"""Steps about the preemption of a tenant's own runs for its quota, without a cluster."""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when
from placement_steps import MILLI, _Scene
from preemption_steps import PATIENT_STRETCH, PRESSED_STRETCH, TRAITS, WORK_SECONDS

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement import quota_preemption
from onyxspoke.core.placement.preemption import preemptible_runs


@given('a quota of {processors:d} processors for tenant "{tenant}"')
def _quota(context: Any, processors: int, tenant: str) -> None:
    context.scene.quotas[tenant] = ResourceVector(processors * MILLI, 1 << 60, 1 << 60)


def _set_tenant(step: StepProgress, tenant: str, *, is_over_share: bool = False) -> None:
    step.job.spec = msgspec.structs.replace(
        step.job.spec, tenant=tenant, is_over_share=is_over_share
    )


@given('tenant "{tenant}" runs "{name}" of {processors:d} processors, priority {rank:d}, {traits}')
def _tenant_runs(
    context: Any, tenant: str, name: str, processors: int, rank: int, traits: str
) -> None:
    scene: _Scene = context.scene
    step = scene.add_step(name, 1, processors, rank, stretch=PATIENT_STRETCH, **TRAITS[traits])
    _set_tenant(step, tenant)
    run = scene.start(step, 0, scene.table.workers["a"])
    run.move_to(RunState.RUNNING)
    run.confirmed_at = scene.now
    scene.runs[name] = run


@given('tenant "{tenant}" waits with "{name}" of {processors:d} processors, priority {rank:d}')
def _tenant_waits(context: Any, tenant: str, name: str, processors: int, rank: int) -> None:
    _set_tenant(context.scene.add_step(name, 1, processors, rank, stretch=PATIENT_STRETCH), tenant)


@given(
    'tenant "{tenant}" waits with "{name}" of {processors:d} processors, priority {rank:d},'
    " over its share"
)
def _waits_over_share(context: Any, tenant: str, name: str, processors: int, rank: int) -> None:
    step = context.scene.add_step(name, 1, processors, rank)
    _set_tenant(step, tenant, is_over_share=True)


@given(
    'tenant "{tenant}" waits with "{name}" of {processors:d} processors, priority {rank:d},'
    " for {age:g} seconds already"
)
def _waits_long(
    context: Any, tenant: str, name: str, processors: int, rank: int, age: float
) -> None:
    _set_tenant(context.scene.add_step(name, 1, processors, rank, age_seconds=age), tenant)


@given(
    'tenant "{tenant}" waits with {count:d} steps of {processors:d} processor, priority {rank:d}'
)
def _many_wait(context: Any, tenant: str, count: int, processors: int, rank: int) -> None:
    for number in range(count):
        _tenant_waits(context, tenant, f"urgent-{number:03}", processors, rank)
    wrapped = mock.Mock(wraps=preemptible_runs)
    patch = mock.patch.object(quota_preemption, "preemptible_runs", wrapped)
    context.looked_through = patch.start()
    context.add_cleanup(patch.stop)


@then("the runs of the tenant were looked through at most {most:d} times")
def _few_looks(context: Any, most: int) -> None:
    assert 0 < context.looked_through.call_count <= most, context.looked_through.call_count


@given('the job of "{name}" would be late after a restart')
def _late_after_restart(context: Any, name: str) -> None:
    context.scene.runs[name].task.step.job.objective_seconds = PRESSED_STRETCH * WORK_SECONDS


@when('"{name}" is being stopped')
def _being_stopped(context: Any, name: str) -> None:
    run = context.scene.runs[name]
    run.move_to(RunState.STOPPING)
    run.stop_sent_at = context.scene.now


@then("{count:d} different runs are preempted")
def _different_runs(context: Any, count: int) -> None:
    requests = context.scene.placer.take_preemption_requests()
    victims = [run.key for request in requests for run in request.preemption.runs]
    assert len(victims) == len(set(victims)) == count, victims


@then('no advice on "{name}" is requested')
def _not_asked(context: Any, name: str) -> None:
    assert name not in [call.step.job_id for call in context.scene.calls]


@when("{seconds:g} seconds pass, and a placement pass runs")
def _pass_later(context: Any, seconds: float) -> None:
    context.scene.now += seconds
    context.scene.make_pass()
