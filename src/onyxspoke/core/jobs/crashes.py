"""Counts of worker crashes during the runs of a task, and the limits at which its job fails.

A crashed worker reports nothing, so failures that workers report don't include crashes. Without
these limits, a task that crashes its workers would be restarted on one worker after another.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

#: Limit on crashes shortly after tasks of this job, and of no other job, started on the worker.
#: Other crashes seldom follow a start so closely, so two of them are not a coincidence.
SOLE_JOB_CRASH_LIMIT = 2
#: Limit on crashes shortly after this task started, whether or not other jobs' tasks started too.
RECENT_START_CRASH_LIMIT = 3
#: Limit on crashes of workers that are known to have run the task, at any time during the run.
#: This bounds the damage of a task that crashes its workers long after the start.
CONFIRMED_CRASH_LIMIT = 4
#: Limit on crashes of workers that may have run the task, confirmed or not. An unanswered start
#: order may have arrived too late, and an order of a previous holder may never have been sent. If
#: such crashes counted as confirmed, jobs would fail because their orders went to workers that were
#: already down, as happened in 2 of 300 explored schedules.
TOTAL_CRASH_LIMIT = 5
#: A task starts in isolation once this many workers that may have run it have crashed.
TOTAL_CRASHES_TO_ISOLATE = 2


class CrashBlame(Enum):
    """How strongly the crash of a worker is attributed to one run.

    ``NONE``: a long-running task had run for a long time.  ``UNCONFIRMED``: the run may never have
    started on the worker.  ``CONFIRMED``: the run was on the worker.  ``RECENT``: the run had
    recently started, and so had runs of other jobs.  ``ALONE``: only runs of this job had recently
    started.
    """

    NONE = "none"
    UNCONFIRMED = "doubted"
    CONFIRMED = "present"
    RECENT = "recent"
    ALONE = "alone"


class CrashTally(NamedTuple):
    """Numbers of worker crashes during the runs of a task.

    ``total``: crashes of workers that may have run the task.  ``certain``: crashes of workers that
    are known to have run the task.  ``recent``: the part of ``certain`` that followed shortly after
    the start of the task.  ``alone``: the part of ``recent`` where no task of another job had
    recently started on the worker.
    """

    total: int = 0
    certain: int = 0
    recent: int = 0
    alone: int = 0

    def add(self, blame: CrashBlame) -> CrashTally:
        """Return the tally with one more crash, or an empty tally if the blame is ``NONE``."""
        if blame is CrashBlame.NONE:
            return CrashTally()
        return CrashTally(
            self.total + 1,
            self.certain + (blame is not CrashBlame.UNCONFIRMED),
            self.recent + (blame in (CrashBlame.RECENT, CrashBlame.ALONE)),
            self.alone + (blame is CrashBlame.ALONE),
        )

    @property
    def needs_isolation(self) -> bool:
        """Whether to start the task apart from other jobs, so that a crash identifies its cause."""
        return self.recent > 0 or self.total >= TOTAL_CRASHES_TO_ISOLATE

    @property
    def reaches_crash_limit(self) -> bool:
        """Whether the task has caused too many crashes to be started again."""
        return (
            self.alone >= SOLE_JOB_CRASH_LIMIT
            or self.recent >= RECENT_START_CRASH_LIMIT
            or self.certain >= CONFIRMED_CRASH_LIMIT
            or self.total >= TOTAL_CRASH_LIMIT
        )


#: The tally of a task under which no worker has crashed.
NO_CRASHES = CrashTally()
