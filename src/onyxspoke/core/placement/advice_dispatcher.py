"""Dispatches calls to the advice service, and keeps its answers for each step.

The advice service decides which workers may run a step.  It handles one call per entry at a time,
so calls are spread over the entries; ``entry_partition`` decides which entry carries which call.
"""

from __future__ import annotations

import math
from dataclasses import replace

from onyxspoke.core.jobs.model import AdvicePolicy, StepKey, WorkerId
from onyxspoke.core.jobs.progress import StepProgress
from onyxspoke.core.placement.advice_entries import AdviceEntryPool
from onyxspoke.core.placement.advice_forecast import QueueForecast
from onyxspoke.core.placement.advice_log_events import (
    AdviceLogEvent,
    entry_recovered,
    entry_suspected,
    step_deferred,
)
from onyxspoke.core.placement.advice_queue import AdviceCall, AdviceQueue
from onyxspoke.core.placement.advice_targets import split_into_calls
from onyxspoke.core.placement.queue_order import StepRank
from onyxspoke.core.placement.step_advice import ApprovalRate, StepAdvice, record_answer
from onyxspoke.core.shard.log_records import ShardId
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult

#: An answer is ignored if it arrives more than this many seconds after its call was overdue.
LATE_ANSWER_SECONDS = 10.0
#: Delay, in seconds, before a step's advice is requested again after a failed call.
RETRY_DELAY_SECONDS = 0.1
#: If more seconds than this pass between two passes, the process has stalled, and answers may have
#: arrived that it has not read yet.
STALL_THRESHOLD_SECONDS = 0.1


class AdviceDispatcher:
    """Keeps the advice on each step and dispatches calls through the entries.

    Parameters
    ----------
    shard : int
        The shard whose holder makes the calls; holders of other shards use the same entries.
    uses_fair_shares : bool
        Whether tenants share the entries fairly.  If so, steps that are not entitled use only the
        entries that entitled steps leave free, calls that are no longer needed are dropped, and the
        calls of an entry that does not answer are moved to other entries at once.
    """

    def __init__(self, shard: ShardId = 0, uses_fair_shares: bool = False) -> None:
        self.uses_fair_shares = uses_fair_shares
        self._steps: dict[StepKey, StepAdvice] = {}
        self._entries = AdviceEntryPool(shard, uses_fair_shares)
        self._queue = AdviceQueue(uses_fair_shares)
        self._in_flight: dict[int, AdviceCall] = {}
        #: Calls that timed out or failed, by call id; their answers may still arrive.
        self._abandoned: dict[int, AdviceCall] = {}
        self._last_call_id = 0
        #: Share of queried workers that the advice service approved, by queue.
        self._approval_rates: dict[str, ApprovalRate] = {}
        #: When the advice on a step may be requested again after a failed call.
        self._retry_times: dict[StepKey, float] = {}
        self._forecast: QueueForecast | None = None
        self._log_events: list[AdviceLogEvent] = []
        self._last_pass_at = math.inf
        self._skipped_timeouts = False
        #: Whether calls were put back into the queue since the last pass.
        self.has_requeued_calls = False

    def set_advice_entries(self, names: list[str], now: float) -> None:
        """Replace the entries, given the holder first; calls of removed entries fail."""
        self._entries.set_entries(names)
        for call in list(self._in_flight.values()):
            if self._entries.find(call.entry_name) is None:
                self._abandon(call, now, "gone")

    def advice_for(self, step: StepProgress) -> StepAdvice:
        """Return the advice on a step; add an empty record if there is none."""
        advice = self._steps.get(step.key)
        if advice is None:
            advice = self._steps[step.key] = StepAdvice()
        return advice

    def known_advice(self, key: StepKey) -> StepAdvice | None:
        """Return the advice on a step, or ``None`` if there is no record of the step."""
        return self._steps.get(key)

    def queried_worker_ids(self, key: StepKey) -> set[WorkerId]:
        """Return the workers that the received answers on a step cover."""
        advice = self._steps.get(key)
        return set() if advice is None else advice.queried_workers

    def approval_rate(self, queue: str) -> float:
        """Return the share of workers that the service has approved for a queue's steps."""
        return self._approval_rates.get(queue, ApprovalRate()).value

    def forget(self, key: StepKey) -> None:
        """Drop the advice and the queued calls of a step that needs no more tickets."""
        self._steps.pop(key, None)
        self._queue.remove_step(key)

    def request_advice(
        self,
        step: StepProgress,
        policy: AdvicePolicy,
        worker_ids: list[WorkerId],
        rank: StepRank,
        now: float,
    ) -> None:
        """Queue calls about a step, unless some are open or one failed a moment ago."""
        advice = self.advice_for(step)
        if advice.has_open_calls or now < advice.retry_at or not worker_ids:
            return
        for named_workers in split_into_calls(step, policy, worker_ids):
            seconds = policy.call_seconds(len(named_workers))
            self._last_call_id += 1
            number = self._last_call_id
            queue = step.job.spec.queue.name
            call = AdviceCall(number, step, queue, named_workers, seconds, rank, now, number)
            advice.open_calls.add(number)
            self._entries.partition.record_call(seconds, now)
            if rank.is_entitled:
                self._entries.partition.record_entitled_call(seconds, now)
            self._queue.add(call, now)

    def dispatch(self, now: float) -> list[AdviceCall]:
        """Return the calls to make now, each assigned to an entry."""
        if not self._may_have_unread_answers(now):
            for call in [call for call in self._in_flight.values() if now >= call.overdue_at]:
                if call.call_id in self._in_flight:
                    self._abandon(call, now, "overdue")
        self._forget_abandoned(now)
        self._entries.begin_pass(now)
        if self.uses_fair_shares:
            self._drop_unneeded(now)
        dispatched, still_queued = [], []
        for call in self._queue.by_rank():
            entry = self._entries.choose_entry(call, now)
            if entry is None:
                still_queued.append(call)
                continue
            self._queue.remove(call.number)
            self._entries.start_call(call, entry, now)
            self._in_flight[call.call_id] = call
            dispatched.append(call)
        self._forecast = QueueForecast(still_queued, self._entries, now)
        self.has_requeued_calls = False
        return dispatched

    def handle_result(self, call_id: int, result: AdviceResult, now: float) -> StepKey | None:
        """Record the result of a call; return its step if new advice was stored."""
        call = self._in_flight.get(call_id)
        if call is None:
            return self._handle_late_result(call_id, result, now)
        if result.outcome is not AdviceOutcome.ANSWERED:
            self._abandon(call, now, result.outcome.value)
            return None
        self._entries.record_answer(call, now)
        self._finish_call(call, now)
        self._note_recovery(call, now)
        return self._apply_answer(call, result, now)

    def wait_seconds(self, call_seconds: float, rank: StepRank, now: float) -> float:
        """Return the expected time, in seconds, until an entry takes a new call of a rank.

        The forecast dates from the last pass; the result is 0 before the first pass.
        """
        if self._forecast is None:
            return 0.0
        return self._forecast.wait_seconds(call_seconds, rank, now)

    def take_log_events(self, now: float) -> list[AdviceLogEvent]:
        """Return the log events since the last call of this method."""
        log_events, self._log_events = self._log_events, []
        if self.uses_fair_shares:
            log_events += [
                AdviceLogEvent("advice_line", fields) for fields in self._queue.report_if_long(now)
            ]
        return log_events

    def take_due_retries(self, now: float) -> list[StepKey]:
        """Remove and return the steps whose advice may be requested again after a failed call."""
        due = [step for step, retry_at in self._retry_times.items() if now >= retry_at]
        for step in due:
            del self._retry_times[step]
        return due

    def forget_worker(self, worker_id: WorkerId) -> None:
        """Drop all advice on a worker whose name belongs to a new incarnation.

        Tickets are valid for one incarnation only, and the new one may have other resources.
        """
        for advice in self._steps.values():
            advice.tickets.pop(worker_id, None)
            advice.queried_workers.discard(worker_id)

    def drop_ticket(self, step: StepKey, worker_id: WorkerId) -> None:
        """Invalidate a ticket that its worker has refused."""
        advice = self._steps.get(step)
        if advice is not None and worker_id in advice.tickets:
            advice.tickets[worker_id].use_before = 0.0

    def note_deferred(
        self, step: StepProgress, queued_before_milli: int, capacity_milli: int
    ) -> None:
        """Log, once per step, that a step defers its request for advice.

        The steps before it need all of the expected free capacity.  Both amounts are in thousandths
        of a processor.
        """
        advice = self.advice_for(step)
        if not advice.deferral_logged:
            advice.deferral_logged = True
            self._log_events.append(step_deferred(step.key, queued_before_milli, capacity_milli))

    def _may_have_unread_answers(self, now: float) -> bool:
        """Return whether timeouts are skipped in this pass, because the process has just stalled.

        Timeouts are never skipped in two passes in a row.
        """
        seconds_since_pass, self._last_pass_at = now - self._last_pass_at, now
        self._skipped_timeouts = (
            self.uses_fair_shares
            and seconds_since_pass > STALL_THRESHOLD_SECONDS
            and not self._skipped_timeouts
        )
        return self._skipped_timeouts

    def _apply_answer(self, call: AdviceCall, result: AdviceResult, now: float) -> StepKey | None:
        advice = self._steps.get(call.step)
        if advice is None:
            return None
        advice.open_calls.discard(call.number)
        self._approval_rates.setdefault(call.queue, ApprovalRate()).add_answer(call, result)
        record_answer(advice, call, result, now)
        return call.step

    def _handle_late_result(self, call_id: int, result: AdviceResult, now: float) -> StepKey | None:
        """Record the late answer to an abandoned call; its tickets are still valid."""
        call = self._abandoned.pop(call_id, None)
        if call is None or result.outcome is not AdviceOutcome.ANSWERED:
            return None
        if self.uses_fair_shares:
            self._entries.record_slowness(call, now)
            self._note_recovery(call, now)
            if self._queue.remove(call.number) is not None:
                # The late answer makes the queued repetition of the call unnecessary.
                return self._apply_answer(call, result, now)
        advice = self._steps.get(call.step)
        if advice is None:
            return None
        record_answer(advice, call, result, now)
        return call.step

    def _drop_unneeded(self, now: float) -> None:
        for call in self._queue.remove_unneeded(now):
            advice = self._steps.get(call.step)
            if advice is not None:
                advice.open_calls.discard(call.number)

    def _finish_call(self, call: AdviceCall, now: float) -> None:
        del self._in_flight[call.call_id]
        self._entries.finish_call(call, now)

    def _forget_abandoned(self, now: float) -> None:
        horizon = now - LATE_ANSWER_SECONDS
        for call_id in [key for key, call in self._abandoned.items() if call.overdue_at < horizon]:
            del self._abandoned[call_id]

    def _abandon(self, call: AdviceCall, now: float, reason: str) -> None:
        """Give up a call that failed or timed out, and suspect its entry.

        With fair shares, all calls of that entry are put back into the queue at once.  Without
        them, the step of this call requests advice again after a delay.
        """
        entry = self._entries.find(call.entry_name)
        is_newly_suspected = entry is not None and self._entries.suspect(entry, now)
        calls = [call]
        if self.uses_fair_shares and entry is not None:
            calls = list(entry.in_flight.values())
        for abandoned_call in calls:
            self._finish_call(abandoned_call, now)
            self._abandoned[abandoned_call.call_id] = abandoned_call
            if self.uses_fair_shares:
                self._requeue(abandoned_call, now)
            else:
                self._schedule_retry(abandoned_call, now)
        if is_newly_suspected and entry is not None:
            self._log_events.append(entry_suspected(entry, reason, len(calls), now))

    def _schedule_retry(self, call: AdviceCall, now: float) -> None:
        advice = self._steps.get(call.step)
        if advice is not None:
            advice.open_calls.discard(call.number)
            advice.retry_at = now + RETRY_DELAY_SECONDS
            self._retry_times[call.step] = advice.retry_at

    def _requeue(self, call: AdviceCall, now: float) -> None:
        """Put a call back at its place in the queue, under a new id.

        The answer to the first attempt is used too, if it arrives.
        """
        advice = self._steps.get(call.step)
        if advice is None or call.number not in advice.open_calls:
            return
        self._last_call_id += 1
        requeued_call = replace(
            call, call_id=self._last_call_id, previous_tries=call.previous_tries + 1, entry_name=""
        )
        self._queue.add(requeued_call, now)
        self.has_requeued_calls = True

    def _note_recovery(self, call: AdviceCall, now: float) -> None:
        entry = self._entries.find(call.entry_name)
        if not self.uses_fair_shares or entry is None or not entry.suspect_count:
            return
        suspect_count = self._entries.clear_suspicion(entry, now)
        self._log_events.append(entry_recovered(entry, suspect_count, now))
