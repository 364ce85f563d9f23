"""Whether a worker crashed, and which of its runs may have brought it down.

| sign | concluded |
|---|---|
| another life answers at the address, and the worker was not leaving | it crashed |
| its lease is over, its entry gone, and it was not leaving | it crashed, or was cut off; counted |
| its lease is over, and its entry stays | only the way there is cut; not counted |
| it was draining, or its entry had gone while it answered | a planned end; not counted |
| the same life answers again before that | a cut or a freeze; not counted |

Another life is one of another name, or of another birth under the same name.
"""

from __future__ import annotations

from enum import Enum

from onyxspoke.core.jobs.crashes import CrashBlame
from onyxspoke.core.jobs.states import RunState
from onyxspoke.core.placement.runs import Run
from onyxspoke.core.placement.worker_record import WorkerListing
from onyxspoke.core.placement.workers import Worker

#: Runs that were ordered at most so long, in seconds, before their worker was last heard of had
#: just begun when it went down.  Tasks that crash a worker as they start do so within some 10 ms;
#: the rest leaves room for orders that are answered out of turn.
RECENT_START_SECONDS = 0.5
#: But one that its worker listed at work so long, in seconds, after the order has survived its
#: beginning.  Without that, runs listed 0.24 and 0.44 s after their orders, whose ends were not
#: read before their workers went down, ended two jobs of 150 explored schedules.
SURVIVED_SECONDS = 0.1
#: A worker that was not heard for longer, in seconds, while looks at it were lost and none was
#: refused, went down at an unknown moment: a cut may have hidden the ends of its runs.  Blamed as
#: just begun, a gang that had ended well behind a cut ended its job.
KNOWN_MOMENT_SECONDS = 1.0
#: A lasting task that has worked for so long, in seconds, does not crash its workers: over months
#: some worker or other goes down under each of them, and that must not end their jobs.
STEADY_SECONDS = 30.0


class IncarnationEndReason(Enum):
    """By what sign a worker's life is taken for over."""

    OTHER_INCARNATION = "other_life"
    LEASE_EXPIRED = "lease_over"


def has_crashed(worker: Worker, sign: IncarnationEndReason) -> bool:
    """Return whether a worker whose life is over went down unplanned, as far as can be told."""
    was_listed = worker.last_contact_listing
    was_leaving = WorkerListing.DRAINING in (worker.listing, was_listed)
    if was_leaving or was_listed is WorkerListing.GONE:
        return False
    return sign is IncarnationEndReason.OTHER_INCARNATION or worker.listing is WorkerListing.GONE


def blame_runs(worker: Worker, now: float) -> list[tuple[Run, CrashBlame]]:
    """Return the runs that were ordered on a worker that crashed, each with its blame."""
    runs = [run for run in worker.runs.values() if run.state is not RunState.PLANNED]
    recent = [run for run in runs if _had_just_begun(run, worker)]
    if _went_down_at_unknown_moment(worker, now):
        recent = []
    is_one_job = len({run.task.key.job_id for run in recent}) == 1
    blame_of_recent = CrashBlame.ALONE if is_one_job else CrashBlame.RECENT
    return [(run, _blame_of(run, run in recent, blame_of_recent, now)) for run in runs]


def _went_down_at_unknown_moment(worker: Worker, now: float) -> bool:
    was_lost = worker.was_unanswered and not worker.was_refused
    return was_lost and now - worker.last_answer_at > KNOWN_MOMENT_SECONDS


def _had_just_begun(run: Run, worker: Worker) -> bool:
    has_survived = run.listed_at - run.ordered_at >= SURVIVED_SECONDS
    if _has_stopped(run) or has_survived or not run.ordered_at:
        return False
    return run.ordered_at >= worker.last_answer_at - RECENT_START_SECONDS


def _has_stopped(run: Run) -> bool:
    """Return whether a run has surely ended before its worker went down, though its end is unread.

    A worker that answers a stop ends the run in a fraction of a second.  Blamed as if they had been
    there, such runs ended a job whose workers went down two seconds after it had left them.  A stop
    without an answer tells nothing: the worker may have gone down under the run before.
    """
    return run.state is RunState.STOPPING and run.stop_answered_at > 0.0


def _blame_of(run: Run, is_recent: bool, blame_of_recent: CrashBlame, now: float) -> CrashBlame:
    if not run.confirmed_at or _has_stopped(run):
        return CrashBlame.UNCONFIRMED
    if is_recent:
        return blame_of_recent
    is_steady = now - run.confirmed_at >= STEADY_SECONDS
    is_lasting = run.task.step.spec.long_running
    return CrashBlame.NONE if is_lasting and is_steady else CrashBlame.CONFIRMED
