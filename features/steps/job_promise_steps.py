"""Steps that simulate jobs under fault schedules in virtual time."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from behave import then, when

from onyxspoke.core.jobs import records
from onyxspoke.core.jobs.crashes import CrashTally
from onyxspoke.core.jobs.job_registry import JobRegistry
from onyxspoke.core.jobs.progress import JobProgress, StepProgress
from onyxspoke.core.placement import isolation, spreading
from onyxspoke.core.placement.spreading import StepPlacement
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.shard import journal, scheduler
from onyxspoke.core.shard.call_copies import CallCopies
from onyxspoke.core.shard.calls import CallReply
from onyxspoke.core.shard.commit import CommitQueue
from onyxspoke.core.shard.run_starter import RunStarter
from onyxspoke.core.shard.worker_manager import WorkerManager
from onyxspoke.kit.jobs.workers import FakeWorker
from onyxspoke.node.call_router import CallRouter
from onyxspoke.sim.explore_jobs import (
    JobRunReport,
    play,
    play_overload,
    play_returns,
    play_stops,
    play_zones,
)


@when("jobs are played over seeds {first:d} to {last:d} without faults")
def _play_without_faults(context: Any, first: int, last: int) -> None:
    context.job_reports = [play(seed, []) for seed in range(first, last + 1)]


@when("jobs are played over seeds {first:d} to {last:d} with drawn faults")
def _play_faults(context: Any, first: int, last: int) -> None:
    context.job_reports = [play(seed) for seed in range(first, last + 1)]


@when("jobs are played over seeds {first:d} to {last:d} with crashes and changing workers")
def _play_crashes(context: Any, first: int, last: int) -> None:
    context.job_reports = [play(seed, with_crashes=True) for seed in range(first, last + 1)]


@when("jobs are played over seeds {first:d} to {last:d} with workers that keep their names")
def _play_restarts(context: Any, first: int, last: int) -> None:
    context.job_reports = [
        play(seed, with_crashes=True, keep_names=True) for seed in range(first, last + 1)
    ]


@when(
    "jobs are played over seeds {first:d} to {last:d} with workers that keep their names,"
    " in three shards"
)
def _play_restarts_in_shards(context: Any, first: int, last: int) -> None:
    context.job_reports = [
        play(seed, shards=3, with_crashes=True, keep_names=True) for seed in range(first, last + 1)
    ]


@when("an overload in which calls are sent again is played with seed {seed:d}")
def _play_overload(context: Any, seed: int) -> None:
    context.job_reports = [play_overload(seed)]


@then("at least a quarter of the jobs were refused")
def _quarter_refused(context: Any) -> None:
    for report in context.job_reports:
        refused = report.counts.get("submit_refused", 0)
        assert refused * 4 >= refused + report.counts.get("submit_ok", 0), report.counts


@when('the same overload is played without "{mechanism}"')
def _play_overload_without(context: Any, mechanism: str) -> None:
    (report,) = context.job_reports
    with MECHANISM_DISABLERS[mechanism]():
        context.job_reports = [play_overload(report.seed)]


@then('the simulation has broken "{name}"')
def _simulation_broke(context: Any, name: str) -> None:
    (report,) = context.job_reports
    found = {finding.violation.value for finding in report.findings}
    assert name in found, found


@when("overlapping stops of all nodes are played with seed {seed:d}, in {shards:d} shard(s)")
def _play_stops(context: Any, seed: int, shards: int) -> None:
    context.job_reports = [play_stops(seed, shards)]


@when("cuts of the holder's zone are played with seed {seed:d}, in {shards:d} shard(s)")
def _play_zones(context: Any, seed: int, shards: int) -> None:
    context.job_reports = [play_zones(seed, shards)]


@when("holders that get their shards back are played with seed {seed:d}, in {shards:d} shard(s)")
def _play_returns(context: Any, seed: int, shards: int) -> None:
    context.job_reports = [play_returns(seed, shards)]


@then("nothing that must hold is broken")
def _nothing_broken(context: Any) -> None:
    assert all(report.checks for report in context.job_reports)
    broken = [report for report in context.job_reports if report.findings]
    assert not broken, "\n".join(_describe(report) for report in broken)


@then("at least {count:d} jobs were completed")
def _completed(context: Any, count: int) -> None:
    completed = sum(report.counts.get("end_completed", 0) for report in context.job_reports)
    assert completed >= count, completed


def _describe(report: JobRunReport) -> str:
    lines = [f"seed {report.seed}: {report.schedule}"]
    lines += [f"  {item.at:.2f} {item.violation.value} {item.detail}" for item in report.findings]
    return "\n".join(lines)


def _start_before_commit(step: StepProgress) -> bool:
    return bool(step.waiting) and step.unfinished_dependencies == 0 and not step.job.state.is_final


@contextmanager
def _without_commit_before_start() -> Iterator[None]:
    original = RunStarter.start

    def start(starter: RunStarter, plan: StepPlacement, now: float) -> None:
        original(starter, plan, now)
        starter.order_starts([item.task.run for item in plan.placements if item.task.run], now)

    with (
        mock.patch.object(StepProgress, "is_startable", property(_start_before_commit)),
        mock.patch.object(RunStarter, "start", start),
    ):
        yield


@contextmanager
def _without_record_of_starts() -> Iterator[None]:
    with mock.patch.object(records, "_placements", lambda _step, _tasks: {}):
        yield


@contextmanager
def _without_fencing() -> Iterator[None]:
    with mock.patch.object(FakeWorker, "_take_token", lambda self, token: True):
        yield


@contextmanager
def _without_leases() -> Iterator[None]:
    with mock.patch.object(Worker, "lease_over_at", lambda self: 0.0):
        yield


@contextmanager
def _without_orphan_capacity() -> Iterator[None]:
    original = Worker.is_offered

    def is_offered(worker: Worker, now: float) -> bool:
        orphan_runs, worker.orphan_runs = worker.orphan_runs, {}
        try:
            return original(worker, now)
        finally:
            worker.orphan_runs = orphan_runs

    with mock.patch.object(Worker, "is_offered", is_offered):
        yield


@contextmanager
def _without_ownership_proof() -> Iterator[None]:
    def reply_at_once(queue: CommitQueue, effect: Any) -> None:
        effect(queue.ownership_proven_at)

    with mock.patch.object(CommitQueue, "after_proof", reply_at_once):
        yield


@contextmanager
def _without_commit_before_acknowledgement() -> Iterator[None]:
    def acknowledge_at_once(manager: WorkerManager, worker: Worker, now: float) -> None:
        worker.acknowledged_through = worker.processed_through
        worker.next_hold_at = now + 0.03

    with mock.patch.object(WorkerManager, "_after_answer", acknowledge_at_once):
        yield


@contextmanager
def _without_starts_marker() -> Iterator[None]:
    with mock.patch.object(scheduler, "starts_are_recorded", lambda _records, _token: False):
        yield


@contextmanager
def _without_crash_count() -> Iterator[None]:
    with mock.patch.object(
        JobRegistry, "task_crashed", lambda _registry, _task, _blame, _now: False
    ):
        yield


@contextmanager
def _without_record_of_crashes() -> Iterator[None]:
    original = records.encode_divided_progress

    def encode(job: JobProgress) -> bytes:
        tallies = [(task, task.crashes) for step in job.steps() for task in step.tasks]
        for task, _ in tallies:
            task.crashes = CrashTally()
        try:
            return original(job)
        finally:
            for task, tally in tallies:
                task.crashes = tally

    with mock.patch.object(journal, "encode_divided_progress", encode):
        yield


@contextmanager
def _without_unconfirmed_crashes() -> Iterator[None]:
    with mock.patch.object(JobRegistry, "tasks_in_doubt_on", lambda _registry, _worker_id: []):
        yield


@contextmanager
def _without_isolation() -> Iterator[None]:
    with mock.patch.object(CrashTally, "needs_isolation", False):
        yield


@contextmanager
def _without_trial() -> Iterator[None]:
    def is_on_trial(_step: StepProgress) -> bool:
        return False

    with (
        mock.patch.object(isolation, "is_on_trial", is_on_trial),
        mock.patch.object(spreading, "is_on_trial", is_on_trial),
    ):
        yield


@contextmanager
def _without_copies() -> Iterator[None]:
    def refuse(copies: CallCopies, _number: int, reply: CallReply) -> None:
        copies._undecided.clear()
        copies._refusal = reply

    with (
        mock.patch.object(CallRouter, "_find_open_copy", lambda _router, _pending, _route: None),
        mock.patch.object(CallCopies, "handle_refused", refuse),
    ):
        yield


#: Context managers that disable one mechanism, by the mechanism's name in the features.
MECHANISM_DISABLERS = {
    "start orders only after the commit": _without_commit_before_start,
    "the records of starts": _without_record_of_starts,
    "the marker of recorded starts": _without_starts_marker,
    "fencing tokens at workers": _without_fencing,
    "lease expiry": _without_leases,
    "capacity of orphan runs": _without_orphan_capacity,
    "proof of ownership before unknown jobs": _without_ownership_proof,
    "acknowledging ends only after the commit": _without_commit_before_acknowledgement,
    "the count of crashes": _without_crash_count,
    "the record of crashes": _without_record_of_crashes,
    "crashes that a former holder did not see": _without_unconfirmed_crashes,
    "a beginning apart": _without_isolation,
    "a trial of steps": _without_trial,
    "tracking the copies of submissions": _without_copies,
}
