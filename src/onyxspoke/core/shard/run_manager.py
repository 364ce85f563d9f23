"""Runs that hold capacity on workers: stops, ends, crashes and the consequences for gangs."""

from __future__ import annotations

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.jobs.crashes import CrashBlame
from onyxspoke.core.jobs.model import RunKey, StepKey, WorkerId
from onyxspoke.core.jobs.progress import (
    JobProgress,
    StepProgress,
    TaskProgress,
    task_with_checkpoint,
)
from onyxspoke.core.jobs.states import JobState, RunEnd, RunState, TaskState
from onyxspoke.core.placement.blame import IncarnationEndReason, blame_runs, has_crashed
from onyxspoke.core.placement.capacity_seeker import PreemptionRequest
from onyxspoke.core.placement.runs import GangRun, Run, is_stalled, task_log_name
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard.actions import JobStarted, SendStop
from onyxspoke.core.shard.context import ShardContext, address_of
from onyxspoke.core.shard.orders import EndReport, OrderOutcome, OrderResult

#: Interval after which an unanswered stop is sent again.
STOP_RETRY_SECONDS = 0.4
#: A tick stops checking runs for stalls after so many, which bounds its duration.
STALL_CHECKS_PER_TICK = 500
_MILLISECONDS = 1_000.0


class RunManager:
    """Manages all runs of the shard.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    """

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        #: The latest run of each gang, until all its members have ended.
        self.gangs: dict[StepKey, GangRun] = {}
        self._stopping_runs: dict[RunKey, Run] = {}
        #: Workers whose runs are still to be checked for stalls, the next one last.
        self._unchecked_workers: list[WorkerId] = []

    def reserve_capacity(self, run: Run) -> None:
        """Reserve capacity and quota for a run until its end is certain."""
        run.worker.add(run)
        run.task.placed_on = run.worker.worker_id
        self._context.quota_usage.add(run.task.step.job.spec.tenant, run.needs)

    def stop(self, run: Run, now: float, reason: str) -> None:
        """Order a worker to stop a run; the order is repeated until the run has ended."""
        if run.state is RunState.ENDED or run.key in self._stopping_runs:
            return
        if run.state is RunState.PLANNED:
            self.log_run("start_withdrawn", run, reason=reason)
            self.end_run(run, RunEnd.NOT_STARTED, now)
            return
        progress_age_ms = int((now - run.progressed_at) * _MILLISECONDS)
        self.log_run("run_stop", run, reason=reason, percent=run.percent, still_ms=progress_age_ms)
        run.move_to(RunState.STOPPING)
        self._stopping_runs[run.key] = run
        self._send_stop(run, now)

    def preempt(self, eviction: PreemptionRequest, now: float) -> None:
        """Stop runs that are preempted by a more urgent step."""
        for run in eviction.preemption.runs:
            self.log_run("run_preempted", run, by=eviction.step.key.name)
            self.stop(run, now, "preempted")

    def _send_stop(self, run: Run, now: float) -> None:
        run.stop_sent_at = now
        context = self._context
        if context.may_send_orders(now):
            context.emit(SendStop(address_of(run.worker), context.token, run.key))

    def stop_orphan_run(self, worker: Worker, key: RunKey, now: float) -> None:
        """Order a worker to stop a run that belongs to no active task of this shard."""
        context = self._context
        sent_at = worker.orphan_runs.get(key)
        if sent_at is not None and now - sent_at < STOP_RETRY_SECONDS:
            return
        worker.orphan_runs[key] = now
        if context.may_send_orders(now):
            job = context.job_registry.jobs.get(key.task.job_id)
            context.log(
                "stray_stop",
                worker=worker.worker_id,
                task=task_log_name(key),
                run=key.number,
                tenant="" if job is None else job.spec.tenant,
            )
            context.emit(SendStop(address_of(worker), context.token, key))

    def handle_stop_result(
        self, worker: Worker, key: RunKey, result: OrderResult, now: float
    ) -> None:
        """Handle a worker's answer to a stop order, or its absence."""
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
        """Stop stalled runs, and send unanswered stops again."""
        self._stop_stalled(now)
        for run in list(self._stopping_runs.values()):
            is_answered = run.stop_answered_at > run.stop_sent_at
            if not is_answered and now - run.stop_sent_at >= STOP_RETRY_SECONDS:
                self._send_stop(run, now)
        for worker in self._context.table.workers.values():
            self._stop_unresolved_starts(worker, now)

    def _stop_unresolved_starts(self, worker: Worker, now: float) -> None:
        """Stop runs that were ordered to an earlier incarnation but may still start on this one."""
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
        """Stop runs that make no progress, so that their tasks continue elsewhere.

        Each call checks the runs of the next few workers, and at most once those of each worker.
        """
        workers = self._context.table.workers
        if not self._unchecked_workers:
            self._unchecked_workers = list(reversed(workers))
        checked_runs = 0
        while self._unchecked_workers and checked_runs < STALL_CHECKS_PER_TICK:
            worker = workers.get(self._unchecked_workers.pop())
            if worker is not None and worker.contact is WorkerContact.RECONCILED:
                checked_runs += len(worker.runs)
                self._stop_stalled_on(worker, now)

    def _stop_stalled_on(self, worker: Worker, now: float) -> None:
        for run in list(worker.runs.values()):
            if run.state is RunState.RUNNING and is_stalled(run, worker.hold_answered_at):
                self._context.log("worker_avoided", worker=worker.worker_id, reason="stalled")
                worker.health.avoid(now)
                self.stop(run, now, "stalled")

    def stop_runs_of(self, steps: list[StepProgress], now: float, reason: str) -> None:
        """Stop all runs of the given steps."""
        for step in steps:
            gang = self.gangs.get(step.key)
            runs = list(gang.members) if gang is not None else []
            runs += [task.run for task in step.tasks if task.run is not None]
            for run in runs:
                if run.state not in (RunState.ENDED, RunState.STOPPING):
                    self.stop(run, now, reason)
            self._context.advice_dispatcher.forget(step.key)

    def confirm(self, run: Run, now: float) -> None:
        """Record that a worker has confirmed a run."""
        run.move_to(RunState.RUNNING)
        run.confirmed_at = now
        run.progressed_at = now
        self._record_start(run, now)

    def _record_start(self, run: Run, now: float) -> None:
        job = run.task.step.job
        if not job.has_started:
            seconds = now - job.accepted_at
            self._context.emit(JobStarted(job.spec.queue.name, job.spec.tenant, seconds))
        self._context.job_registry.task_run_confirmed(run.task, now)

    def abandon_runs(
        self,
        worker: Worker,
        reason: IncarnationEndReason,
        now: float,
        next_incarnation: Worker | None = None,
    ) -> None:
        """Abandon all runs of a worker's incarnation that has ended or whose lease has expired.

        Parameters
        ----------
        next_incarnation : Worker
            The next incarnation of the same name, if there is one.
        """
        is_crash = has_crashed(worker, reason)
        blamed = blame_runs(worker, now) if is_crash else []
        tasks_in_doubt = (
            self._context.job_registry.tasks_in_doubt_on(worker.worker_id) if is_crash else []
        )
        if next_incarnation is not None:
            self.transfer_unconfirmed_starts(worker, next_incarnation, now)
        for run in list(worker.runs.values()):
            observed_ms = int(max(0.0, worker.last_answer_at - run.sent_at) * _MILLISECONDS)
            self.log_run("run_abandoned", run, reason=reason.value, seen_ms=observed_ms)
            self.end_run(run, RunEnd.ABANDONED, now)
        for run, blame in blamed:
            self._record_crash(run.task, worker, blame, now)
        for task in tasks_in_doubt:
            # This holder does not know whether the previous one ordered the task's start, nor which
            # other runs had just started.
            self._record_crash(task, worker, CrashBlame.UNCONFIRMED, now)

    def transfer_unconfirmed_starts(
        self, worker: Worker, next_incarnation: Worker, now: float
    ) -> None:
        """Stop unconfirmed starts at the next incarnation, which may still execute them.

        A start expires by the clock of the incarnation that it was sent to, but the next one may
        have another clock.  If the task started elsewhere before the next incarnation answered the
        stop, the task could run twice.  Starts of a previous holder need no stop: workers refuse
        its token from our first poll on.
        """
        for run in list(worker.runs.values()):
            if run.state is not RunState.PLANNED and not run.confirmed_at:
                self._transfer_run(run, next_incarnation, now)
        for key in next_incarnation.runs:
            next_incarnation.unresolved_starts.pop(key, None)
        self._stop_unresolved_starts(next_incarnation, now)

    def _transfer_run(self, run: Run, next_incarnation: Worker, now: float) -> None:
        """Move a run's reservation to the next incarnation, where it stays until the run ends."""
        run.worker.remove(run)
        run.worker = next_incarnation
        next_incarnation.add(run)
        run.stop_answered_at = 0.0
        if run.state is RunState.STOPPING:
            self._send_stop(run, now)
        else:
            self.stop(run, now, "worker_started_again")

    def _record_crash(
        self, task: TaskProgress, worker: Worker, blame: CrashBlame, now: float
    ) -> None:
        """Count a worker's crash against a task before the task can start again."""
        is_given_up = self._context.job_registry.task_crashed(task, blame, now)
        crash_counts = task.crashes
        fields = crash_counts._asdict()
        name = f"{task.step.key.name}.{task.index}"
        self._context.log(
            "worker_crashed_under", worker=worker.worker_id, task=name, blame=blame.value, **fields
        )
        if is_given_up:
            code = int(ResultCode.TASK_CRASHES_WORKERS)
            self._context.log(
                "job_given_up", code=code, job=task.step.job.job_id, task=name, **fields
            )
            self.stop_runs_if_job_ended(task.step, now)

    def end_run(self, run: Run, end: RunEnd, now: float) -> None:
        """Free a run's capacity, and update its task and its gang."""
        if run.state is RunState.ENDED:
            return
        run.move_to(RunState.ENDED)
        self._stopping_runs.pop(run.key, None)
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
            self.complete_task(task, now)
        elif task.state is TaskState.ACTIVE:
            self._context.job_registry.task_requeued(task)
        self._note_left_running(worker, task.step.job)
        self.stop_runs_if_job_ended(task.step, now)

    def _note_left_running(self, worker: Worker, job: JobProgress) -> None:
        """Note it if a worker runs nothing of an ended job any more."""
        if job.left_running and not any(key.task.job_id == job.job_id for key in worker.runs):
            self._context.job_registry.note_nothing_left(job.job_id, worker.worker_id)

    def _end_gang_member(self, run: Run, gang: GangRun, end: RunEnd, now: float) -> None:
        if end is RunEnd.DONE and not gang.step.spec.long_running:
            self.complete_task(run.task, now)
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

    def complete_task(self, task: TaskProgress, now: float) -> None:
        """Record a successful end, which completes a task or a whole gang.

        A long-running task is never complete: it waits to run again.
        """
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

    def stop_runs_if_job_ended(self, step: StepProgress, now: float) -> None:
        """Stop all runs of a job that has failed or was cancelled."""
        job = step.job
        if job.state in (JobState.FAILED, JobState.CANCELLED):
            self.stop_runs_of(job.steps(), now, f"job_{job.state.name.lower()}")

    def note_checkpoint(self, task: TaskProgress, checkpoint: str) -> None:
        """Record the checkpoint from which a task may resume, if a worker reported one."""
        if checkpoint:
            self._context.job_registry.note_checkpoint(task_with_checkpoint(task), checkpoint)

    def stop_incomplete_gangs(self, now: float, keys: set[StepKey] | None = None) -> None:
        """Stop gangs that lack members, once all runs of those gangs are known.

        Parameters
        ----------
        keys : set of StepKey
            Steps all of whose runs are known; by default all steps.
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
        """Log an event of a run."""
        self._context.log(
            event,
            worker=run.worker.worker_id,
            task=task_log_name(run.key),
            run=run.number,
            state=run.state.name.lower(),
            **fields,
        )

    def log_end(self, run: Run, report: EndReport) -> None:
        """Log the end of a run, as its worker reported it."""
        self.log_run("run_ended", run, how=report.end.value, number=report.number)
