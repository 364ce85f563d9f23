"""One soak run: a cell of processes, a schedule of faults, and the audit beside it."""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, cast

import msgspec
from absl import logging
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime

from onyxspoke.net.http_client import HttpAnswer, HttpClient, encode_request
from onyxspoke.net.network import TcpEndpoints
from onyxspoke.net.reactor_clock import boot_seconds
from onyxspoke.platform.counterpart.answers import HTTP_OK
from onyxspoke.platform.counterpart.jobs import READY_TARGET
from onyxspoke.soak.event_audit import EventAudit
from onyxspoke.soak.events import AnyCommand, StopSubmitting
from onyxspoke.soak.faults import (
    FaultInjector,
    ScheduledFault,
    is_planned_only,
)
from onyxspoke.soak.nodes import NodeProcesses
from onyxspoke.soak.plan import READINESS_PORT, SoakPlan, make_settings
from onyxspoke.soak.processes import Processes, RunProcess

LOOK_SECONDS = 0.5
PROGRESS_SECONDS = 5.0
#: A cell that is not ready after so long is not up to a run.
READY_SECONDS = 240.0
#: After the last fault, nodes that were hit have started again after so long.
RESTART_SECONDS = 3.0
#: Beyond the time to settle, the stand-ins have so long to tell the last events.
TELL_SECONDS = 30.0

_encoder = msgspec.json.Encoder()


class SoakRun:
    """One run; ``play`` tells when it is over.

    Attributes
    ----------
    violations : list of str
        What must never happen and did, as lines.
    faults : list of ScheduledFault
        The schedule.
    """

    def __init__(
        self,
        plan: SoakPlan,
        directory: Path,
        faults: list[ScheduledFault],
        show: Callable[[str], None],
    ) -> None:
        self.plan = plan
        self.faults = faults
        self.violations: list[str] = []
        self._directory = directory
        self._show = show
        self._events = EventAudit(is_planned_only(plan))
        self._shown_findings = 0
        #: The same violation of the same job or run counts once.
        self._noted: set[str] = set()
        self._processes = Processes(directory)
        self._stand_ins: dict[str, RunProcess] = {}
        self._timers: set[IDelayedCall] = set()
        self._over: Deferred[None] = Deferred()
        self._is_over = False
        self._is_striking = False
        self._began_at = boot_seconds()
        settings = [directory / f"node-{index}.settings" for index in range(plan.nodes)]
        program = [sys.executable, "-m", "onyxspoke.cli.node"]
        self._nodes = NodeProcesses(
            self._processes,
            program,
            settings,
            self._later,
            self._handle_untimely_end,
            plan.node_path,
        )
        self._injector = FaultInjector(plan, self._nodes, self._send, self._later)
        self._settings = settings

    @property
    def job_count(self) -> int:
        """How many jobs were handed in."""
        return len(self._events.audit.jobs)

    @property
    def fault_count(self) -> int:
        """How many faults struck."""
        return self._injector.injected

    def play(self) -> Deferred[None]:
        """Run to the end; every process has ended by then."""
        for index, path in enumerate(self._settings):
            path.write_text(make_settings(self.plan, index), encoding="utf-8")
        (self._directory / "plan.json").write_bytes(msgspec.json.encode(self.plan))
        for name in ("store", "advice", "workers", "proxy"):
            if name != "proxy" or self.plan.with_proxy:
                self._start_stand_in(name)
        for index in range(self.plan.nodes):
            self._nodes.start(index)
        client = HttpClient(cast("IReactorTime", reactor), TcpEndpoints(reactor))
        self._later(LOOK_SECONDS, partial(self._look_ready, client, boot_seconds()))
        self._later(PROGRESS_SECONDS, self._show_progress)
        return self._over

    def abort(self) -> Deferred[Any]:
        """End every process of this run now."""
        self._is_over = True
        self._nodes.finish()
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        return self._processes.end_all()

    # Course

    def _look_ready(self, client: HttpClient, since: float) -> None:
        """Ask every node whether it is ready, and go on once all are."""
        answers: list[bool] = []

        def take(answer: HttpAnswer) -> None:
            answers.append(answer.status == HTTP_OK)
            if len(answers) < self.plan.nodes or self._is_over:
                return
            if all(answers):
                self._begin()
            elif boot_seconds() > since + READY_SECONDS:
                self._fail("the cell did not come up")
            else:
                self._later(LOOK_SECONDS, partial(self._look_ready, client, since))

        for index in range(self.plan.nodes):
            host = self.plan.node_host(index)
            request = encode_request("GET", READY_TARGET, host)
            client.call(host, READINESS_PORT, request, 1.0, take)

    def _begin(self) -> None:
        self._began_at = boot_seconds()
        self._is_striking = True
        self._start_stand_in("callers")
        for fault in self.faults:
            self._later(fault.at, partial(self._strike, fault))
        latest = max((fault.at + fault.seconds for fault in self.faults), default=0.0)
        seconds = max(self.plan.fault_seconds, latest) + RESTART_SECONDS
        self._later(seconds, self._settle)

    def _strike(self, fault: ScheduledFault) -> None:
        logging.info(
            "event=fault at=%.2f kind=%s seconds=%.2f target=%d",
            fault.at,
            fault.fault.value,
            fault.seconds,
            fault.target,
        )
        self._injector.inject(fault)

    def _settle(self) -> None:
        self._send("callers", StopSubmitting())
        seconds = self.plan.settle_seconds + TELL_SECONDS
        self._later(seconds, partial(self._fail, "the callers did not tell how jobs ended"))

    def _fail(self, reason: str) -> None:
        self._note(reason)
        self._finish()

    def _finish(self) -> None:
        if not self._is_over:
            self._show_progress()
            self.abort().addCallback(lambda _ends: self._over.callback(None))

    # Processes

    def _start_stand_in(self, name: str) -> None:
        plan = str(self._directory / "plan.json")
        arguments = [sys.executable, "-m", "onyxspoke.cli.soak", name, "--plan", plan]
        if name in ("workers", "callers"):
            self._events.add_source(name)
        process = self._processes.start(name, arguments)
        process.on_line = partial(self._take_line, name)
        process.on_end = partial(self._handle_untimely_end, name)
        self._stand_ins[name] = process

    def _take_line(self, name: str, line: bytes) -> None:
        if name not in ("workers", "callers") or self._is_over:
            return
        with (self._directory / f"{name}.events").open("ab") as events:
            events.write(line + b"\n")
        self._events.take_line(name, line)
        findings = self._events.audit.findings
        for finding in findings[self._shown_findings :]:
            text = f"{finding.violation.value}: {finding.detail}"
            if text not in self._noted:
                self._noted.add(text)
                self._note(f"at {finding.at - self._began_at:.2f} s: {text}")
        self._shown_findings = len(findings)
        if self._events.is_over:
            self._finish()

    def _handle_untimely_end(self, name: str) -> None:
        if not self._is_over:
            self._fail(f"{name} ended by itself")

    def _send(self, name: str, command: AnyCommand) -> None:
        self._stand_ins[name].send_line(_encoder.encode(command))

    # Telling

    def _note(self, text: str) -> None:
        line = f"seed {self.plan.seed}: {text}"
        self.violations.append(line)
        self._show(line)

    def _show_progress(self) -> None:
        counts = self._events.audit.counts
        seconds = boot_seconds() - self._began_at if self._is_striking else 0.0
        self._show(
            f"seed={self.plan.seed} t={seconds:.0f}s jobs={self.job_count}"
            f" accepted={counts['submit_ok']} refused={counts['submit_refused']}"
            f" unanswered={counts['submit_unknown']} cut={counts['call_cut']}"
            f" starts={counts['starts']}"
            f" faults={self.fault_count}/{len(self.faults)} violations={len(self.violations)}"
        )
        if not self._is_over:
            self._later(PROGRESS_SECONDS, self._show_progress)

    def _later(self, seconds: float, function: Callable[[], None]) -> None:
        if self._is_over:
            return
        self._timers = {timer for timer in self._timers if timer.active()}
        self._timers.add(cast("IReactorTime", reactor).callLater(seconds, function))
