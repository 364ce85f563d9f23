"""Starts of runs: planning, recording, ordering, and handling the workers' answers."""

from __future__ import annotations

from onyxspoke.core.jobs.model import RunKey, StepKey, WorkerId
from onyxspoke.core.jobs.progress import StepProgress, resume_checkpoint
from onyxspoke.core.jobs.states import RunEnd, RunState
from onyxspoke.core.placement.isolation import is_on_trial, isolate_worker_of, needs_isolation
from onyxspoke.core.placement.runs import GangRun, Run, task_log_name
from onyxspoke.core.placement.spreading import Placement, StepPlacement
from onyxspoke.core.placement.worker_record import WorkerListing
from onyxspoke.core.placement.workers import Worker, WorkerContact
from onyxspoke.core.shard.actions import SendStart
from onyxspoke.core.shard.context import ShardContext, address_of
from onyxspoke.core.shard.orders import NOT_EXECUTED_OUTCOMES, OrderOutcome, OrderResult
from onyxspoke.core.shard.run_manager import RunManager
from onyxspoke.core.shard.start_queue import StartQueue

#: Run numbers reserved for each token, so that the numbers of a holder's runs are higher than
#: those of all earlier holders.
RUN_NUMBERS_PER_TOKEN = 4_096
#: For how long a worker gets no new runs after it refused a start, or was not reached.
REFUSAL_BACKOFF_SECONDS = 0.5
#: Largest number of starts that one call of :meth:`RunStarter.release_starts` orders, so that the
#: event loop soon turns to other events.
MAXIMUM_STARTS_PER_RELEASE = 64
_BACKOFF_OUTCOMES = frozenset(
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
    run_manager : RunManager
        Manages the runs that were started.
    """

    def __init__(self, context: ShardContext, run_manager: RunManager) -> None:
        self._context = context
        self._run_manager = run_manager
        self._queue = StartQueue()
        self._replannable: list[StepKey] = []

    @property
    def has_startable(self) -> bool:
        """Whether a recorded start may be ordered now."""
        return self._queue.is_ready

    def planning_limit(self, step: StepProgress) -> int:
        """Return how many starts of a step may be planned now."""
        return len(step.tasks) if step.spec.gang else self._queue.planning_limit(step.key)

    def take_replannable(self) -> list[StepKey]:
        """Return the steps of which more starts may be planned than at the last call."""
        replannable, self._replannable = self._replannable, []
        return replannable

    def start(self, plan: StepPlacement, now: float) -> None:
        """Reserve capacity for the tasks of a step; order the starts once they are recorded.

        Without the record, a new holder would not know which tasks an unreachable worker may be
        running, and could start no waiting task until that worker's lease has expired.  If a
        network failure cuts off a zone and the holder in it, that would stop nearly all starts for
        the length of a lease, 6 s by default.
        """
        step = plan.step
        gang = None
        if step.spec.gang:
            gang = GangRun(step, self._next_run_number(step))
            self._run_manager.gangs[step.key] = gang
        runs = []
        step_is_on_trial = is_on_trial(step)
        for placement in plan.placements:
            number = gang.number if gang is not None else self._next_run_number(step)
            runs.append(self._plan_run(placement, number, gang, now))
            if needs_isolation(placement.task, step_is_on_trial):
                isolate_worker_of(runs[-1], now)
        self._queue.note_planned(step.key, len(runs))
        self._context.job_registry.dirty[step.job.job_id] = None
        self._context.commit.after_commit(_SendStartsAfterCommit(self, runs))

    def _plan_run(self, placement: Placement, number: int, gang: GangRun | None, now: float) -> Run:
        """Create a run for one task, and reserve capacity for it."""
        task, worker = placement.task, placement.worker
        run = Run(task, number, worker, now, gang)
        run.is_resumed = bool(resume_checkpoint(task))
        task.run = run
        self._run_manager.reserve_capacity(run)
        self._context.job_registry.task_activated(task)
        return run

    def order_recorded_starts(self, runs: list[Run], now: float) -> None:
        """Queue starts whose records are committed, once ownership is proven.

        The append that recorded them may have been sent too long ago to prove it, as it is after
        an outage of the store.
        """
        context = self._context
        if context.may_send_orders(now) or context.has_stepped_down:
            self.order_starts(runs, now)
        else:
            context.commit.after_proof(lambda moment: self.order_starts(runs, moment))

    def order_starts(self, runs: list[Run], now: float) -> None:
        """Queue starts, and order the first of them; for a gang, queue either all or none."""
        are_startable = [self._may_start(run, now) for run in runs]
        if runs[0].gang is not None and not all(are_startable):
            are_startable = [False] * len(runs)
        for run, is_startable in zip(runs, are_startable, strict=True):
            if is_startable:
                self._queue.add(run)
            else:
                self._withdraw(run, now)
        self.release_starts(now)

    def release_starts(self, now: float) -> None:
        """Order as many of the queued starts as the workers, and one turn of the loop, take."""
        if not self._context.may_send_orders(now):
            return
        steps_on_trial: dict[StepKey, bool] = {}
        for _ in range(MAXIMUM_STARTS_PER_RELEASE):
            run = self._queue.take()
            if run is None:
                return
            if self._may_start(run, now):
                self._note_settled(run)
                self._send_start(run, now)
                step = run.task.step
                if step.key not in steps_on_trial:
                    steps_on_trial[step.key] = is_on_trial(step)
                if needs_isolation(run.task, steps_on_trial[step.key]):
                    isolate_worker_of(run, now)
            else:
                self._withdraw(run, now)

    def _withdraw(self, run: Run, now: float) -> None:
        """Give up a planned start that may not be ordered any more."""
        self._note_settled(run)
        if run.state is RunState.PLANNED:
            self._run_manager.log_run("start_withdrawn", run)
            self._run_manager.end_run(run, RunEnd.NOT_STARTED, now)

    def _note_settled(self, run: Run) -> None:
        if self._queue.note_settled(run.task.step.key):
            self._replannable.append(run.task.step.key)
            self._context.needs_placement = True

    def _may_start(self, run: Run, now: float) -> bool:
        """Return whether a run is still planned and may be started now."""
        context = self._context
        worker = run.worker
        return (
            run.state is RunState.PLANNED
            and context.may_send_orders(now)
            and worker.contact is WorkerContact.RECONCILED
            and worker.listing is WorkerListing.READY
            # The worker's capacity may have shrunk while the start was being recorded.
            and not worker.is_over_capacity
            and not worker.unanswered_order_at
            and self._ticket_for(run, now) is not None
        )

    def _ticket_for(self, run: Run, now: float) -> str | None:
        """Return a run's ticket: empty if its queue needs none, None if a needed one is missing."""
        step = run.task.step
        if self._context.policy.queue_of(step.job.spec).advice is None:
            return ""
        return self._context.advice_dispatcher.advice_for(step).valid_ticket(
            run.worker.worker_id, now
        )

    def _send_start(self, run: Run, now: float) -> None:
        context = self._context
        task, worker = run.task, run.worker
        run.move_to(RunState.STARTING)
        run.ordered_at = run.sent_at = run.progressed_at = now
        run.start_valid_until_ms = worker.clock.estimate_ms(now) + context.options.start_validity_ms
        worker.extend_lease(run.start_valid_until_ms)
        self._queue.note_ordered(worker.worker_id)
        context.table.unresolved_starts.add_start(worker.worker_id, run.key, now)
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
                ticket=self._ticket_for(run, now) or "",
                decided_at=now,
            )
        )

    def handle_answered(self, worker_id: WorkerId) -> None:
        """Note that a start order was answered or given up, by any incarnation of a worker."""
        self._queue.note_answered(worker_id)

    def handle_start_result(
        self, worker: Worker, key: RunKey, result: OrderResult, now: float
    ) -> None:
        """Handle a worker's answer to a start order, or its absence."""
        run = worker.runs.get(key)
        outcome = result.outcome
        if outcome is OrderOutcome.DONE:
            worker.note_answer(now)
            if run is not None and run.state in (RunState.STARTING, RunState.UNCERTAIN):
                self._run_manager.confirm(run, now)
            return
        if run is None:
            return
        if outcome is OrderOutcome.NO_ANSWER:
            if run.state is RunState.STARTING:
                run.move_to(RunState.UNCERTAIN)
            # The worker gets no new runs until it has answered a poll.
            worker.poll_requested = True
            worker.unanswered_order_at = now
            self._run_manager.log_run("start_unanswered", run)
            return
        if outcome in NOT_EXECUTED_OUTCOMES:
            self._run_manager.log_run("start_refused", run, reason=outcome.value)
            self._handle_refusal(worker, run, outcome, now)
            self._run_manager.end_run(run, RunEnd.NOT_STARTED, now)

    def _handle_refusal(self, worker: Worker, run: Run, outcome: OrderOutcome, now: float) -> None:
        if outcome is OrderOutcome.NO_TICKET:
            self._context.advice_dispatcher.drop_ticket(run.task.step.key, worker.worker_id)
        elif outcome in _BACKOFF_OUTCOMES:
            worker.poll_requested = (
                worker.poll_requested or outcome is OrderOutcome.OTHER_INCARNATION
            )
            worker.retry_at = now + REFUSAL_BACKOFF_SECONDS

    def _next_run_number(self, step: StepProgress) -> int:
        first_number_of_token = self._context.token * RUN_NUMBERS_PER_TOKEN
        step.last_run_number = max(step.last_run_number + 1, first_number_of_token)
        return step.last_run_number


class _SendStartsAfterCommit:
    """Orders starts once their records are committed."""

    def __init__(self, starter: RunStarter, runs: list[Run]) -> None:
        self._starter = starter
        self._runs = runs

    def __call__(self, now: float) -> None:
        self._starter.order_recorded_starts(self._runs, now)
