"""Runs that hold room: how they are stopped, how they end, and what follows for their gangs."""

from __future__ import annotations

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.jobs.crashes import CrashBlame
from onyxspoke.core.jobs.model import RunKey, StepKey
from onyxspoke.core.jobs.progress import StepProgress, TaskProgress, task_with_checkpoint
from onyxspoke.core.jobs.states import JobState, RunEnd, RunState, TaskState
from onyxspoke.core.placement.blame import IncarnationEndReason, blame_runs, has_crashed
from onyxspoke.core.placement.capacity_seeker import PreemptionRequest
from onyxspoke.core.placement.runs import GangRun, Run, is_stalled, task_log_name
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard.actions import JobStarted, SendStop
from onyxspoke.core.shard.context import ShardContext, address_of
from onyxspoke.core.shard.orders import EndReport, OrderOutcome, OrderResult

#: An unanswered stop is sent again after so long.
STOP_RETRY_SECONDS = 0.4
_MILLISECONDS = 1_000.0


class RunManager:
    """Keeps every run of the shard.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        #: The latest run of each gang that is not over.
        self.gangs: dict[StepKey, GangRun] = {}
        self._stopping: dict[RunKey, Run] = {}

    def hold_room(self, run: Run) -> None:
        """Count a run on its worker and for its tenant, until its end is certain."""
        run.worker.add(run)
        run.task.placed_on = run.worker.worker_id
        self._context.quota_usage.add(run.task.step.job.spec.tenant, run.needs)

    def stop(self, run: Run, now: float, reason: str) -> None:
        """Order the end of a run, again and again until it has ended."""
        if run.state is RunState.ENDED or run.key in self._stopping:
            return
        if run.state is RunState.PLANNED:
            self.log_run("start_withdrawn", run, reason=reason)
            self.end_run(run, RunEnd.NOT_STARTED, now)
            return
        still_ms = int((now - run.progressed_at) * _MILLISECONDS)
        self.log_run("run_stop", run, reason=reason, percent=run.percent, still_ms=still_ms)
        run.move_to(RunState.STOPPING)
        self._stopping[run.key] = run
        self._send_stop(run, now)

    def preempt(self, eviction: PreemptionRequest, now: float) -> None:
        """Order the end of runs that give way to a more urgent step."""
        for run in eviction.preemption.runs:
            self.log_run("run_preempted", run, by=eviction.step.key.name)
            self.stop(run, now, "preempted")

    def _send_stop(self, run: Run, now: float) -> None:
        run.stop_sent_at = now
        context = self._context
        if context.may_send_orders(now):
            context.emit(SendStop(address_of(run.worker), context.token, run.key))

    def stop_stray(self, worker: Worker, key: RunKey, now: float) -> None:
        """Order the end of a run that stands for no task of this shard."""
        context = self._context
        sent_at = worker.orphan_runs.get(key)
        if sent_at is not None and now - sent_at < STOP_RETRY_SECONDS:
            return
        worker.orphan_runs[key] = now
        if context.may_send_orders(now):
            context.log(
                "stray_stop", worker=worker.worker_id, task=task_log_name(key), run=key.number
            )
            context.emit(SendStop(address_of(worker), context.token, key))

    def handle_stop_result(
        self, worker: Worker, key: RunKey, result: OrderResult, now: float
    ) -> None:
        """A worker answered an order to stop, or did not."""
        is_done = result.outcome in (OrderOutcome.DONE, OrderOutcome.STALE)
        if is_done and worker.unresolved_starts.pop(key, None) is not None:
            self._context.needs_placement = True
        run = worker.runs.get(key)
        if run is None:
            return
        if is_done:
            run.stop_answered_at = now
            worker.poll_requested = worker.poll_requested or not run.confirmed_at

    def tick(self, now: float) -> None:
        """Send unanswered stops again; stop runs that stand still or must move."""
        self._stop_stalled(now)
        for run in list(self._stopping.values()):
            is_answered = run.stop_answered_at > run.stop_sent_at
            if not is_answered and now - run.stop_sent_at >= STOP_RETRY_SECONDS:
                self._send_stop(run, now)
        for worker in self._context.table.workers.values():
            self._settle_open_starts(worker, now)

    def _settle_open_starts(self, worker: Worker, now: float) -> None:
        """Stop, before they begin, runs that were ordered to the worker's former life."""
        context = self._context
        for key, sent_at in worker.unresolved_starts.items():
            if now - sent_at >= STOP_RETRY_SECONDS and context.may_send_orders(now):
                worker.unresolved_starts[key] = now
                context.log(
                    "open_start_stop",
                    worker=worker.worker_id,
                    task=task_log_name(key),
                    run=key.number,
                )
                context.emit(SendStop(address_of(worker), context.token, key))

    def _stop_stalled(self, now: float) -> None:
        """Stop runs that make no progress, so that they go on elsewhere."""
        for worker in self._context.table.workers.values():
            if worker.contact is not WorkerContact.RECONCILED:
                continue
            for run in list(worker.runs.values()):
                if run.state is RunState.RUNNING and is_stalled(run, worker.hold_answered_at):
                    self._context.log("worker_avoided", worker=worker.worker_id, reason="stalled")
                    worker.health.avoid(now)
                    self.stop(run, now, "stalled")

    def stop_runs_of(self, steps: list[StepProgress], now: float, reason: str) -> None:
        """Order the end of everything that runs for these steps."""
        for step in steps:
            gang = self.gangs.get(step.key)
            runs = list(gang.members) if gang is not None else []
            runs += [task.run for task in step.tasks if task.run is not None]
            for run in runs:
                if run.state not in (RunState.ENDED, RunState.STOPPING):
                    self.stop(run, now, reason)
            self._context.advice_dispatcher.forget(step.key)

    def confirm(self, run: Run, now: float) -> None:
        """A worker said that it has a run."""
        run.move_to(RunState.RUNNING)
        run.confirmed_at = now
        run.progressed_at = now
        self._note_begun(run, now)

    def _note_begun(self, run: Run, now: float) -> None:
        job = run.task.step.job
        if not job.has_started:
            seconds = now - job.accepted_at
            self._context.emit(JobStarted(job.spec.queue.name, job.spec.tenant, seconds))
        self._context.job_registry.task_run_confirmed(run.task, now)

    def abandon_all(
        self,
        worker: Worker,
        sign: IncarnationEndReason,
        now: float,
        next_life: Worker | None = None,
    ) -> None:
        """A worker's life, or its lease, is over; so is everything that it ran.

        Parameters
        ----------
        next_life : Worker
            The next life of that name, if there is one.
        """
        is_crash = has_crashed(worker, sign)
        blamed = blame_runs(worker, now) if is_crash else []
        doubted = self._context.job_registry.tasks_in_doubt_on(worker.worker_id) if is_crash else []
        if next_life is not None:
            self.hand_over_starts(worker, next_life, now)
        for run in list(worker.runs.values()):
            seen_ms = int(max(0.0, worker.last_answer_at - run.sent_at) * _MILLISECONDS)
            self.log_run("run_abandoned", run, reason=sign.value, seen_ms=seen_ms)
            self.end_run(run, RunEnd.ABANDONED, now)
        for run, blame in blamed:
            self._note_crash(run.task, worker, blame, now)
        for task in doubted:
            # Whether it was ordered, and what else had just begun, only the former holder knew.
            self._note_crash(task, worker, CrashBlame.UNCONFIRMED, now)

    def hand_over_starts(self, worker: Worker, next_life: Worker, now: float) -> None:
        """Starts that stand open may yet be carried out by the next life: settle them there.

        The former life's clock, by which they would be void, means nothing to it.  Started
        elsewhere before a stop is answered there, such a task could be in two places.  A former
        holder's starts need none: its token is refused from our first look on.
        """
        for run in list(worker.runs.values()):
            if run.state is not RunState.PLANNED and not run.confirmed_at:
                self._hand_over(run, next_life, now)
        for key in next_life.runs:
            next_life.unresolved_starts.pop(key, None)
        self._settle_open_starts(next_life, now)

    def _hand_over(self, run: Run, next_life: Worker, now: float) -> None:
        """Hold a run's room at the next life until its stop is answered there."""
        run.worker.remove(run)
        run.worker = next_life
        next_life.add(run)
        run.stop_answered_at = 0.0
        if run.state is RunState.STOPPING:
            self._send_stop(run, now)
        else:
            self.stop(run, now, "worker_started_again")

    def _note_crash(
        self, task: TaskProgress, worker: Worker, blame: CrashBlame, now: float
    ) -> None:
        """Count a crash under a task before it can be started again."""
        is_given_up = self._context.job_registry.task_crashed(task, blame, now)
        tally = task.crashes
        fields = tally._asdict()
        name = f"{task.step.key.name}.{task.index}"
        self._context.log(
            "worker_crashed_under", worker=worker.worker_id, task=name, blame=blame.value, **fields
        )
        if is_given_up:
            code = int(ResultCode.TASK_CRASHES_WORKERS)
            self._context.log(
                "job_given_up", code=code, job=task.step.job.job_id, task=name, **fields
            )
            self.stop_if_final(task.step, now)

    def end_run(self, run: Run, end: RunEnd, now: float) -> None:
        """Free a run's room and draw the consequences for its task."""
        if run.state is RunState.ENDED:
            return
        run.move_to(RunState.ENDED)
        self._stopping.pop(run.key, None)
        worker = run.worker
        worker.remove(run)
        self._context.quota_usage.remove(run.task.step.job.spec.tenant, run.needs)
        self._context.table.note_capacity_gain(worker)
        worker.note_ended(run.key, end)
        task = run.task
        if task.run is run:
            task.run = None
            task.placed_on = ""
        self._context.needs_placement = True
        if end is RunEnd.FAILED:
            task.last_failed_worker_id = worker.worker_id
            self._context.job_registry.task_failed(task, run.number, now)
            if worker.health.note_failure(task.step.job.job_id, now):
                self._context.log("worker_avoided", worker=worker.worker_id, reason="failures")
        elif end is RunEnd.DONE:
            worker.health.note_success()
        if run.gang is not None:
            self._end_gang_member(run, run.gang, end, now)
        elif end is RunEnd.DONE:
            self.complete(task, now)
        elif task.state is TaskState.ACTIVE:
            self._context.job_registry.task_requeued(task)
        self.stop_if_final(task.step, now)

    def _end_gang_member(self, run: Run, gang: GangRun, end: RunEnd, now: float) -> None:
        if end is RunEnd.DONE and not gang.step.spec.long_running:
            self.complete(run.task, now)
            return
        step = gang.step
        if not step.is_done and not gang.is_broken:
            gang.is_broken = True
            for member in gang.members:
                if member.state not in (RunState.ENDED, RunState.STOPPING):
                    self.stop(member, now, "gang_broken")
        if gang.is_over:
            self.gangs.pop(step.key, None)
            for task in step.tasks:
                if task.state is TaskState.ACTIVE:
                    self._context.job_registry.task_requeued(task)

    def complete(self, task: TaskProgress, now: float) -> None:
        """Note that a task ended well; of a gang, one such end stands for all."""
        step = task.step
        if step.spec.long_running:
            self._context.job_registry.task_requeued(task)
            return
        tasks = step.tasks if step.spec.gang else [task]
        for ended in tasks:
            if ended.state is not TaskState.DONE:
                self._context.job_registry.task_done(ended, now)
        if step.is_done:
            self._context.advice_dispatcher.forget(step.key)
        self._context.needs_placement = True

    def stop_if_final(self, step: StepProgress, now: float) -> None:
        """Order the end of everything that runs for a job that failed or was cancelled."""
        job = step.job
        if job.state in (JobState.FAILED, JobState.CANCELLED):
            self.stop_runs_of(job.steps(), now, f"job_{job.state.name.lower()}")

    def note_checkpoint(self, task: TaskProgress, checkpoint: str) -> None:
        """Remember from where a task may resume, if a worker told."""
        if checkpoint:
            self._context.job_registry.note_checkpoint(task_with_checkpoint(task), checkpoint)

    def repair_gangs(self, now: float, keys: set[StepKey] | None = None) -> None:
        """Once all runs of them are known, end gangs of which members are missing.

        Parameters
        ----------
        keys : set of StepKey
            Whose runs are known; by default all.
        """
        gangs = self.gangs if keys is None else {key: self.gangs.get(key) for key in keys}
        for gang in list(gangs.values()):
            if gang is None:
                continue
            if len(gang.members) < len(gang.step.tasks) and not gang.step.is_done:
                gang.is_broken = True
            if gang.is_broken:
                for member in gang.members:
                    if member.state not in (RunState.ENDED, RunState.STOPPING):
                        self.stop(member, now, "gang_incomplete")

    def log_run(self, event: str, run: Run, **fields: str | int) -> None:
        """Write one line about a run."""
        self._context.log(
            event,
            worker=run.worker.worker_id,
            task=task_log_name(run.key),
            run=run.number,
            state=run.state.name.lower(),
            **fields,
        )

    def log_end(self, run: Run, report: EndReport) -> None:
        """Write one line about an end that a worker lists."""
        self.log_run("run_ended", run, how=report.end.value, number=report.number)
