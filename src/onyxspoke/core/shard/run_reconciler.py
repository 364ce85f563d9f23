"""Reconciles runs with workers' reports of running and ended runs, and resolves missing ones."""

from __future__ import annotations

from onyxspoke.core.jobs.model import RunKey
from onyxspoke.core.jobs.progress import StepProgress, TaskProgress, task_with_checkpoint
from onyxspoke.core.jobs.states import RunEnd, RunState, TaskState
from onyxspoke.core.placement.runs import GangRun, Run, task_log_name
from onyxspoke.core.placement.workers import LeaseVerdict, Worker, WorkerContact
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.ignored_ends import IgnoredEndLog, IgnoredEndReason
from onyxspoke.core.shard.orders import EndReport, HoldResult, RunningReport
from onyxspoke.core.shard.run_manager import RunManager

#: How a run counts as ended that no worker has reported as ended, and that may be there after all.
_UNREPORTED_ENDS = (RunEnd.NOT_STARTED, RunEnd.ABANDONED)


class RunReconciler:
    """Reconciles the holder's runs with the lists that workers report.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    run_manager : RunManager
        Stops and ends runs.
    """

    def __init__(self, context: ShardContext, run_manager: RunManager) -> None:
        self._context = context
        self._run_manager = run_manager

    def reconcile(self, worker: Worker, result: HoldResult, sent_at: float, now: float) -> bool:
        """Process a worker's lists of runs and ends; the hold was sent at ``sent_at``.

        Returns
        -------
        bool
            Whether all runs of the worker are known now: the lists were the latest, and whole.
        """
        is_latest = result.clock_ms >= worker.listed_clock_ms
        verdict = LeaseVerdict.UNKNOWN
        if is_latest:
            verdict = worker.lease_verdict(result.clock_ms, now - sent_at)
        ignored = IgnoredEndLog(self._context, worker, result.clock_ms, verdict)
        for report in result.ended:
            if report.number > worker.processed_through:
                worker.processed_through = report.number
                self._process_end(worker, report, ignored, now)
        ignored.close()
        if not is_latest:
            self._log_outdated_list(worker, result)
            return False
        worker.listed_clock_ms = result.clock_ms
        if not result.is_complete:
            # An end beyond the list may have come long before the next one.
            worker.kept_lease_until_ms = 0
        listed_keys = set()
        for running in result.running:
            listed_keys.add(running.run)
            self._process_running(worker, running, verdict, now)
        for key in [key for key in worker.orphan_runs if key not in listed_keys]:
            del worker.orphan_runs[key]
            self._context.needs_placement = True
        if result.is_complete:
            self._resolve_missing_runs(worker, listed_keys, result.clock_ms, sent_at, now)
        return result.is_complete

    def _log_outdated_list(self, worker: Worker, result: HoldResult) -> None:
        """Log that a list is ignored because its clock reading is lower than an earlier one's."""
        self._context.log(
            "list_out_of_order",
            worker=worker.worker_id,
            born_ms=result.born_ms,
            clock_ms=result.clock_ms,
            listed_clock_ms=worker.listed_clock_ms,
            running=len(result.running),
            ended=len(result.ended),
            runs=len(worker.runs),
            seen_through=worker.processed_through,
            told_through=worker.acknowledged_through,
        )

    def _process_end(
        self, worker: Worker, report: EndReport, ignored: IgnoredEndLog, now: float
    ) -> None:
        run = worker.runs.get(report.run)
        if run is not None:
            self._context.job_registry.task_run_confirmed(run.task, now)
            self._run_manager.note_checkpoint(run.task, report.checkpoint)
            self._run_manager.log_end(run, report)
            self._context.durations.observe_run_end(run, report.end, now)
            self._run_manager.end_run(run, report.end, now)
        elif report.run in worker.ended_runs:
            self._process_counted_end(worker, report, ignored, now)
        else:
            self._process_unknown_end(worker, report, ignored, now)

    def _process_counted_end(
        self, worker: Worker, report: EndReport, ignored: IgnoredEndLog, now: float
    ) -> None:
        """Process the end of a run that counts as not started or as abandoned."""
        ended_as = worker.ended_runs[report.run].value
        task = self._context.job_registry.find_task(report.run.task)
        if task is not None and _completes_late(task, report, ignored.verdict):
            worker.note_ended(report.run, report.end)
            self._complete_late(worker, task, report, ended_as, now)
        elif task is not None and _fails_late(task, report, ignored.verdict):
            worker.note_ended(report.run, report.end)
            self._log_late_end(worker, task, report, ended_as)
            self._count_failure(worker, task, report, now)
        else:
            ignored.note(report, IgnoredEndReason.COUNTED, ended_as=ended_as)

    def _log_late_end(
        self, worker: Worker, task: TaskProgress, report: EndReport, ended_as: str
    ) -> None:
        """Log that an end counts although its run counted as ended, or was not known."""
        self._context.log(
            "end_taken_late",
            worker=worker.worker_id,
            task=task_log_name(report.run),
            run=report.run.number,
            how=report.end.value,
            number=report.number,
            ended_as=ended_as,
            other_run=task.run.number if task.run is not None else 0,
        )

    def _count_failure(
        self, worker: Worker, task: TaskProgress, report: EndReport, now: float
    ) -> None:
        """Count an attempt that failed, of a run that is not known as under way."""
        task.last_failed_worker_id = worker.worker_id
        self._context.job_registry.task_failed(task, report.run.number, now)
        self._run_manager.stop_runs_if_job_ended(task.step, now)

    def _complete_late(
        self, worker: Worker, task: TaskProgress, report: EndReport, ended_as: str, now: float
    ) -> None:
        """Complete a task by an end that was not expected; another run of it is not needed."""
        other, step = task.run, task.step
        self._log_late_end(worker, task, report, ended_as)
        self._context.job_registry.task_run_confirmed(task, now)
        self._run_manager.complete_task(task, now)
        if step.spec.gang:
            self._run_manager.stop_runs_of([step], now, "task_done")
        elif other is not None:
            self._run_manager.stop(other, now, "task_done")

    def _process_unknown_end(
        self, worker: Worker, report: EndReport, ignored: IgnoredEndLog, now: float
    ) -> None:
        """Process the end of a run that a previous holder started."""
        task = self._context.job_registry.find_task(report.run.task)
        if task is None:
            ignored.note(report, IgnoredEndReason.UNKNOWN_TASK)
            return
        if task.state is TaskState.DONE or task.step.job.state.is_final:
            is_done = task.state is TaskState.DONE
            reason = IgnoredEndReason.TASK_DONE if is_done else IgnoredEndReason.JOB_FINAL
            ignored.note(report, reason)
            return
        step = task.step
        step.last_run_number = max(step.last_run_number, report.run.number)
        self._context.job_registry.task_run_confirmed(task, now)
        self._run_manager.note_checkpoint(task, report.checkpoint)
        self._context.log(
            "end_recovered",
            worker=worker.worker_id,
            task=task_log_name(report.run),
            run=report.run.number,
            how=report.end.value,
        )
        is_final_success = report.end is RunEnd.DONE and not step.spec.long_running
        if is_final_success and task.run is None:
            self._run_manager.complete_task(task, now)
        elif _completes_late(task, report, ignored.verdict):
            self._complete_late(worker, task, report, "unknown", now)
        elif is_final_success and task.run is not None:
            ignored.note(
                report,
                IgnoredEndReason.OTHER_RUN,
                other_run=task.run.number,
                other_state=task.run.state.name.lower(),
            )
        elif report.end is RunEnd.FAILED:
            self._count_failure(worker, task, report, now)
        self._context.needs_placement = True

    def _process_running(
        self, worker: Worker, report: RunningReport, verdict: LeaseVerdict, now: float
    ) -> None:
        run = worker.runs.get(report.run)
        if run is None:
            self._process_unknown_run(worker, report, verdict, now)
            return
        if run.state in (RunState.STARTING, RunState.UNCERTAIN):
            self._run_manager.confirm(run, now)
        if report.percent != run.percent:
            run.percent = report.percent
            run.progressed_at = now
            self._context.durations.observe_progress(run, now)
        run.listed_at = now
        run.usage = report.usage
        if report.checkpoint:
            task_with_checkpoint(run.task).checkpoint = report.checkpoint

    def _process_unknown_run(
        self, worker: Worker, report: RunningReport, verdict: LeaseVerdict, now: float
    ) -> None:
        """Adopt a run of a previous holder, or one that counts as ended wrongly, or stop it."""
        ended = worker.ended_runs.get(report.run)
        if ended is not None and ended not in _UNREPORTED_ENDS:
            return
        task = self._context.job_registry.find_task(report.run.task)
        if task is None or not _may_adopt(task, ended is not None, verdict):
            self._run_manager.stop_orphan_run(worker, report.run, now)
            return
        if task.run is not None:
            self._run_manager.stop(task.run, now, "run_found")
        worker.ended_runs.pop(report.run, None)
        self._adopt(worker, task, report, now)

    def _adopt(self, worker: Worker, task: TaskProgress, report: RunningReport, now: float) -> None:
        step = task.step
        gang = self._find_or_add_gang(step, report.run.number) if step.spec.gang else None
        run = Run(task, report.run.number, worker, now, gang)
        run.move_to(RunState.RUNNING)
        run.confirmed_at = now
        run.percent = report.percent
        run.is_resumed = True
        step.last_run_number = max(step.last_run_number, run.number)
        task.run = run
        if report.checkpoint:
            task_with_checkpoint(task).checkpoint = report.checkpoint
        if task.placed_on != worker.worker_id:
            # Record the placement, so that a later holder knows it, too.
            self._context.job_registry.dirty[step.job.job_id] = None
        self._run_manager.reserve_capacity(run)
        self._context.job_registry.task_activated(task)
        self._context.job_registry.task_run_confirmed(task, now)
        self._run_manager.log_run("run_adopted", run)
        if gang is not None and gang.is_broken:
            self._run_manager.stop(run, now, "gang_broken")

    def _find_or_add_gang(self, step: StepProgress, number: int) -> GangRun:
        gang = self._run_manager.gangs.get(step.key)
        if gang is None or gang.is_over:
            gang = self._run_manager.gangs[step.key] = GangRun(step, number)
        elif gang.number != number:
            gang.is_broken = True
        return gang

    def _resolve_missing_runs(
        self, worker: Worker, listed_keys: set[RunKey], clock_ms: int, sent_at: float, now: float
    ) -> None:
        """Resolve runs that a worker lists neither as running nor as ended."""
        for run in list(worker.runs.values()):
            if run.key in listed_keys or run.state is RunState.PLANNED:
                continue
            if run.confirmed_at:
                if run.confirmed_at < sent_at:
                    self._run_manager.log_run("run_missing", run)
                    self._run_manager.end_run(run, RunEnd.ABANDONED, now)
            elif clock_ms > run.start_valid_until_ms or 0 < run.stop_answered_at < sent_at:
                self._run_manager.log_run("start_settled", run, started=0)
                self._run_manager.end_run(run, RunEnd.NOT_STARTED, now)
            elif run.state is RunState.UNCERTAIN:
                self._run_manager.stop(run, now, "start_unanswered")

    def settle_worker(self, worker: Worker, now: float) -> None:
        """Resolve tasks in doubt on a worker whose runs are all known now."""
        job_registry = self._context.job_registry
        steps = job_registry.requeue_tasks_in_doubt_on(worker.worker_id, now)
        are_some_over = False
        if job_registry.ended_job_usage.has_runs_on(worker.worker_id):
            has_ended = worker.contact is WorkerContact.ENDED
            # Runs that are being stopped count until the worker lists them no more.
            keys = [] if has_ended else [*worker.orphan_runs, *worker.runs]
            running = {key.task.job_id for key in keys}
            are_some_over = job_registry.settle_ended_jobs_on(worker.worker_id, running)
        if steps or are_some_over:
            self._context.needs_placement = True
        known_steps = {step.key for step in steps if not step.in_doubt}
        self._run_manager.stop_incomplete_gangs(now, known_steps)


def _completes_late(task: TaskProgress, report: EndReport, verdict: LeaseVerdict) -> bool:
    """Return whether the end of a run that counts as ended, or of a second one, completes its task.

    An end does not count if the worker's lease lapses before the end is acknowledged, so a task is
    not complete by one whose worker may have lapsed by now.  One end of a gang stands for all.
    """
    spec = task.step.spec
    return (
        report.end is RunEnd.DONE
        and verdict is LeaseVerdict.KEPT
        and not spec.long_running
        and task.state is not TaskState.DONE
        and not task.step.job.state.is_final
    )


def _fails_late(task: TaskProgress, report: EndReport, verdict: LeaseVerdict) -> bool:
    """Return whether the end of a run that counts as ended is a failed attempt at its task."""
    return (
        report.end is RunEnd.FAILED
        and verdict is LeaseVerdict.KEPT
        and task.state is not TaskState.DONE
        and not task.step.job.state.is_final
    )


def _may_adopt(task: TaskProgress, counts_as_ended: bool, verdict: LeaseVerdict) -> bool:
    """Return whether a run that is found on a worker goes on as the run of its task.

    It does if no other has been ordered.  One that counts as ended must still be there by the
    worker's lease, and the members of a gang go on only as a whole.
    """
    if task.state is TaskState.DONE or task.step.job.state.is_final:
        return False
    if task.step.spec.gang:
        return task.run is None and not counts_as_ended
    if counts_as_ended and verdict is not LeaseVerdict.KEPT:
        return False
    return task.run is None or task.run.state is RunState.PLANNED
