"""Steps about the preemption of a tenant's own runs for its quota, without a cluster."""

from __future__ import annotations

from typing import Any

import msgspec
from behave import given, then, when
from placement_steps import MILLI, _Scene
from preemption_steps import PATIENT_STRETCH, PRESSED_STRETCH, TRAITS, WORK_SECONDS

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.jobs.states import RunState


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
