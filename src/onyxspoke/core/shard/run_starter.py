"""Starts of runs: planned, on record, ordered, and what workers answer to the orders."""

from __future__ import annotations

from onyxspoke.core.jobs.model import RunKey
from onyxspoke.core.jobs.progress import StepProgress, resume_checkpoint
from onyxspoke.core.jobs.states import RunEnd, RunState
from onyxspoke.core.placement.isolation import isolate_worker_of
from onyxspoke.core.placement.runs import GangRun, Run, task_log_name
from onyxspoke.core.placement.spreading import Placement, StepPlacement
from onyxspoke.core.placement.worker_record import WorkerListing
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard.actions import SendStart
from onyxspoke.core.shard.context import ShardContext, address_of
from onyxspoke.core.shard.orders import CERTAINLY_NOT_DONE, OrderOutcome, OrderResult
from onyxspoke.core.shard.run_manager import RunManager

#: Run numbers of one holder begin above those of every earlier one.
NUMBERS_A_TOKEN = 4_096
#: A worker that refused for want of health or room, or was not reached, is not offered for so
#: long, in seconds.
REFUSED_SECONDS = 0.5
_NOT_OFFERED_AFTER = frozenset(
    {
        OrderOutcome.UNHEALTHY,
        OrderOutcome.INSUFFICIENT_CAPACITY,
        OrderOutcome.INVALID,
        OrderOutcome.NOT_SENT,
        OrderOutcome.OTHER_INCARNATION,
    }
)
_MILLISECONDS = 1_000.0


class RunStarter:
    """Starts runs.

    Parameters
    ----------
    context : ShardContext
        State of the holder.
    runs : RunManager
        Keeps the runs from then on.
    """

    def __init__(self, context: ShardContext, runs: RunManager) -> None:
        self._context = context
        self._runs = runs

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
            self._runs.gangs[step.key] = gang
        runs = []
        for placement in plan.placements:
            number = gang.number if gang is not None else self._next_number(step)
            runs.append(self._plan_one(placement, number, gang, now))
        self._context.job_registry.dirty[step.job.job_id] = None
        self._context.commit.after_commit(_OrderStarts(self, runs))

    def _plan_one(self, placement: Placement, number: int, gang: GangRun | None, now: float) -> Run:
        """Reserve room for one run."""
        task, worker = placement.task, placement.worker
        run = Run(task, number, worker, now, gang)
        run.is_resumed = bool(resume_checkpoint(task))
        task.run = run
        self._runs.hold_room(run)
        self._context.job_registry.task_activated(task)
        isolate_worker_of(run, now)
        return run

    def order_starts(self, runs: list[Run], now: float) -> None:
        """Order starts that are on record now, of a gang all or none."""
        ready = [run for run in runs if self._may_order(run, now)]
        withdrawn = [run for run in runs if run not in ready]
        if withdrawn and runs[0].gang is not None:
            ready, withdrawn = [], runs
        for run in withdrawn:
            if run.state is RunState.PLANNED:
                self._runs.log_run("start_withdrawn", run)
                self._runs.end_run(run, RunEnd.NOT_STARTED, now)
        for run in ready:
            self._order_start(run, now)

    def _may_order(self, run: Run, now: float) -> bool:
        """Return whether a planned run may still be started."""
        context = self._context
        worker = run.worker
        return (
            run.state is RunState.PLANNED
            and context.may_send_orders(now)
            and worker.contact is WorkerContact.RECONCILED
            and worker.listing is WorkerListing.READY
            # Its room may have shrunk while the start's record was under way.
            and not worker.is_over_capacity
            and not worker.unanswered_order_at
            and self._ticket(run, now) is not None
        )

    def _ticket(self, run: Run, now: float) -> str | None:
        """Return the leave to start a run, empty where none is needed."""
        step = run.task.step
        if self._context.policy.queue_of(step.job.spec).advice is None:
            return ""
        return self._context.advice_dispatcher.advice_for(step).valid_ticket(
            run.worker.worker_id, now
        )

    def _order_start(self, run: Run, now: float) -> None:
        context = self._context
        task, worker = run.task, run.worker
        run.move_to(RunState.STARTING)
        run.ordered_at = run.sent_at = run.progressed_at = now
        run.start_valid_until_ms = worker.clock.estimate_ms(now) + context.options.start_validity_ms
        worker.extend_lease(run.start_valid_until_ms)
        context.table.unresolved_starts.add_start(worker.worker_id, run.key, now)
        isolate_worker_of(run, now)
        job = task.step.job
        context.log(
            "run_start",
            worker=worker.worker_id,
            task=task_log_name(run.key),
            run=run.number,
            waited_ms=int((now - task.step.ready_at) * _MILLISECONDS),
            quota_ms=int(task.step.over_quota_seconds * _MILLISECONDS),
            free_cpu=worker.free_processors,
            look_age_ms=int((now - worker.hold_answered_at) * _MILLISECONDS),
            policy=context.policy.version,
        )
        context.emit(
            SendStart(
                address=address_of(worker),
                token=context.token,
                run=run.key,
                payload=job.spec.payload,
                until_ms=run.start_valid_until_ms,
                checkpoint=resume_checkpoint(task),
                ticket=self._ticket(run, now) or "",
            )
        )

    def handle_start_result(
        self, worker: Worker, key: RunKey, result: OrderResult, now: float
    ) -> None:
        """A worker answered an order to start, or did not."""
        run = worker.runs.get(key)
        outcome = result.outcome
        if outcome is OrderOutcome.DONE:
            worker.note_answer(now)
            if run is not None and run.state in (RunState.STARTING, RunState.UNCERTAIN):
                self._runs.confirm(run, now)
            return
        if run is None:
            return
        if outcome is OrderOutcome.NO_ANSWER:
            if run.state is RunState.STARTING:
                run.move_to(RunState.UNCERTAIN)
            # Nothing more goes there until it has answered a look.
            worker.poll_requested = True
            worker.unanswered_order_at = now
            self._runs.log_run("start_unanswered", run)
            return
        if outcome in CERTAINLY_NOT_DONE:
            self._runs.log_run("start_refused", run, reason=outcome.value)
            self._react_to_refusal(worker, run, outcome, now)
            self._runs.end_run(run, RunEnd.NOT_STARTED, now)

    def _react_to_refusal(
        self, worker: Worker, run: Run, outcome: OrderOutcome, now: float
    ) -> None:
        if outcome is OrderOutcome.NO_TICKET:
            self._context.advice_dispatcher.drop_ticket(run.task.step.key, worker.worker_id)
        elif outcome in _NOT_OFFERED_AFTER:
            worker.poll_requested = (
                worker.poll_requested or outcome is OrderOutcome.OTHER_INCARNATION
            )
            worker.retry_at = now + REFUSED_SECONDS

    def _next_number(self, step: StepProgress) -> int:
        base = self._context.token * NUMBERS_A_TOKEN
        step.last_run_number = max(step.last_run_number + 1, base)
        return step.last_run_number


class _OrderStarts:
    """Once starts are on record, they are ordered."""

    def __init__(self, starter: RunStarter, runs: list[Run]) -> None:
        self._starter = starter
        self._runs = runs

    def __call__(self, now: float) -> None:
        self._starter.order_starts(self._runs, now)
