"""Runs from the order to the end: starts, stops, what workers report, what is certain."""

from __future__ import annotations

from onyxspoke.core.jobs.model import RunKey, StepKey
from onyxspoke.core.jobs.progress import StepProgress, TaskProgress
from onyxspoke.core.jobs.states import JobState, RunEnd, RunState, TaskState
from onyxspoke.core.placement.room_seeker import Eviction
from onyxspoke.core.placement.runs import GangRun, Run
from onyxspoke.core.placement.spreading import Placement, StepPlacement
from onyxspoke.core.placement.workers import Worker, WorkerContact, WorkerListing
from onyxspoke.core.shard.actions import JobBegun, SendStart, SendStop
from onyxspoke.core.shard.context import ShardContext, address_of
from onyxspoke.core.shard.orders import (
    CERTAINLY_NOT_DONE,
    EndReport,
    HoldResult,
    OrderOutcome,
    OrderResult,
    RunningReport,
)

#: Run numbers of one holder begin above those of every earlier one.
NUMBERS_A_TOKEN = 4_096
#: An unanswered stop is sent again after so long.
STOP_RETRY_SECONDS = 0.4
#: A worker that refused for want of health or room is not offered for so long.
REFUSED_SECONDS = 0.5


#: A run without progress for so long, and this share of its estimate more, stands still.
STALL_SECONDS = 1.6
STALL_ESTIMATE_SHARE = 0.2
#: A gang may take so much longer to begin.
GANG_START_SECONDS = 3.0
_MILLISECONDS = 1_000.0


class RunKeeper:
    """Keeps every run of the shard."""

    def __init__(self, context: ShardContext) -> None:
        self._context = context
        self._gangs: dict[StepKey, GangRun] = {}
        self._stopping: dict[RunKey, Run] = {}

    # Starting

    def start(self, plan: StepPlacement, now: float) -> None:
        """Reserve room for the tasks of a step; order the starts once they are on record.

        Without the record a new holder could not tell which tasks a worker that it does not reach
        may run, and would leave all that wait alone until the worker's lease is over: 6 s in
        which, after a cut zone had taken the holder, next to nothing started.
        """
        step = plan.step
        gang = None
        if step.spec.gang:
            gang = GangRun(step, self._next_number(step))
            self._gangs[step.key] = gang
        runs = []
        for placement in plan.placements:
            number = gang.number if gang is not None else self._next_number(step)
            runs.append(self._plan_one(placement, number, gang, now))
        self._context.book.dirty[step.job.job_id] = None
        self._context.commit.after_commit(_OrderStarts(self, runs))

    def _plan_one(self, placement: Placement, number: int, gang: GangRun | None, now: float) -> Run:
        """Reserve room for one run."""
        task, worker = placement.task, placement.worker
        run = Run(task, number, worker, now, gang)
        run.is_resumed = bool(_checkpoint_of(task))
        task.run = run
        self._hold_room(run)
        self._context.book.task_started(task)
        return run

    def order_starts(self, runs: list[Run], now: float) -> None:
        """Order starts that are on record now, of a gang all or none."""
        ready = [run for run in runs if self._may_order(run, now)]
        withdrawn = [run for run in runs if run not in ready]
        if withdrawn and runs[0].gang is not None:
            ready, withdrawn = [], runs
        for run in withdrawn:
            if run.state is RunState.PLANNED:
                self._log_run("start_withdrawn", run)
                self.end_run(run, RunEnd.NOT_STARTED, now)
        for run in ready:
            self._order_start(run, now)

    def _may_order(self, run: Run, now: float) -> bool:
        """Return whether a planned run may still be started."""
        context = self._context
        worker = run.worker
        return (
            run.state is RunState.PLANNED
            and context.may_order(now)
            and worker.contact is WorkerContact.SETTLED
            and worker.listing is WorkerListing.READY
            and not worker.doubted_at
            and self._ticket(run, now) is not None
        )

    def _ticket(self, run: Run, now: float) -> str | None:
        """Return the leave to start a run, empty where none is needed."""
        step = run.task.step
        if self._context.policy.queue_of(step.job.spec).advice is None:
            return ""
        return self._context.desk.advice_on(step).valid_ticket(run.worker.worker_id, now)

    def _order_start(self, run: Run, now: float) -> None:
        context = self._context
        task, worker = run.task, run.worker
        run.move_to(RunState.STARTING)
        run.sent_at = run.moved_at = now
        run.until_ms = worker.clock.estimate_ms(now) + context.options.start_validity_ms
        worker.extend_lease(run.until_ms)
        job = task.step.job
        context.log(
            "run_start",
            worker=worker.worker_id,
            task=_name(run.key),
            run=run.number,
            waited_ms=int((now - task.step.ready_at) * _MILLISECONDS),
            quota_ms=int(task.step.over_quota_seconds * _MILLISECONDS),
            free_cpu=worker.free_processors,
            look_age_ms=int((now - worker.answered_at) * _MILLISECONDS),
            policy=context.policy.version,
        )
        context.emit(
            SendStart(
                address=address_of(worker),
                token=context.token,
                run=run.key,
                payload=job.spec.payload,
                until_ms=run.until_ms,
                checkpoint=_checkpoint_of(task),
                ticket=self._ticket(run, now) or "",
            )
        )

    def _hold_room(self, run: Run) -> None:
        """Count a run on its worker and for its tenant, until its end is certain."""
        run.worker.add(run)
        run.task.placed_on = run.worker.worker_id
        self._context.ledger.add(run.task.step.job.spec.tenant, run.needs)

    def _next_number(self, step: StepProgress) -> int:
        base = self._context.token * NUMBERS_A_TOKEN
        step.last_number = max(step.last_number + 1, base)
        return step.last_number

    def handle_start_result(
        self, worker: Worker, key: RunKey, result: OrderResult, now: float
    ) -> None:
        """A worker answered an order to start, or did not."""
        run = worker.runs.get(key)
        outcome = result.outcome
        if outcome is OrderOutcome.DONE:
            if run is not None and run.state in (RunState.STARTING, RunState.UNCERTAIN):
                self._confirm(run, now)
            return
        if run is None:
            return
        if outcome is OrderOutcome.NO_ANSWER:
            if run.state is RunState.STARTING:
                run.move_to(RunState.UNCERTAIN)
            # Nothing more goes there until it has answered a look.
            worker.wants_look = True
            worker.doubted_at = now
            self._log_run("start_unanswered", run)
            return
        if outcome in CERTAINLY_NOT_DONE:
            self._log_run("start_refused", run, reason=outcome.value)
            self._react_to_refusal(worker, run, outcome, now)
            self.end_run(run, RunEnd.NOT_STARTED, now)

    def _react_to_refusal(
        self, worker: Worker, run: Run, outcome: OrderOutcome, now: float
    ) -> None:
        if outcome is OrderOutcome.NO_TICKET:
            self._context.desk.drop_ticket(run.task.step.key, worker.worker_id)
        elif (
            outcome in (OrderOutcome.UNHEALTHY, OrderOutcome.NO_ROOM, OrderOutcome.INVALID)
            or outcome is OrderOutcome.NOT_SENT
        ):
            worker.retry_at = now + REFUSED_SECONDS

    # Stopping

    def stop(self, run: Run, now: float, reason: str) -> None:
        """Order the end of a run, again and again until it has ended."""
        if run.state is RunState.ENDED or run.key in self._stopping:
            return
        if run.state is RunState.PLANNED:
            self._log_run("start_withdrawn", run, reason=reason)
            self.end_run(run, RunEnd.NOT_STARTED, now)
            return
        still_ms = int((now - run.moved_at) * _MILLISECONDS)
        self._log_run("run_stop", run, reason=reason, percent=run.percent, still_ms=still_ms)
        run.move_to(RunState.STOPPING)
        self._stopping[run.key] = run
        self._send_stop(run, now)

    def preempt(self, eviction: Eviction, now: float) -> None:
        """Order the end of runs that give way to a more urgent step."""
        key = eviction.step.key
        for run in eviction.preemption.runs:
            self._log_run("run_preempted", run, by=f"{key.job_id}.{key.repetition}.{key.step}")
            self.stop(run, now, "preempted")

    def _send_stop(self, run: Run, now: float) -> None:
        run.stop_sent_at = now
        context = self._context
        if context.may_order(now):
            context.emit(SendStop(address_of(run.worker), context.token, run.key))

    def stop_stray(self, worker: Worker, key: RunKey, now: float) -> None:
        """Order the end of a run that stands for no task of this shard."""
        context = self._context
        sent_at = worker.strays.get(key)
        if sent_at is not None and now - sent_at < STOP_RETRY_SECONDS:
            return
        worker.strays[key] = now
        if context.may_order(now):
            context.log("stray_stop", worker=worker.worker_id, task=_name(key), run=key.number)
            context.emit(SendStop(address_of(worker), context.token, key))

    def handle_stop_result(
        self, worker: Worker, key: RunKey, result: OrderResult, now: float
    ) -> None:
        """A worker answered an order to stop, or did not."""
        run = worker.runs.get(key)
        if run is None:
            return
        if result.outcome in (OrderOutcome.DONE, OrderOutcome.STALE):
            run.stop_answered_at = now
            worker.wants_look = worker.wants_look or not run.confirmed_at

    def keep(self, now: float) -> None:
        """Send unanswered stops again; stop runs that stand still or must move."""
        self._stop_stalled(now)
        for run in list(self._stopping.values()):
            is_answered = run.stop_answered_at > run.stop_sent_at
            if not is_answered and now - run.stop_sent_at >= STOP_RETRY_SECONDS:
                self._send_stop(run, now)

    def _stop_stalled(self, now: float) -> None:
        """Stop runs that make no progress, so that they go on elsewhere."""
        for worker in self._context.table.workers.values():
            if worker.contact is not WorkerContact.SETTLED:
                continue
            for run in list(worker.runs.values()):
                if run.state is RunState.RUNNING and is_stalled(run, worker.answered_at):
                    self._context.log("worker_avoided", worker=worker.worker_id, reason="stalled")
                    worker.health.avoid(now)
                    self.stop(run, now, "stalled")

    def stop_job_runs(self, steps: list[StepProgress], now: float, reason: str) -> None:
        """Order the end of everything that runs for these steps."""
        for step in steps:
            gang = self._gangs.get(step.key)
            runs = list(gang.members) if gang is not None else []
            runs += [task.run for task in step.tasks if task.run is not None]
            for run in runs:
                if run.state not in (RunState.ENDED, RunState.STOPPING):
                    self.stop(run, now, reason)
            self._context.desk.forget(step.key)

    # What workers report

    def reconcile(self, worker: Worker, result: HoldResult, sent_at: float, now: float) -> None:
        """Take in a worker's lists; the hold was sent at ``sent_at``."""
        is_latest = result.clock_ms >= worker.listed_clock_ms
        for report in result.ended:
            if report.number > worker.seen_through:
                worker.seen_through = report.number
                self._take_end(worker, report, now)
        if not is_latest:
            return
        worker.listed_clock_ms = result.clock_ms
        listed = set()
        for running in result.running:
            listed.add(running.run)
            self._take_running(worker, running, now)
        for key in [key for key in worker.strays if key not in listed]:
            del worker.strays[key]
            self._context.wants_placement = True
        if result.is_whole:
            self._find_missing(worker, listed, result.clock_ms, sent_at, now)

    def _take_end(self, worker: Worker, report: EndReport, now: float) -> None:
        run = worker.runs.get(report.run)
        if run is not None:
            self._context.book.task_begun(run.task, now)
            self._note_checkpoint(run.task, report.checkpoint)
            self._log_end(run, report)
            self.end_run(run, report.end, now)
        elif report.run not in worker.ended_runs:
            self._take_unknown_end(worker, report, now)

    def _take_unknown_end(self, worker: Worker, report: EndReport, now: float) -> None:
        """Take in the end of a run that a former holder started."""
        task = self._context.book.find_task(report.run.task)
        if task is None or task.state is TaskState.DONE or task.step.job.state.is_final:
            return
        step = task.step
        step.last_number = max(step.last_number, report.run.number)
        self._context.book.task_begun(task, now)
        self._note_checkpoint(task, report.checkpoint)
        self._context.log(
            "end_recovered",
            worker=worker.worker_id,
            task=_name(report.run),
            run=report.run.number,
            how=report.end.value,
        )
        is_for_good = report.end is RunEnd.DONE and not step.spec.long_running
        if is_for_good and task.run is None:
            self._complete(task, now)
        elif report.end is RunEnd.FAILED:
            task.failed_on = worker.worker_id
            self._context.book.task_failed(task, report.run.number, now)
            self._stop_if_final(step, now)
        self._context.wants_placement = True

    def _take_running(self, worker: Worker, report: RunningReport, now: float) -> None:
        run = worker.runs.get(report.run)
        if run is None:
            self._take_unknown_run(worker, report, now)
            return
        if run.state in (RunState.STARTING, RunState.UNCERTAIN):
            self._confirm(run, now)
        if report.percent != run.percent:
            run.percent = report.percent
            run.moved_at = now
        run.usage = report.usage
        if report.checkpoint:
            _checkpoint_holder(run.task).checkpoint = report.checkpoint

    def _take_unknown_run(self, worker: Worker, report: RunningReport, now: float) -> None:
        """Adopt a run of a former holder, or order its end."""
        ended = worker.ended_runs.get(report.run)
        if ended is RunEnd.ABANDONED:
            self.stop_stray(worker, report.run, now)
        if ended is not None:
            return
        task = self._context.book.find_task(report.run.task)
        may_adopt = (
            task is not None
            and task.run is None
            and task.state is not TaskState.DONE
            and not task.step.job.state.is_final
        )
        if not may_adopt or task is None:
            self.stop_stray(worker, report.run, now)
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
        step.last_number = max(step.last_number, run.number)
        task.run = run
        if report.checkpoint:
            _checkpoint_holder(task).checkpoint = report.checkpoint
        if task.placed_on != worker.worker_id:
            # A later holder is to know it, too.
            self._context.book.dirty[step.job.job_id] = None
        self._hold_room(run)
        self._context.book.task_started(task)
        self._context.book.task_begun(task, now)
        self._log_run("run_adopted", run)
        if gang is not None and gang.is_broken:
            self.stop(run, now, "gang_broken")

    def _gang_to_join(self, step: StepProgress, number: int) -> GangRun:
        gang = self._gangs.get(step.key)
        if gang is None or gang.is_over:
            gang = self._gangs[step.key] = GangRun(step, number)
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
                    self._log_run("run_missing", run)
                    self.end_run(run, RunEnd.ABANDONED, now)
            elif clock_ms > run.until_ms or 0 < run.stop_answered_at < sent_at:
                self._log_run("start_settled", run, started=0)
                self.end_run(run, RunEnd.NOT_STARTED, now)
            elif run.state is RunState.UNCERTAIN:
                self.stop(run, now, "start_unanswered")

    def _confirm(self, run: Run, now: float) -> None:
        run.move_to(RunState.RUNNING)
        run.confirmed_at = now
        run.moved_at = now
        self._note_begun(run, now)

    def _note_begun(self, run: Run, now: float) -> None:
        job = run.task.step.job
        if not job.begun:
            seconds = now - job.accepted_at
            self._context.emit(JobBegun(job.spec.queue.name, job.spec.tenant, seconds))
        self._context.book.task_begun(run.task, now)

    # Ends

    def abandon_all(self, worker: Worker, now: float) -> None:
        """A worker's life, or its lease, is over; so is everything that it ran."""
        for run in list(worker.runs.values()):
            self._log_run("run_abandoned", run)
            self.end_run(run, RunEnd.ABANDONED, now)

    def end_run(self, run: Run, end: RunEnd, now: float) -> None:
        """Free a run's room and draw the consequences for its task."""
        if run.state is RunState.ENDED:
            return
        run.move_to(RunState.ENDED)
        self._stopping.pop(run.key, None)
        worker = run.worker
        worker.remove(run)
        self._context.ledger.remove(run.task.step.job.spec.tenant, run.needs)
        self._context.table.note_gain(worker)
        worker.note_ended(run.key, end)
        task = run.task
        if task.run is run:
            task.run = None
            task.placed_on = ""
        self._context.wants_placement = True
        if end is RunEnd.FAILED:
            task.failed_on = worker.worker_id
            self._context.book.task_failed(task, run.number, now)
            if worker.health.note_failure(task.step.job.job_id, now):
                self._context.log("worker_avoided", worker=worker.worker_id, reason="failures")
        elif end is RunEnd.DONE:
            worker.health.note_success()
        if run.gang is not None:
            self._end_gang_member(run, run.gang, end, now)
        elif end is RunEnd.DONE:
            self._complete(task, now)
        elif task.state is TaskState.ACTIVE:
            self._context.book.task_waits(task)
        self._stop_if_final(task.step, now)

    def _end_gang_member(self, run: Run, gang: GangRun, end: RunEnd, now: float) -> None:
        if end is RunEnd.DONE and not gang.step.spec.long_running:
            self._complete(run.task, now)
            return
        step = gang.step
        if not step.is_done and not gang.is_broken:
            gang.is_broken = True
            for member in gang.members:
                if member.state not in (RunState.ENDED, RunState.STOPPING):
                    self.stop(member, now, "gang_broken")
        if gang.is_over:
            self._gangs.pop(step.key, None)
            for task in step.tasks:
                if task.state is TaskState.ACTIVE:
                    self._context.book.task_waits(task)

    def _complete(self, task: TaskProgress, now: float) -> None:
        """Note that a task ended well; of a gang, one such end stands for all."""
        step = task.step
        if step.spec.long_running:
            self._context.book.task_waits(task)
            return
        tasks = step.tasks if step.spec.gang else [task]
        for ended in tasks:
            if ended.state is not TaskState.DONE:
                self._context.book.task_done(ended, now)
        if step.is_done:
            self._context.desk.forget(step.key)
        self._context.wants_placement = True

    def _stop_if_final(self, step: StepProgress, now: float) -> None:
        job = step.job
        if job.state in (JobState.FAILED, JobState.CANCELLED):
            self.stop_job_runs(job.steps(), now, f"job_{job.state.name.lower()}")

    def _note_checkpoint(self, task: TaskProgress, checkpoint: str) -> None:
        if checkpoint:
            self._context.book.note_checkpoint(_checkpoint_holder(task), checkpoint)

    # Recovery

    def settle_worker(self, worker: Worker, now: float) -> None:
        """What a worker runs is known: draw the consequences for what it might have run."""
        steps = self._context.book.settle_worker(worker.worker_id, now)
        if steps:
            self._context.wants_placement = True
        keys = {step.key for step in steps if not step.in_doubt}
        self.repair_gangs(now, keys)

    def repair_gangs(self, now: float, keys: set[StepKey] | None = None) -> None:
        """Once all runs of them are known, end gangs of which members are missing.

        Parameters
        ----------
        keys : set of StepKey
            Whose runs are known; by default all.
        """
        gangs = self._gangs if keys is None else {key: self._gangs.get(key) for key in keys}
        for gang in list(gangs.values()):
            if gang is None:
                continue
            if len(gang.members) < len(gang.step.tasks) and not gang.step.is_done:
                gang.is_broken = True
            if gang.is_broken:
                for member in gang.members:
                    if member.state not in (RunState.ENDED, RunState.STOPPING):
                        self.stop(member, now, "gang_incomplete")

    # Logs

    def _log_run(self, event: str, run: Run, **fields: str | int) -> None:
        self._context.log(
            event,
            worker=run.worker.worker_id,
            task=_name(run.key),
            run=run.number,
            state=run.state.name.lower(),
            **fields,
        )

    def _log_end(self, run: Run, report: EndReport) -> None:
        self._log_run("run_ended", run, how=report.end.value, number=report.number)


class _OrderStarts:
    """Once starts are on record, they are ordered."""

    def __init__(self, keeper: RunKeeper, runs: list[Run]) -> None:
        self._keeper = keeper
        self._runs = runs

    def __call__(self, now: float) -> None:
        self._keeper.order_starts(self._runs, now)


def _checkpoint_of(task: TaskProgress) -> str:
    """Return from where a start resumes."""
    return _checkpoint_holder(task).checkpoint if task.step.spec.checkpointing else ""


def _checkpoint_holder(task: TaskProgress) -> TaskProgress:
    """Return the task that keeps the checkpoint; of a gang, the first one for all."""
    return task.step.tasks[0] if task.step.spec.gang else task


def is_stalled(run: Run, seen_at: float) -> bool:
    """Return whether a run has made no progress for longer than a slow worker would take.

    ``seen_at`` is when its progress was last told.  Tasks that run until they are stopped
    tell no progress; members of a gang wait for each other at the start and at the end.
    """
    step = run.task.step.spec
    if step.long_running or not run.confirmed_at:
        return False
    bound = STALL_SECONDS + STALL_ESTIMATE_SHARE * step.estimated_ms / _MILLISECONDS
    moved_at = run.moved_at
    if run.gang is not None:
        moved_at = max(member.moved_at for member in run.gang.members)
        bound += GANG_START_SECONDS if run.percent == 0 else 0.0
    return seen_at - moved_at > bound


def _name(key: RunKey) -> str:
    task = key.task
    return f"{task.job_id}.{task.repetition}.{task.step}.{task.task_index}"
