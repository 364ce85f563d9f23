"""Gathers what the logs of all nodes say of each job, task by task."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import NamedTuple

#: Lines of a holder that show it at work; the last one before a takeover ends its reign.
_HOLDER_EVENTS = frozenset({"run_start", "run_ended", "job_taken", "job_accepted", "job_ended"})
_PAIR = re.compile(r"(\w+)=(\S+)")


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


@dataclass(slots=True)
class JobTrail:
    """What the logs say of one job; times in seconds since 1970, None where not told."""

    job_id: str
    queue: str = "?"
    tenant: str = ""
    #: Its tenant had handed in more than it is owed.
    is_beyond_share: bool = False
    #: The objective is this many times the work of the longest chain, and the target more.
    stretch: float = 1.0
    target_seconds: float = 0.0
    taken_at: float | None = None
    accepted_at: float | None = None
    refused_at: float | None = None
    ended_at: float | None = None
    state: str = ""
    runs: dict[TaskName, dict[int, RunTrail]] = field(default_factory=dict)
    #: Times at which advice on a step came, by repetition and step.
    advice: dict[tuple[int, int], list[float]] = field(default_factory=dict)


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
        if event == "job_taken" and job.taken_at is None:
            job.taken_at = moment
            job.queue = pairs.get("queue", "?")
            job.tenant = pairs.get("tenant", "")
            job.is_beyond_share = pairs.get("beyond_share") == "1"
            job.stretch = float(pairs.get("stretch", "1"))
            job.target_seconds = int(pairs.get("target_ms", "0")) / 1_000.0
        elif event == "job_accepted" and job.accepted_at is None:
            job.accepted_at = moment
        elif event == "job_refused":
            job.refused_at = moment
        elif event == "job_ended":
            job.ended_at, job.state = moment, pairs.get("state", "?")

    def _take_run_event(self, event: str, moment: float, pairs: dict[str, str]) -> None:
        job_id, repetition, step, index = pairs["task"].split(".")
        name = TaskName(int(repetition), int(step), int(index))
        runs = self._job(job_id).runs.setdefault(name, {})
        number = int(pairs.get("run", "0"))
        if event in ("run_start", "run_adopted"):
            quota_seconds = int(pairs.get("quota_ms", "0")) / 1_000.0
            runs.setdefault(number, RunTrail(moment, quota_seconds=quota_seconds))
        elif number in runs and runs[number].ended_at is None:
            if event in ("run_ended", "end_recovered"):
                runs[number].ended_at, runs[number].how = moment, pairs.get("how", "?")
            elif event in ("run_abandoned", "run_missing", "start_refused", "start_settled"):
                runs[number].ended_at, runs[number].how = moment, event


def read_trails(lines: Iterable[str]) -> Trails:
    """Gather the trails of all jobs from log lines in any order."""
    entries = []
    for text in lines:
        pairs = dict(_PAIR.findall(text))
        moment = _moment(pairs.get("time", ""))
        if moment is not None and "event" in pairs:
            entries.append((moment, pairs))
    entries.sort(key=lambda entry: entry[0])
    reader = TrailReader()
    for moment, pairs in entries:
        try:
            reader.take(pairs["event"], moment, pairs)
        except ValueError:
            reader.trails.unreadable += 1
    return reader.trails


def _moment(text: str) -> float | None:
    try:
        return datetime.fromisoformat(text).timestamp()
    except ValueError:
        return None
