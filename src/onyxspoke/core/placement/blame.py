"""Decide whether a worker crashed, and which of its runs may have caused the crash.

| observation | conclusion |
|---|---|
| another incarnation answers at the address, and the worker was not draining | it crashed |
| its lease has expired, its entry is gone, and it was not draining | it crashed, or was cut off |
| its lease has expired, and its entry is still listed | only the connection is cut; no crash |
| it was draining, or its entry had gone while it still answered | a planned end; no crash |
| the same incarnation answers again before its lease expires | a cut or a freeze; no crash |

An entry is the worker's entry in the directory.  A worker that may only have been cut off is
counted as crashed.  Another incarnation has another name, or another start time under the same
name.
"""

from __future__ import annotations

from enum import Enum

from onyxspoke.core.jobs.crashes import CrashBlame
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_record import WorkerListing
from onyxspoke.core.placement.workers import Worker

#: A run counts as just started when its start was ordered at most this many seconds before its
#: worker last answered.  Tasks that crash a worker at their start do so within about 10 ms; the
#: rest of the window allows for orders that are answered out of sequence.
RECENT_START_SECONDS = 0.5
#: A run that its worker lists as running this many seconds after the start order has survived its
#: start.  Without this limit, runs whose ends were not yet read when their workers crashed would
#: be blamed for the crash, and their jobs would fail.  Two jobs failed in this way in 150 explored
#: schedules; their runs were listed 0.24 and 0.44 s after their orders.
SURVIVED_START_SECONDS = 0.1
#: The moment of a crash is unknown when the worker had not answered for longer than this, in
#: seconds, and its polls timed out without any refusal: a network cut may have hidden the ends of
#: its runs.  No run is then blamed as just started, because it may have succeeded behind the cut:
#: with that blame, a job failed whose gang had succeeded there.
KNOWN_CRASH_TIME_SECONDS = 1.0
#: A long-running task that has run for this many seconds is not blamed for a crash.  Over months
#: some worker fails under every such task, and these failures must not end its job.
STEADY_SECONDS = 30.0


class IncarnationEndReason(Enum):
    """Why the incarnation of a worker is considered to have ended."""

    OTHER_INCARNATION = "other_life"
    LEASE_EXPIRED = "lease_over"


def has_crashed(worker: Worker, reason: IncarnationEndReason) -> bool:
    """Return whether a worker whose incarnation has ended counts as crashed."""
    last_listing = worker.listing_at_last_answer
    was_draining = WorkerListing.DRAINING in (worker.listing, last_listing)
    if was_draining or last_listing is WorkerListing.GONE:
        return False
    return reason is IncarnationEndReason.OTHER_INCARNATION or worker.listing is WorkerListing.GONE


def blame_runs(worker: Worker, now: float) -> list[tuple[Run, CrashBlame]]:
    """Return every run that was ordered on a crashed worker, with its blame for the crash."""
    runs = [run for run in worker.runs.values() if run.state is not RunState.PLANNED]
    just_started = [run for run in runs if _had_just_started(run, worker)]
    if _crash_time_is_unknown(worker, now):
        just_started = []
    is_one_job = len({run.task.key.job_id for run in just_started}) == 1
    just_started_blame = CrashBlame.ALONE if is_one_job else CrashBlame.RECENT
    return [(run, _blame_of(run, run in just_started, just_started_blame, now)) for run in runs]


def _crash_time_is_unknown(worker: Worker, now: float) -> bool:
    only_timed_out = worker.poll_timed_out and not worker.poll_was_refused
    return only_timed_out and now - worker.last_answer_at > KNOWN_CRASH_TIME_SECONDS


def _had_just_started(run: Run, worker: Worker) -> bool:
    has_survived_start = run.listed_at - run.ordered_at >= SURVIVED_START_SECONDS
    if _had_stopped(run) or has_survived_start or not run.ordered_at:
        return False
    return run.ordered_at >= worker.last_answer_at - RECENT_START_SECONDS


def _had_stopped(run: Run) -> bool:
    """Return whether a run had certainly stopped before the crash, though its end was not read.

    A worker that answers a stop order ends the run within a fraction of a second.  Such a run
    must not be blamed for a crash that happens later: with that blame, a job failed whose workers
    crashed two seconds after its runs had left them.  A stop order without an answer proves
    nothing: the worker may have crashed before the order arrived, while the run was active.
    """
    return run.state is RunState.STOPPING and run.stop_answered_at > 0.0


def _blame_of(
    run: Run, is_just_started: bool, just_started_blame: CrashBlame, now: float
) -> CrashBlame:
    if not run.confirmed_at or _had_stopped(run):
        return CrashBlame.UNCONFIRMED
    if is_just_started:
        return just_started_blame
    is_steady = now - run.confirmed_at >= STEADY_SECONDS
    is_long_running = run.task.step.spec.long_running
    return CrashBlame.NONE if is_long_running and is_steady else CrashBlame.CONFIRMED
