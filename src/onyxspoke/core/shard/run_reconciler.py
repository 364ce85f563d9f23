"""What workers report of runs: those that run, those that ended, and those that neither lists."""

from __future__ import annotations

from onyxspoke.core.jobs.model import RunKey
from onyxspoke.core.jobs.progress import StepProgress, TaskProgress, task_with_checkpoint
from onyxspoke.core.jobs.states import RunEnd, RunState, TaskState
from onyxspoke.core.placement.runs import GangRun, Run, task_log_name
from onyxspoke.core.placement.workers import Worker
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.orders import EndReport, HoldResult, RunningReport
from onyxspoke.core.shard.run_manager import RunManager


class RunReconciler:
    """Takes in what workers list.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    runs : RunManager
        Keeps the runs.
    """

    def __init__(self, context: ShardContext, runs: RunManager) -> None:
        self._context = context
        self._runs = runs

    def reconcile(self, worker: Worker, result: HoldResult, sent_at: float, now: float) -> None:
        """Take in a worker's lists; the hold was sent at ``sent_at``."""
        is_latest = result.clock_ms >= worker.listed_clock_ms
        for report in result.ended:
            if report.number > worker.processed_through:
                worker.processed_through = report.number
                self._take_end(worker, report, now)
        if not is_latest:
            self._log_out_of_order(worker, result)
            return
        worker.listed_clock_ms = result.clock_ms
        listed = set()
        for running in result.running:
            listed.add(running.run)
            self._take_running(worker, running, now)
        for key in [key for key in worker.orphan_runs if key not in listed]:
            del worker.orphan_runs[key]
            self._context.needs_placement = True
        if result.is_complete:
            self._find_missing(worker, listed, result.clock_ms, sent_at, now)

    def _log_out_of_order(self, worker: Worker, result: HoldResult) -> None:
        """Tell that a list is left aside because the worker's clock shows less than before."""
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

    def _take_end(self, worker: Worker, report: EndReport, now: float) -> None:
        run = worker.runs.get(report.run)
        if run is not None:
            self._context.job_registry.task_run_confirmed(run.task, now)
            self._runs.note_checkpoint(run.task, report.checkpoint)
            self._runs.log_end(run, report)
            self._context.durations.observe_run_end(run, report.end, now)
            self._runs.end_run(run, report.end, now)
        elif report.run not in worker.ended_runs:
            self._take_unknown_end(worker, report, now)

    def _take_unknown_end(self, worker: Worker, report: EndReport, now: float) -> None:
        """Take in the end of a run that a former holder started."""
        task = self._context.job_registry.find_task(report.run.task)
        if task is None or task.state is TaskState.DONE or task.step.job.state.is_final:
            return
        step = task.step
        step.last_run_number = max(step.last_run_number, report.run.number)
        self._context.job_registry.task_run_confirmed(task, now)
        self._runs.note_checkpoint(task, report.checkpoint)
        self._context.log(
            "end_recovered",
            worker=worker.worker_id,
            task=task_log_name(report.run),
            run=report.run.number,
            how=report.end.value,
        )
        is_for_good = report.end is RunEnd.DONE and not step.spec.long_running
        if is_for_good and task.run is None:
            self._runs.complete(task, now)
        elif report.end is RunEnd.FAILED:
            task.last_failed_worker_id = worker.worker_id
            self._context.job_registry.task_failed(task, report.run.number, now)
            self._runs.stop_if_final(step, now)
        self._context.needs_placement = True

    def _take_running(self, worker: Worker, report: RunningReport, now: float) -> None:
        run = worker.runs.get(report.run)
        if run is None:
            self._take_unknown_run(worker, report, now)
            return
        if run.state in (RunState.STARTING, RunState.UNCERTAIN):
            self._runs.confirm(run, now)
        if report.percent != run.percent:
            run.percent = report.percent
            run.progressed_at = now
            self._context.durations.observe_progress(run, now)
        run.listed_at = now
        run.usage = report.usage
        if report.checkpoint:
            task_with_checkpoint(run.task).checkpoint = report.checkpoint

    def _take_unknown_run(self, worker: Worker, report: RunningReport, now: float) -> None:
        """Adopt a run of a former holder, or order its end."""
        ended = worker.ended_runs.get(report.run)
        if ended is RunEnd.ABANDONED:
            self._runs.stop_stray(worker, report.run, now)
        if ended is not None:
            return
        task = self._context.job_registry.find_task(report.run.task)
        may_adopt = (
            task is not None
            and task.run is None
            and task.state is not TaskState.DONE
            and not task.step.job.state.is_final
        )
        if not may_adopt or task is None:
            self._runs.stop_stray(worker, report.run, now)
            return
        self._adopt(worker, task, report, now)

    def _adopt(self, worker: Worker, task: TaskProgress, report: RunningReport, now: float) -> None:
        step = task.step
        gang = self._gang_to_join(step, report.run.number) if step.spec.gang else None
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
            # A later holder is to know it, too.
            self._context.job_registry.dirty[step.job.job_id] = None
        self._runs.hold_room(run)
        self._context.job_registry.task_activated(task)
        self._context.job_registry.task_run_confirmed(task, now)
        self._runs.log_run("run_adopted", run)
        if gang is not None and gang.is_broken:
            self._runs.stop(run, now, "gang_broken")

    def _gang_to_join(self, step: StepProgress, number: int) -> GangRun:
        gang = self._runs.gangs.get(step.key)
        if gang is None or gang.is_over:
            gang = self._runs.gangs[step.key] = GangRun(step, number)
        elif gang.number != number:
            gang.is_broken = True
        return gang

    def _find_missing(
        self, worker: Worker, listed: set[RunKey], clock_ms: int, sent_at: float, now: float
    ) -> None:
        """Settle runs that a worker neither runs nor lists as ended."""
        for run in list(worker.runs.values()):
            if run.key in listed or run.state is RunState.PLANNED:
                continue
            if run.confirmed_at:
                if run.confirmed_at < sent_at:
                    self._runs.log_run("run_missing", run)
                    self._runs.end_run(run, RunEnd.ABANDONED, now)
            elif clock_ms > run.start_valid_until_ms or 0 < run.stop_answered_at < sent_at:
                self._runs.log_run("start_settled", run, started=0)
                self._runs.end_run(run, RunEnd.NOT_STARTED, now)
            elif run.state is RunState.UNCERTAIN:
                self._runs.stop(run, now, "start_unanswered")

    def settle_worker(self, worker: Worker, now: float) -> None:
        """What a worker runs is known: draw the consequences for what it might have run."""
        steps = self._context.job_registry.requeue_tasks_in_doubt_on(worker.worker_id, now)
        if steps:
            self._context.needs_placement = True
        keys = {step.key for step in steps if not step.in_doubt}
        self._runs.repair_gangs(now, keys)
