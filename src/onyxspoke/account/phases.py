"""Splits a finished job's time into phases along its critical path.

The path is walked back from the job's end: the task that ended last, the runs of that task, the
step that its own waited for, and so on to the moment at which the job was handed in.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from onyxspoke.account.trails import JobTrail, RunTrail, Takeover, TaskName
from onyxspoke.account.usual_times import UsualTimes


class Phase(Enum):
    """What a job's time went into."""

    RETURNED = "returned"  # from its first hand-in, which was refused, until it was taken
    RECORD = "record"  # until the store had it
    ADVICE = "advice"  # until the first advice on the step
    QUOTA = "quota"  # while its tenant had all running that it may
    SHARE = "share"  # behind what others are owed, for jobs beyond their tenants' weights
    ROOM = "room"  # until a worker was free for it
    TAKEOVER = "takeover"  # while a new holder did not know yet what runs
    ATTEMPTS = "attempts"  # in runs of its own that failed, or broke with a member that did
    LOST_RUNS = "lost_runs"  # in runs that were stopped, or lost with their workers
    WORK = "work"  # in the run that ended well
    SHOWN = "shown"  # from its last end until the store had the outcome


@dataclass(slots=True)
class PathCosts:
    """Seconds along a job's critical path.

    Attributes
    ----------
    spent : dict of Phase to float
        What each phase took.
    expected : dict of Phase to float
        What it should have taken; phases that are not here should have taken nothing.
    chain_seconds : float
        What the path's steps need: of each its longest task and one call for advice.
    """

    spent: dict[Phase, float] = field(default_factory=lambda: dict.fromkeys(Phase, 0.0))
    expected: dict[Phase, float] = field(default_factory=dict)
    chain_seconds: float = 0.0

    def expect(self, phase: Phase, seconds: float) -> None:
        """Count what a phase should have taken."""
        self.expected[phase] = self.expected.get(phase, 0.0) + seconds

    def excess(self) -> dict[Phase, float]:
        """Return what each phase took beyond what it should have."""
        return {
            phase: max(0.0, seconds - self.expected.get(phase, 0.0))
            for phase, seconds in self.spent.items()
        }


class CriticalPath:
    """Walks a finished job's path back from its end."""

    def __init__(self, job: JobTrail, takeovers: list[Takeover], usual: UsualTimes) -> None:
        self._job = job
        self._takeovers = takeovers
        self._usual = usual
        self._costs = PathCosts()

    def costs(self, handed_in_at: float, ended_at: float) -> PathCosts:
        """Return the seconds from the hand-in to the end."""
        job = self._job
        spent = self._costs.spent
        accepted_at = job.accepted_at or job.taken_at or handed_in_at
        spent[Phase.RETURNED] = job.returned_seconds
        spent[Phase.RECORD] = max(0.0, accepted_at - handed_in_at - job.returned_seconds)
        upper = ended_at
        is_last = True
        while upper > accepted_at:
            name = self._last_to_end(upper)
            if name is None:
                break
            runs = sorted(job.runs[name].values(), key=lambda run: run.started_at)
            if is_last:
                last_end = max(run.ended_at for run in runs if run.ended_at is not None)
                spent[Phase.SHOWN] = max(0.0, upper - last_end)
                is_last = False
            ready_at = self._ready_at(name, runs[0].started_at, accepted_at)
            self._account_task(name, runs, ready_at)
            self._costs.chain_seconds += self._step_seconds(name) + self._job.advice_seconds
            upper = ready_at
        return self._costs

    def _last_to_end(self, before: float) -> TaskName | None:
        """Return the task whose last end is the latest one up to a moment."""
        best: tuple[float, TaskName] | None = None
        for name, runs in self._job.runs.items():
            ends = [run.ended_at for run in runs.values() if run.ended_at is not None]
            if ends and max(ends) <= before and (best is None or max(ends) > best[0]):
                best = (max(ends), name)
        return None if best is None else best[1]

    def _ready_at(self, name: TaskName, first_start: float, accepted_at: float) -> float:
        """Return when a task could begin: with the end of the last step done before its start."""
        ends: dict[tuple[int, int], float] = {}
        for other, runs in self._job.runs.items():
            if other[:2] != name[:2]:
                done = [run.ended_at for run in runs.values() if run.how == "done"]
                end = max((end for end in done if end is not None), default=float("inf"))
                ends[other[:2]] = max(end, ends.get(other[:2], 0.0))
        return max([accepted_at, *(end for end in ends.values() if end <= first_start)])

    def _step_seconds(self, name: TaskName) -> float:
        """Return what a step needs: its longest task, with the failures that are its own fault."""
        return max(
            sum(self._needed_seconds(other, run) for run in runs.values())
            for other, runs in self._job.runs.items()
            if other[:2] == name[:2]
        )

    def _needed_seconds(self, name: TaskName, run: RunTrail) -> float:
        if run.how == "done":
            return self._usual.expected_seconds(self._job, name, run)
        failed = run if run.how == "failed" else self._failed_member(name, run)
        if failed is None or self._usual.fails_for_others(self._job, failed):
            return 0.0
        return run.seconds

    def _account_task(self, name: TaskName, runs: list[RunTrail], ready_at: float) -> None:
        since = ready_at
        lost = worked = expected = 0.0
        self._costs.expect(Phase.ADVICE, self._job.advice_seconds)
        for run in runs:
            quota_seconds = run.quota_seconds if run is runs[0] else 0.0
            self._account_gap(name, since, run.started_at, quota_seconds)
            ended_at = run.ended_at if run.ended_at is not None else run.started_at
            failed = run if run.how == "failed" else self._failed_member(name, run)
            phase = _phase_of(run, failed)
            seconds = max(0.0, ended_at - max(run.started_at, since))
            self._costs.spent[phase] += seconds
            if phase is Phase.WORK:
                worked += seconds
                expected = self._needed_seconds(name, run)
            elif phase is Phase.LOST_RUNS:
                lost += seconds
            else:
                self._costs.expect(phase, min(seconds, self._needed_seconds(name, run)))
            since = max(since, ended_at)
        # What a run that was stopped had saved, the last one need not do again.
        self._costs.expect(Phase.LOST_RUNS, min(lost, max(0.0, expected - worked)))
        self._costs.expect(Phase.WORK, expected)

    def _failed_member(self, name: TaskName, run: RunTrail) -> RunTrail | None:
        """Return the member of a gang whose failure broke a run."""
        if run.how != "broken":
            return None
        for other, runs in self._job.runs.items():
            for member in runs.values():
                is_beside = other[:2] == name[:2] and member.started_at == run.started_at
                if is_beside and member.how == "failed":
                    return member
        return None

    def _account_gap(
        self, name: TaskName, since: float, until: float, quota_seconds: float
    ) -> None:
        """Split the time before a run: changes of holder, the quota, the first advice, and room."""
        gap = until - since
        if gap <= 0.0:
            return
        spent = self._costs.spent
        lost = sum(max(0.0, min(until, end) - max(since, start)) for start, end in self._takeovers)
        lost = min(lost, gap)
        spent[Phase.TAKEOVER] += lost
        held_back = min(quota_seconds, gap - lost)
        spent[Phase.QUOTA] += held_back
        lost += held_back
        moments = self._job.advice.get((name.repetition, name.step), [])
        advised_at = min(moments, default=since)
        waited = min(max(0.0, min(until, advised_at) - since), gap - lost)
        spent[Phase.ADVICE] += waited
        phase = Phase.SHARE if self._job.is_over_share else Phase.ROOM
        spent[phase] += gap - lost - waited


def _phase_of(run: RunTrail, failed: RunTrail | None) -> Phase:
    if run.how == "done":
        return Phase.WORK
    return Phase.LOST_RUNS if failed is None else Phase.ATTEMPTS
