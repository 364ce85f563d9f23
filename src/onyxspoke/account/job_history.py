"""Reconstructs the history of each job and its runs from the logs of all nodes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from onyxspoke.account.log_lines import LogReader

#: Events that only an active holder logs; a takeover starts at the last one of the previous holder.
_HOLDER_EVENTS = frozenset({"run_start", "run_ended", "job_taken", "job_accepted", "job_ended"})
_RUN_START_EVENTS = frozenset({"run_start", "run_adopted"})
#: Events for the end of a run; the event's name is the kind of end if the line has no `how=`.
_RUN_END_EVENTS = frozenset(
    {
        "run_ended",
        "end_recovered",
        "run_abandoned",
        "run_missing",
        "start_refused",
        "start_settled",
    }
)
#: An equal refusal within this time is the entry's log line about the holder's refusal.
_DUPLICATE_REFUSAL_SECONDS = 1.0
_MILLISECONDS_PER_SECOND = 1_000.0


class TaskId(NamedTuple):
    """Identifies a task within its job."""

    repetition: int
    step: int
    number: int


@dataclass(slots=True)
class RunHistory:
    """One run, with the logged times of its start and end and the logged kind of its end."""

    started_at: float
    ended_at: float | None = None
    end_kind: str = ""
    #: Time for which the step of the run had waited for its tenant's quota.
    quota_seconds: float = 0.0
    worker: str = ""

    @property
    def seconds(self) -> float:
        """Duration of the run; 0 if its end is unknown."""
        return 0.0 if self.ended_at is None else max(0.0, self.ended_at - self.started_at)


class Refusal(NamedTuple):
    """A refused submission, or one whose caller could not learn whether the job was admitted."""

    timestamp: float
    reason: str


@dataclass(slots=True)
class JobHistory:
    """The logged history of one job; times are in seconds since 1970, None if not logged."""

    job_id: str
    queue: str = "?"
    tenant: str = ""
    #: The job's tenant was over its fair share.
    is_over_share: bool = False
    #: The objective is the time that the critical path requires, multiplied by this factor, plus
    #: ``target_seconds``.
    stretch: float = 1.0
    target_seconds: float = 0.0
    #: Time that the objective allows for one advice call per step of the critical path.
    advice_seconds: float = 0.0
    task_count: int = 0
    #: The caller's estimate of the time of one task, by step.
    estimated_seconds: tuple[float, ...] = ()
    submitted_at: float | None = None
    #: Time of the latest admission; a later one replaces it if the job was refused in between.
    admitted_at: float | None = None
    accepted_at: float | None = None
    refusals: list[Refusal] = field(default_factory=list)
    ended_at: float | None = None
    state: str = ""
    is_cancelled: bool = False
    #: Runs by task and run number.
    runs: dict[TaskId, dict[int, RunHistory]] = field(default_factory=dict)
    #: Times at which advice on a step arrived, by repetition and step.
    advice_received_at: dict[tuple[int, int], list[float]] = field(default_factory=dict)

    def add_refusal(self, timestamp: float, reason: str, call_seconds: float = 0.0) -> None:
        """Add a refusal, unless an entry only repeats the last refusal of the holder."""
        if self.accepted_at is not None:
            return
        self.submitted_at = min(self.submitted_at or timestamp, timestamp - call_seconds)
        last_refusal = self.refusals[-1] if self.refusals else None
        if (
            last_refusal is None
            or last_refusal.reason != reason
            or timestamp - last_refusal.timestamp > _DUPLICATE_REFUSAL_SECONDS
        ):
            self.refusals.append(Refusal(timestamp, reason))

    @property
    def resubmission_seconds(self) -> float:
        """Time from the first, refused submission to the admission; 0 if none was refused."""
        if not self.refusals or self.admitted_at is None or self.submitted_at is None:
            return 0.0
        return max(0.0, self.admitted_at - self.submitted_at)


class Takeover(NamedTuple):
    """A change of holder, from the previous holder's last logged event to the end of recovery."""

    began_at: float
    ended_at: float


@dataclass(slots=True)
class LogHistory:
    """The history of all jobs and takeovers in the logs."""

    jobs: dict[str, JobHistory] = field(default_factory=dict)
    takeovers: list[Takeover] = field(default_factory=list)
    #: Number of lines that are truncated (such as the last one of a killed process) or malformed.
    unreadable_lines: int = 0
    #: Number of lines that processes report to have dropped.
    dropped_lines: int = 0
    last_timestamp: float = 0.0


class HistoryReader:
    """Builds the history from log lines in the order of their times."""

    def __init__(self) -> None:
        self.history = LogHistory()
        self._last_holder_event_at: dict[str, float] = {}
        self._takeover_began_at: dict[str, float] = {}

    def process_line(self, event: str, timestamp: float, fields: dict[str, str]) -> None:
        """Add one log line to the history."""
        shard = fields.get("shard", "0")
        if event == "state_restored":
            self._takeover_began_at[shard] = self._last_holder_event_at.get(shard, timestamp)
        elif event == "recovery_complete" and shard in self._takeover_began_at:
            began_at = self._takeover_began_at.pop(shard)
            self.history.takeovers.append(Takeover(began_at, timestamp))
        if event in _HOLDER_EVENTS:
            self._last_holder_event_at[shard] = timestamp
        if "task" in fields:
            self._process_run_event(event, timestamp, fields)
        elif event == "advice" and "step" in fields:
            job_id, repetition, step = fields["step"].split(".")
            self._get_job(job_id).advice_received_at.setdefault(
                (int(repetition), int(step)), []
            ).append(timestamp)
        elif "job" in fields:
            self._process_job_event(event, timestamp, fields)

    def _get_job(self, job_id: str) -> JobHistory:
        return self.history.jobs.setdefault(job_id, JobHistory(job_id))

    def _process_job_event(self, event: str, timestamp: float, fields: dict[str, str]) -> None:
        job = self._get_job(fields["job"])
        if event == "job_taken":
            _record_admission(job, timestamp, fields)
        elif event == "job_accepted" and job.accepted_at is None:
            job.accepted_at = timestamp
        elif event == "job_refused":
            job.add_refusal(timestamp, fields.get("reason", "?"))
        elif event == "call_given_up" and fields.get("call") == "submit":
            job.queue = fields.get("queue", job.queue)
            job.add_refusal(timestamp, fields.get("reason", "?"), float(fields.get("seconds", "0")))
        elif event == "job_cancel":
            job.is_cancelled = job.is_cancelled or fields.get("known") == "1"
        elif event == "job_ended":
            job.ended_at, job.state = timestamp, fields.get("state", "?")

    def _process_run_event(self, event: str, timestamp: float, fields: dict[str, str]) -> None:
        job_id, repetition, step, number = fields["task"].split(".")
        task = TaskId(int(repetition), int(step), int(number))
        if event not in _RUN_END_EVENTS and event not in _RUN_START_EVENTS:
            return
        runs = self._get_job(job_id).runs.setdefault(task, {})
        run_number = int(fields.get("run", "0"))
        if event in _RUN_START_EVENTS:
            quota_seconds = int(fields.get("quota_ms", "0")) / _MILLISECONDS_PER_SECOND
            run = RunHistory(
                timestamp, quota_seconds=quota_seconds, worker=fields.get("worker", "")
            )
            runs.setdefault(run_number, run)
        elif event in _RUN_END_EVENTS:
            # The log line of the run's start may be missing.
            run = runs.setdefault(
                run_number, RunHistory(timestamp, worker=fields.get("worker", ""))
            )
            if run.ended_at is None:
                run.ended_at, run.end_kind = timestamp, fields.get("how", event)


def _record_admission(job: JobHistory, timestamp: float, fields: dict[str, str]) -> None:
    if job.accepted_at is not None or (job.admitted_at is not None and not job.refusals):
        return
    job.admitted_at = timestamp
    job.submitted_at = min(job.submitted_at or timestamp, timestamp)
    job.queue = fields.get("queue", "?")
    job.tenant = fields.get("tenant", "")
    job.is_over_share = fields.get("beyond_share") == "1"
    job.stretch = float(fields.get("stretch", "1"))
    job.target_seconds = int(fields.get("target_ms", "0")) / _MILLISECONDS_PER_SECOND
    job.advice_seconds = int(fields.get("advice_ms", "0")) / _MILLISECONDS_PER_SECOND
    job.task_count = int(fields.get("tasks", "0"))
    estimates = fields.get("estimated_ms", "")
    job.estimated_seconds = tuple(
        int(item) / _MILLISECONDS_PER_SECOND for item in estimates.split(",") if item
    )


def read_history(lines: Iterable[str]) -> LogHistory:
    """Read the history of all jobs from log lines in any order."""
    log_reader = LogReader()
    history_reader = HistoryReader()
    for line in log_reader.read(lines):
        try:
            history_reader.process_line(line.event, line.timestamp, line.fields)
        except (ValueError, KeyError):
            history_reader.history.unreadable_lines += 1
    history_reader.history.unreadable_lines += log_reader.truncated_lines
    history_reader.history.dropped_lines = log_reader.dropped_lines
    history_reader.history.last_timestamp = (
        log_reader.lines[-1].timestamp if log_reader.lines else 0.0
    )
    return history_reader.history
