"""What stand-ins see, and tell the process that audits."""

from __future__ import annotations

from enum import Enum

import msgspec

from onyxspoke.core.jobs.model import JobId, JobSpec, RunKey, WorkerId
from onyxspoke.core.jobs.states import RunEnd
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.core.shard.calls import CallReply


class Event(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Something seen, at a second of the machine's steady clock."""

    at: float


class Passed(Event, frozen=True):
    """All that this process saw until then has been told."""


class WorkerBorn(Event, frozen=True):
    """A life of a worker began."""

    record: WorkerRecord


class RunStarted(Event, frozen=True):
    """A run was started on the order of a machine."""

    worker_id: WorkerId
    run: RunKey
    payload: str
    node: str


class RunEnded(Event, frozen=True):
    """A run ended."""

    worker_id: WorkerId
    run: RunKey
    end: RunEnd


class RunNoted(Event, frozen=True):
    """A node said that it noted an end."""

    worker_id: WorkerId
    run: RunKey
    end: RunEnd


class RunCrashed(Event, frozen=True):
    """The worker crashed under a run."""

    worker_id: WorkerId
    run: RunKey


class LeaseLapsed(Event, frozen=True):
    """A worker's lease ran out; it lists these ends."""

    worker_id: WorkerId
    listed: tuple[RunKey, ...]


class JobSubmitted(Event, frozen=True):
    """A caller hands a job in for the first time."""

    spec: JobSpec


class SubmitAnswered(Event, frozen=True):
    """A hand-in was answered, or not at all."""

    job_id: JobId
    reply: CallReply | None


class CancelSent(Event, frozen=True):
    """A caller cancels a job."""

    job_id: JobId


class CancelAnswered(Event, frozen=True):
    """A cancel was answered."""

    job_id: JobId
    reply: CallReply


class StateAnswered(Event, frozen=True):
    """A caller was told a job's state."""

    job_id: JobId
    reply: CallReply


class CallCut(Event, frozen=True):
    """The connection of a call ended without an answer, so many seconds after it was sent."""

    job_id: JobId
    node: str
    seconds: float


class JobFinished(Event, frozen=True):
    """The state that a job had when it was asked for last."""

    job_id: JobId
    state: str


class AllAsked(Event, frozen=True):
    """Every job's last state was told."""


AnyEvent = (
    Passed
    | WorkerBorn
    | RunStarted
    | RunEnded
    | RunNoted
    | RunCrashed
    | LeaseLapsed
    | JobSubmitted
    | SubmitAnswered
    | CancelSent
    | CancelAnswered
    | StateAnswered
    | CallCut
    | JobFinished
    | AllAsked
)


class Command(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """What the runner tells a stand-in."""


class SetStoreFaults(Command, frozen=True):
    """The store's faults from now on."""

    is_down: bool = False
    extra_seconds: float = 0.0
    loses_share: float = 0.0
    late_seconds: float = 0.0


class CrashWorker(Command, frozen=True):
    """A worker crashes; its next life begins later."""

    index: int
    seconds: float


class SetLateOrders(Command, frozen=True):
    """Share of the orders that every worker carries out late and leaves unanswered."""

    share: float


class StopSubmitting(Command, frozen=True):
    """Callers hand in nothing more, and ask for each job's last state."""


class LinkMode(Enum):
    """How a link is struck.

    ``DELAY``: each piece comes later.  ``RESET``: connections are reset.  ``SILENCE``: connections
    pass nothing more, for good; new ones do.  ``CUT_OUT``, ``CUT_BACK``: what goes out, or comes
    back, arrives only once the link is healed.  ``CUT``: neither way, and what connects meanwhile
    gets no further until then.
    """

    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    CUT_OUT = "cut_out"
    CUT_BACK = "cut_back"
    CUT = "cut"


class StrikeLinks(Command, frozen=True):
    """Links of the proxy are struck for a time, for what connects from some hosts or from any."""

    names: tuple[str, ...]
    mode: LinkMode
    seconds: float
    sources: tuple[str, ...] = ()


AnyCommand = SetStoreFaults | CrashWorker | SetLateOrders | StopSubmitting | StrikeLinks
