"""Gathers what the logs of all nodes say of each job, task by task."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from onyxspoke.account.log_lines import LogReader

#: Lines of a holder that show it at work; the last one before a takeover ends its reign.
_HOLDER_EVENTS = frozenset({"run_start", "run_ended", "job_taken", "job_accepted", "job_ended"})
_STARTS = frozenset({"run_start", "run_adopted"})
#: Lines that tell how a run ended; those without `how=` say it by their name.
_ENDS = frozenset(
    {
        "run_ended",
        "end_recovered",
        "run_abandoned",
        "run_missing",
        "start_refused",
        "start_settled",
    }
)
#: An entry tells the holder's refusal again within so many seconds.
_RELAY_SECONDS = 1.0
_MILLISECONDS = 1_000.0


class TaskName(NamedTuple):
    """A task within its job."""

    repetition: int
    step: int
    number: int


@dataclass(slots=True)
class RunTrail:
    """One run: when it was ordered, and when and how its end became known."""

    started_at: float
    ended_at: float | None = None
    how: str = ""
    #: For how long its step had waited for its tenant's quota.
    quota_seconds: float = 0.0
    worker: str = ""

    @property
    def seconds(self) -> float:
        """How long it took; 0 while its end is not known."""
        return 0.0 if self.ended_at is None else max(0.0, self.ended_at - self.started_at)


class Refusal(NamedTuple):
    """A caller was told to come back, or that it is not known whether its job was taken."""

    moment: float
    reason: str


@dataclass(slots=True)
class JobTrail:
    """What the logs say of one job; times in seconds since 1970, None where not told."""

    job_id: str
    queue: str = "?"
    tenant: str = ""
    #: Its tenant had handed in more than it is owed.
    is_over_share: bool = False
    #: The objective is this many times the work of the longest chain, and the target more.
    stretch: float = 1.0
    target_seconds: float = 0.0
    #: The objective allows each step of the chain one call for advice of so many seconds.
    advice_seconds: float = 0.0
    task_count: int = 0
    #: What the caller says that a task of each step takes.
    estimated_seconds: tuple[float, ...] = ()
    handed_in_at: float | None = None
    #: When it was taken for good: not again refused before it was accepted.
    taken_at: float | None = None
    accepted_at: float | None = None
    refusals: list[Refusal] = field(default_factory=list)
    ended_at: float | None = None
    state: str = ""
    is_cancelled: bool = False
    runs: dict[TaskName, dict[int, RunTrail]] = field(default_factory=dict)
    #: Times at which advice on a step came, by repetition and step.
    advice: dict[tuple[int, int], list[float]] = field(default_factory=dict)

    def refuse(self, moment: float, reason: str, held_seconds: float = 0.0) -> None:
        """Note a refusal; one that an entry tells again after the holder counts once."""
        if self.accepted_at is not None:
            return
        self.handed_in_at = min(self.handed_in_at or moment, moment - held_seconds)
        last = self.refusals[-1] if self.refusals else None
        if last is None or last.reason != reason or moment - last.moment > _RELAY_SECONDS:
            self.refusals.append(Refusal(moment, reason))

    @property
    def returned_seconds(self) -> float:
        """How long after its first hand-in, which was refused, it was taken."""
        if not self.refusals or self.taken_at is None or self.handed_in_at is None:
            return 0.0
        return max(0.0, self.taken_at - self.handed_in_at)


class Takeover(NamedTuple):
    """A change of holder: from the former one's last sign of work to known state."""

    began_at: float
    ended_at: float


@dataclass(slots=True)
class Trails:
    """Everything that was gathered."""

    jobs: dict[str, JobTrail] = field(default_factory=dict)
    takeovers: list[Takeover] = field(default_factory=list)
    #: Lines that break off, as the last one of a killed process may.
    unreadable: int = 0
    #: Lines that processes left out, by their own word.
    dropped: int = 0
    last_moment: float = 0.0


class TrailReader:
    """Takes log lines in the order of their times."""

    def __init__(self) -> None:
        self.trails = Trails()
        self._last_work_at: dict[str, float] = {}
        self._taking_over: dict[str, float] = {}

    def take(self, event: str, moment: float, pairs: dict[str, str]) -> None:
        """Take one line."""
        shard = pairs.get("shard", "0")
        if event == "state_restored":
            self._taking_over[shard] = self._last_work_at.get(shard, moment)
        elif event == "recovery_complete" and shard in self._taking_over:
            began_at = self._taking_over.pop(shard)
            self.trails.takeovers.append(Takeover(began_at, moment))
        if event in _HOLDER_EVENTS:
            self._last_work_at[shard] = moment
        if "task" in pairs:
            self._take_run_event(event, moment, pairs)
        elif event == "advice" and "step" in pairs:
            job_id, repetition, step = pairs["step"].split(".")
            self._job(job_id).advice.setdefault((int(repetition), int(step)), []).append(moment)
        elif "job" in pairs:
            self._take_job_event(event, moment, pairs)

    def _job(self, job_id: str) -> JobTrail:
        return self.trails.jobs.setdefault(job_id, JobTrail(job_id))

    def _take_job_event(self, event: str, moment: float, pairs: dict[str, str]) -> None:
        job = self._job(pairs["job"])
        if event == "job_taken":
            _take_in(job, moment, pairs)
        elif event == "job_accepted" and job.accepted_at is None:
            job.accepted_at = moment
        elif event == "job_refused":
            job.refuse(moment, pairs.get("reason", "?"))
        elif event == "call_given_up" and pairs.get("call") == "submit":
            job.queue = pairs.get("queue", job.queue)
            job.refuse(moment, pairs.get("reason", "?"), float(pairs.get("seconds", "0")))
        elif event == "job_cancel":
            job.is_cancelled = job.is_cancelled or pairs.get("known") == "1"
        elif event == "job_ended":
            job.ended_at, job.state = moment, pairs.get("state", "?")

    def _take_run_event(self, event: str, moment: float, pairs: dict[str, str]) -> None:
        job_id, repetition, step, index = pairs["task"].split(".")
        name = TaskName(int(repetition), int(step), int(index))
        if event not in _ENDS and event not in _STARTS:
            return
        runs = self._job(job_id).runs.setdefault(name, {})
        number = int(pairs.get("run", "0"))
        if event in _STARTS:
            quota_seconds = int(pairs.get("quota_ms", "0")) / _MILLISECONDS
            run = RunTrail(moment, quota_seconds=quota_seconds, worker=pairs.get("worker", ""))
            runs.setdefault(number, run)
        elif event in _ENDS:
            # The line of its start may be missing.
            run = runs.setdefault(number, RunTrail(moment, worker=pairs.get("worker", "")))
            if run.ended_at is None:
                run.ended_at, run.how = moment, pairs.get("how", event)


def _take_in(job: JobTrail, moment: float, pairs: dict[str, str]) -> None:
    if job.accepted_at is not None or (job.taken_at is not None and not job.refusals):
        return
    job.taken_at = moment
    job.handed_in_at = min(job.handed_in_at or moment, moment)
    job.queue = pairs.get("queue", "?")
    job.tenant = pairs.get("tenant", "")
    job.is_over_share = pairs.get("beyond_share") == "1"
    job.stretch = float(pairs.get("stretch", "1"))
    job.target_seconds = int(pairs.get("target_ms", "0")) / _MILLISECONDS
    job.advice_seconds = int(pairs.get("advice_ms", "0")) / _MILLISECONDS
    job.task_count = int(pairs.get("tasks", "0"))
    told = pairs.get("estimated_ms", "")
    job.estimated_seconds = tuple(int(item) / _MILLISECONDS for item in told.split(",") if item)


def read_trails(lines: Iterable[str]) -> Trails:
    """Gather the trails of all jobs from log lines in any order."""
    log = LogReader()
    reader = TrailReader()
    for line in log.read(lines):
        try:
            reader.take(line.event, line.moment, line.pairs)
        except (ValueError, KeyError):
            reader.trails.unreadable += 1
    reader.trails.unreadable += log.broken
    reader.trails.dropped = log.dropped
    reader.trails.last_moment = log.lines[-1].moment if log.lines else 0.0
    return reader.trails
