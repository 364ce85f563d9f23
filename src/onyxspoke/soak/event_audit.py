"""The kit's audit, fed by the events of several processes in the order of their times."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from onyxspoke.core.jobs.model import RunKey, WorkerId
from onyxspoke.core.placement.worker_record import WorkerRecord
from onyxspoke.kit.jobs.audit import JobAudit, Violation
from onyxspoke.soak import events

_decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(events.AnyEvent)


class _EventClock:
    """Shows the time of the event that is taken in; implements ``Timers``."""

    def __init__(self) -> None:
        self.at = 0.0

    def now(self) -> float:
        return self.at

    def schedule(self, delay: float, function: Callable[[], Any]) -> None:
        raise NotImplementedError


class ToldWorker:
    """A life of a worker, as its events tell of it; implements ``SeenWorker``."""

    def __init__(self, record: WorkerRecord) -> None:
        self.record = record
        self.listed: tuple[RunKey, ...] = ()

    @property
    def worker_id(self) -> WorkerId:
        """The life's name."""
        return self.record.worker_id

    def listed_runs(self) -> list[RunKey]:
        """Return the runs whose ends the worker listed as its lease ran out."""
        return list(self.listed)


class _Source:
    """One process that tells events, each later than the one before."""

    def __init__(self) -> None:
        self.events: deque[events.AnyEvent] = deque()
        self.told_until = 0.0


class EventAudit:
    """Merges events by time and has the audit check them.

    An event is taken in once every process has told everything before it.

    Parameters
    ----------
    is_planned_only : bool
        Whether only planned work strikes the cell, so that no call may be cut.
    """

    def __init__(self, is_planned_only: bool = False) -> None:
        self._is_planned_only = is_planned_only
        self._clock = _EventClock()
        self.audit = JobAudit(self._clock)
        self.is_over = False
        self._sources: dict[str, _Source] = {}
        self._workers: dict[WorkerId, ToldWorker] = {}

    def add_source(self, name: str) -> None:
        """Wait for the events of one more process from now on."""
        self._sources[name] = _Source()

    def take_line(self, name: str, line: bytes) -> None:
        """Take an event, and check whatever that makes complete."""
        event: events.AnyEvent = _decoder.decode(line)
        source = self._sources[name]
        source.told_until = event.at
        if not isinstance(event, events.Passed):
            source.events.append(event)
        self._take_complete()

    def _take_complete(self) -> None:
        until = min(source.told_until for source in self._sources.values())
        while True:
            waiting = [source for source in self._sources.values() if source.events]
            if not waiting:
                return
            first = min(waiting, key=lambda source: source.events[0].at)
            if first.events[0].at > until:
                return
            event = first.events.popleft()
            self._clock.at = event.at
            self._take(event)

    def _take(self, event: events.AnyEvent) -> None:
        if isinstance(event, events.AllAsked):
            self.audit.check_refused()
            self.is_over = True
        elif isinstance(event, events.WorkerBorn):
            self._workers[event.record.worker_id] = ToldWorker(event.record)
        elif not self._take_of_caller(event):
            self._take_of_worker(event)

    def _take_of_worker(self, event: events.AnyEvent) -> None:
        audit = self.audit
        match event:
            case events.RunStarted():
                worker = self._workers[event.worker_id]
                audit.handle_started(worker, event.run, event.payload, event.node)
            case events.RunEnded():
                audit.handle_ended(self._workers[event.worker_id], event.run, event.end)
            case events.RunNoted():
                audit.handle_noted(self._workers[event.worker_id], event.run, event.end)
            case events.RunCrashed():
                audit.handle_crashed(self._workers[event.worker_id], event.run)
            case events.LeaseLapsed():
                worker = self._workers[event.worker_id]
                worker.listed = event.listed
                audit.handle_lapsed(worker)

    def _take_of_caller(self, event: events.AnyEvent) -> bool:
        audit = self.audit
        match event:
            case events.JobSubmitted():
                audit.handle_submitted(event.spec)
            case events.SubmitAnswered():
                audit.handle_submit_reply(event.job_id, event.reply)
            case events.CancelSent():
                audit.handle_cancel_sent(event.job_id)
            case events.CancelAnswered():
                audit.handle_cancel_reply(event.job_id, event.reply)
            case events.StateAnswered():
                audit.handle_state_reply(event.job_id, event.reply)
            case events.CallCut():
                audit.counts["call_cut"] += 1
                if self._is_planned_only:
                    detail = f"{event.job_id} at {event.node} after {event.seconds:.2f} s"
                    audit.note(Violation.CUT_BY_STOP, detail)
            case events.JobFinished():
                audit.check_finished(event.job_id, event.state)
            case _:
                return False
        return True
