"""Steps about jobs that a holder knows already, and about admission control switched off."""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when

from onyxspoke.core.admission.decider import AdmissionDecider
from onyxspoke.core.admission.load_view import LoadView
from onyxspoke.core.admission.refused_jobs import RefusedJobs
from onyxspoke.core.admission.submitted_job import SubmittedJob
from onyxspoke.core.admission.verdict import RefusalReason, Refuse, VerdictInputs
from onyxspoke.core.shard import admission_controller
from onyxspoke.core.shard.actions import ReplyToCall
from onyxspoke.core.shard.calls import ReplyCode, SubmitCall


def _scheduler(context: Any) -> Any:
    return context.cluster.holder().node.seats[0].scheduler


@when("a job is admitted to it, and from then on every decision is a refusal")
def _admit_one_then_refuse(context: Any) -> None:
    context.traffic.submit("normal")
    context.cluster.run(0.5)
    patch = mock.patch.object(AdmissionDecider, "decide", _refuse)
    patch.start()
    context.add_cleanup(patch.stop)


def _refuse(_decider: AdmissionDecider, job: SubmittedJob, view: LoadView, now: float) -> Any:
    inputs = VerdictInputs(
        start_delay_seconds=0.0,
        advice_seconds=0.0,
        work_median_seconds=0.0,
        work_upper_seconds=0.0,
        seconds_to_expiry=0.0,
        load_view_age_seconds=0.0,
    )
    return Refuse(RefusalReason.TOO_LATE, 1.0, inputs)


@then("a known job is accepted again, also one whose append is in flight")
def _known_job_accepted(context: Any) -> None:
    [caller] = context.traffic.select()
    scheduler = _scheduler(context)
    now = context.cluster.time.now()
    job_registry = scheduler.context.job_registry
    in_flight = msgspec.structs.replace(caller.spec, job_id="f" * 16)
    job_registry.submit(in_flight, now)
    replies = []
    for spec in (caller.spec, in_flight):
        scheduler.on_call(-1, SubmitCall(spec), now)
        replies += [a.reply for a in scheduler.context.actions if isinstance(a, ReplyToCall)]
        scheduler.context.actions = [
            action for action in scheduler.context.actions if not isinstance(action, ReplyToCall)
        ]
    assert [reply.code for reply in replies] == [ReplyCode.OK], replies


@then("an unknown job is refused, and decided anew when it is retried")
def _unknown_job_refused(context: Any) -> None:
    caller = context.traffic.submit("normal")
    context.cluster.run(0.5)
    assert len(caller.refusals) == 1
    mock.patch.stopall()
    context.cluster.run(5.0)
    assert caller.accepted_at is not None and caller.is_done_before_expiry


@then("a job of the tenant of weight 0 that is sent {times:d} times counts once against its share")
def _counted_once(context: Any, times: int) -> None:
    scheduler = _scheduler(context)
    [caller] = context.traffic.select()
    shares = scheduler.context.share_meter
    # The first job uses the one job of fair share that the tenant has saved up.
    for name, count in (("d", 1), ("e", times)):
        spec = msgspec.structs.replace(caller.spec, job_id=name * 16, tenant="none")
        for _ in range(count):
            scheduler.on_call(-1, SubmitCall(spec), context.cluster.time.now())
            context.cluster.run(1.0)
    assert (shares.entitled_count("none"), shares.over_share_count("none")) == (1, 1)


@given("every function of admission control raises an error")
def _admission_raises(context: Any) -> None:
    def fail(*_args: Any, **_kwargs: Any) -> None:
        raise AssertionError("called while admission control is off")

    for target in (
        (AdmissionDecider, "decide"),
        (admission_controller, "build_load_view"),
        (admission_controller, "describe_submitted_job"),
        (RefusedJobs, "refuse"),
    ):
        patch = mock.patch.object(*target, fail)
        patch.start()
        context.add_cleanup(patch.stop)


@then("all its jobs are accepted while the store answers")
def _all_accepted(context: Any) -> None:
    assert context.traffic.select()
    for caller in context.traffic.select():
        assert all(reason == "store_in_trouble" for _at, _wait, reason in caller.refusals)
