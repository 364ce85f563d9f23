"""``onyxspoke-soak``: a cell of real processes over loopback, struck by faults and audited."""

from __future__ import annotations

import argparse
import os
import random
import sys
from pathlib import Path
from typing import Any, cast

from absl import logging
from twisted.application.service import Service
from twisted.internet import reactor
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IReactorCore

from onyxspoke.cli.process import (
    ProcessRunner,
    configure_logging,
    make_parser,
    use_boot_clock_timers,
)
from onyxspoke.core.codes import ExitCode
from onyxspoke.net.reactor_clock import boot_seconds
from onyxspoke.soak import stand_ins
from onyxspoke.soak.faults import OF_ZONES, draw_schedule, read_schedule
from onyxspoke.soak.networks import NetworkLock
from onyxspoke.soak.plan import SoakPlan, load_plan
from onyxspoke.soak.run import SoakRun
from onyxspoke.soak.timers import DueTimers

HIGHEST_SEED = 1 << 31
_MINUTE_SECONDS = 60.0
_STARTS = {
    "store": stand_ins.start_store,
    "advice": stand_ins.start_advice,
    "workers": stand_ins.start_workers,
    "callers": stand_ins.start_callers,
    "proxy": stand_ins.start_proxy,
}


def main() -> None:
    """Run the program."""
    parser = make_parser("onyxspoke-soak", "Strike real processes with faults, and audit them.")
    commands = parser.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="play seeds, one after the other")
    run.add_argument("--seeds", type=int, default=1, help="so many fresh seeds (default: 1)")
    run.add_argument("--seed", type=int, help="only this seed")
    run.add_argument("--minutes", type=float, help="begin no seed after so long")
    run.add_argument("--seconds", type=float, default=30.0, help="of jobs and faults, each seed")
    run.add_argument("--faults", type=int, default=8, help="in each seed (default: 8)")
    run.add_argument("--kinds", help="of faults: kill_node,links_cut_out,... (default: all)")
    run.add_argument("--rate", type=float, default=5.0, help="jobs a second (default: 5)")
    run.add_argument("--nodes", type=int, default=4)
    run.add_argument("--workers", type=int, default=10)
    run.add_argument(
        "--zones", type=int, default=1, help="of nodes and workers; with two, ways can be cut"
    )
    run.add_argument(
        "--task-seconds",
        type=float,
        nargs=2,
        default=(0.2, 1.5),
        metavar=("LEAST", "MOST"),
        help="lengths of tasks (default: 0.2 1.5)",
    )
    run.add_argument("--hold-ms", type=int, default=6_000, help="longest lease (default: 6000)")
    run.add_argument("--settle", type=float, default=60.0, help="seconds for the last jobs to end")
    run.add_argument(
        "--schedule", type=Path, metavar="FILE", help="play the faults in this file instead"
    )
    run.add_argument(
        "--node-path", default="", metavar="DIR", help="nodes load the product from there"
    )
    run.add_argument("--no-proxy", action="store_true", help="without the proxy and its faults")
    run.add_argument("--keep", help="play only these entries of the schedule: 0,3,...")
    run.add_argument("--out", type=Path, default=Path("run/soak"), help="directory of logs")
    for name in stand_ins.STAND_INS:
        stand_in = commands.add_parser(name, help="a stand-in's process; started by run")
        stand_in.add_argument("--plan", type=Path, required=True)
    arguments = parser.parse_args()
    if arguments.command == "run":
        sys.exit(_run(arguments))
    _serve(arguments)


def _serve(arguments: argparse.Namespace) -> None:
    configure_logging(arguments.command, verbose=arguments.verbose)
    use_boot_clock_timers()
    timers = DueTimers(cast("Any", reactor))
    start = _STARTS[arguments.command]
    core = cast("IReactorCore", reactor)
    core.callWhenRunning(start, load_plan(arguments.plan), timers)
    core.run()


def _run(arguments: argparse.Namespace) -> ExitCode:
    arguments.out.mkdir(parents=True, exist_ok=True)
    with (arguments.out / "run.log").open("a", encoding="utf-8") as log:
        configure_logging("soak", verbose=arguments.verbose, stream=log)
        service = SoakService(arguments)
        runner = ProcessRunner(service)
        service.on_over = runner.stop
        exit_code = runner.run(succeed(None))
    print(service.summary(), flush=True)
    return exit_code if service.is_whole else ExitCode.FAILED


class SoakService(Service):
    """Plays one seed after the other; stopped early, it ends what it started."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        source = random.SystemRandom()
        self._seeds = [source.randrange(HIGHEST_SEED) for _ in range(arguments.seeds)]
        if arguments.seed is not None:
            self._seeds = [arguments.seed]
        self._until = float("inf")
        self._runs: list[SoakRun] = []
        self._present: SoakRun | None = None
        self.is_whole = False
        self.on_over: Any = None

    def startService(self) -> None:
        """Begin with the first seed; called by Twisted."""
        super().startService()
        if self._arguments.minutes is not None:
            self._until = boot_seconds() + self._arguments.minutes * _MINUTE_SECONDS
        self._play_next(None)

    def stopService(self) -> Deferred[Any]:
        """End every process that is left; called by Twisted."""
        super().stopService()
        return succeed(None) if self._present is None else self._present.abort()

    def summary(self) -> str:
        """Return the last line."""
        failed = [str(run.plan.seed) for run in self._runs if run.violations]
        line = (
            f"seeds={len(self._runs)} faults={sum(run.fault_count for run in self._runs)}"
            f" jobs={sum(run.job_count for run in self._runs)}"
            f" violations={sum(len(run.violations) for run in self._runs)}"
        )
        line += "" if self.is_whole else " interrupted=yes"
        return line + (f" failed_seeds={','.join(failed)}" if failed else "")

    def _play_next(self, _none: None) -> None:
        self._present = None
        if not self._seeds or (self._runs and boot_seconds() > self._until):
            self.is_whole = True
            has_failed = any(run.violations for run in self._runs)
            self.on_over(ExitCode.AUDIT_VIOLATION if has_failed else ExitCode.OK)
            return
        lock = NetworkLock(os.getpid() + len(self._runs))
        run = self._make_run(self._seeds.pop(0), lock.network)
        self._present = run
        self._runs.append(run)
        playing = run.play()
        playing.addCallback(lambda _none: lock.release())
        playing.addCallback(self._play_next)
        playing.addErrback(self._handle_failure)

    def _make_run(self, seed: int, network: str) -> SoakRun:
        arguments = self._arguments
        plan = SoakPlan(
            seed=seed,
            network=network,
            nodes=arguments.nodes,
            workers=arguments.workers,
            zones=arguments.zones,
            task_seconds=tuple(arguments.task_seconds),
            maximum_hold_ms=arguments.hold_ms,
            settle_seconds=arguments.settle,
            node_path=arguments.node_path,
            jobs_per_second=arguments.rate,
            fault_seconds=arguments.seconds,
            fault_count=arguments.faults,
            with_proxy=not arguments.no_proxy,
            kinds=tuple(arguments.kinds.split(",")) if arguments.kinds else (),
        )
        faults = draw_schedule(plan)
        if arguments.schedule is not None:
            faults = read_schedule(arguments.schedule)
        if arguments.keep is not None:
            keep = {int(number) for number in arguments.keep.split(",") if number}
            faults = [fault for number, fault in enumerate(faults) if number in keep]
        if not plan.with_zones and any(fault.fault in OF_ZONES for fault in faults):
            raise ValueError("these faults cut ways that only a cell of several zones has")
        directory = arguments.out / f"seed-{seed}-{os.getpid()}"
        directory.mkdir(parents=True)
        run = SoakRun(plan, directory.resolve(), faults, _show)
        for number, fault in enumerate(run.faults):
            _show(f"  {number}: at {fault.at} s {fault.fault.value} for {fault.seconds} s")
        return run

    def _handle_failure(self, failure: Any) -> None:
        logging.error("event=soak_failed error=%s", failure.getTraceback())
        _show(f"the soak failed: {failure.getErrorMessage()}")
        self.on_over(ExitCode.FAILED)


def _show(line: str) -> None:
    print(line, flush=True)


if __name__ == "__main__":
    main()
