"""How often workers went down under a task, and when the task is given up for it.

A worker that goes down reports nothing, so these ends are counted here and not with those that
workers report; otherwise a task that crashes its workers goes from one to the next for ever.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

#: Tasks are given up once so many workers went down just after only tasks of their job had begun
#: there: two of those are no chance, as other crashes seldom follow a start so closely, ...
ALONE_TO_GIVE_UP = 2
#: ... once so many went down just after they, and other jobs' tasks, had begun, ...
RECENT_TO_GIVE_UP = 3
#: ... once so many went down at any time of their runs, whoever is to blame, which bounds what a
#: task takes down that crashes its workers late, ...
CERTAIN_TO_GIVE_UP = 4
#: ... or once so many went down that may have run them: an order without an answer may have come
#: too late, and a former holder's may never have been sent.  Counted as certain, those ended jobs
#: whose orders had gone to workers that were down already, in 2 of 300 explored schedules.
TOTAL_TO_GIVE_UP = 5
#: So many that may have run it make a task suspicious, though none is known to have.
TOTAL_TO_SUSPECT = 2


class CrashBlame(Enum):
    """What speaks for it that a run brought its worker down.

    ``NONE``: a lasting task had been at work for long.  ``UNCONFIRMED``: it may never have begun
    there.
    ``CONFIRMED``: it was there.  ``RECENT``: it had just has_started, as others had.  ``ALONE``:
    only tasks
    of its job had just begun.
    """

    NONE = "none"
    UNCONFIRMED = "doubted"
    CONFIRMED = "present"
    RECENT = "recent"
    ALONE = "alone"


class CrashTally(NamedTuple):
    """Workers that went down under a task.

    ``total``: those that may have run it.  ``certain``: those that did.  ``recent``: of these,
    those that went down just after its start.  ``alone``: of these, those where nothing of other
    jobs had begun.
    """

    total: int = 0
    certain: int = 0
    recent: int = 0
    alone: int = 0

    def add(self, blame: CrashBlame) -> CrashTally:
        """Return the tally with one more crash; a run that has worked for long clears it."""
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
        """Whether the task is to begin apart from others, so that a crash shows who caused it."""
        return self.recent > 0 or self.total >= TOTAL_TO_SUSPECT

    @property
    def is_hopeless(self) -> bool:
        """Whether the task is not started any more."""
        return (
            self.alone >= ALONE_TO_GIVE_UP
            or self.recent >= RECENT_TO_GIVE_UP
            or self.certain >= CERTAIN_TO_GIVE_UP
            or self.total >= TOTAL_TO_GIVE_UP
        )
