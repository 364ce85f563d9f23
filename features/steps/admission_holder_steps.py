"""Steps about identifiers that a holder knows, and about the part switched off."""

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


@when("its gate refuses everything")
def _refuse_all(context: Any) -> None:
    context.arrivals.hand_in("normal")
    context.cluster.run(0.5)
    patch = mock.patch.object(AdmissionDecider, "decide", _refuse)
    patch.start()
    context.add_cleanup(patch.stop)


def _refuse(_gate: AdmissionDecider, job: SubmittedJob, view: LoadView, now: float) -> Any:
    inputs = VerdictInputs(
        ahead_seconds=0.0,
        advice_seconds=0.0,
        work_median_seconds=0.0,
        work_upper_seconds=0.0,
        patience_seconds=0.0,
        view_age_seconds=0.0,
    )
    return Refuse(RefusalReason.TOO_LATE, 1.0, inputs)


@then("a job that was taken before has its 2xx again, also one that an append under way has")
def _known(context: Any) -> None:
    [caller] = context.arrivals.of()
    scheduler = _scheduler(context)
    now = context.cluster.time.now()
    book = scheduler.context.job_registry
    fresh = msgspec.structs.replace(caller.spec, job_id="f" * 16)
    book.submit(fresh, now)
    replies = []
    for spec in (caller.spec, fresh):
        scheduler.on_call(-1, SubmitCall(spec), now)
        replies += [a.reply for a in scheduler.context.actions if isinstance(a, ReplyToCall)]
        scheduler.context.actions = [
            action for action in scheduler.context.actions if not isinstance(action, ReplyToCall)
        ]
    assert [reply.code for reply in replies] == [ReplyCode.OK], replies


@then("a job that is not known is refused, and decided anew when it comes again")
def _unknown_refused(context: Any) -> None:
    caller = context.arrivals.hand_in("normal")
    context.cluster.run(0.5)
    assert len(caller.refusals) == 1
    mock.patch.stopall()
    context.cluster.run(5.0)
    assert caller.accepted_at is not None and caller.is_of_use


@then("a job of the first that comes {times:d} times asks once whether it is owed")
def _asks_once(context: Any, times: int) -> None:
    scheduler = _scheduler(context)
    [caller] = context.arrivals.of()
    shares = scheduler.context.share_meter
    # The first job of all takes the one mark that is saved up.
    for name, count in (("d", 1), ("e", times)):
        spec = msgspec.structs.replace(caller.spec, job_id=name * 16, tenant="none")
        for _ in range(count):
            scheduler.on_call(-1, SubmitCall(spec), context.cluster.time.now())
            context.cluster.run(1.0)
    assert (shares.entitled_count("none"), shares.over_share_count("none")) == (1, 1)


@given("nothing of the part can be asked")
def _poisoned(context: Any) -> None:
    def fail(*_args: Any, **_kwargs: Any) -> None:
        raise AssertionError("asked while it is off")

    for target in (
        (AdmissionDecider, "decide"),
        (admission_controller, "build_view"),
        (admission_controller, "describe_hand_in"),
        (RefusedJobs, "refuse"),
    ):
        patch = mock.patch.object(*target, fail)
        patch.start()
        context.add_cleanup(patch.stop)


@then("its jobs are all taken while the store answers")
def _all_taken(context: Any) -> None:
    assert context.arrivals.of()
    for caller in context.arrivals.of():
        assert all(reason == "store_in_trouble" for _at, _wait, reason in caller.refusals)
