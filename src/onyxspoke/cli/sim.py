"""``onyxspoke-sim``: the system in virtual time; explores fault schedules."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from absl import logging

from onyxspoke.cli.common import load_or_exit, make_parser
from onyxspoke.core.codes import ExitCode
from onyxspoke.load.audit import AuditReport, add_counts
from onyxspoke.sim.explore import RunResult, run_schedule, shrink
from onyxspoke.sim.explore_jobs import (
    JobRunReport,
    play,
    play_overload,
    play_returns,
    play_stops,
    play_zones,
)

SHOWN_FINDINGS = 10
DEPLOYMENTS = Path("deploy")


def main() -> None:
    """Run the program."""
    parser = make_parser("onyxspoke-sim", "Run the system on a virtual clock and network.")
    commands = parser.add_subparsers(dest="command", required=True)
    explore = commands.add_parser("explore", help="draw fault schedules and check every promise")
    explore.add_argument("--deployment", default="klimaplan")
    explore.add_argument("--config", type=Path, help="settings file (default: the deployment's)")
    explore.add_argument("--first-seed", type=int, default=1)
    explore.add_argument("--seeds", type=int, default=20)
    jobs = commands.add_parser("explore-jobs", help="the same for jobs of several steps")
    jobs.add_argument("--first-seed", type=int, default=1)
    jobs.add_argument("--seeds", type=int, default=20)
    jobs.add_argument("--crashes", action="store_true", help="some tasks crash their workers")
    jobs.add_argument(
        "--keep-names", action="store_true", help="workers start again under the names they had"
    )
    jobs.add_argument(
        "--overload",
        action="store_true",
        help="most jobs are refused, none is submitted twice, and faults have calls sent again",
    )
    jobs.add_argument(
        "--stops", action="store_true", help="all nodes are stopped as planned, again and again"
    )
    jobs.add_argument(
        "--zones",
        action="store_true",
        help="the holder's zone is cut off while nodes outside it start, come or change",
    )
    jobs.add_argument(
        "--returns",
        action="store_true",
        help="a holder loses the store alone and gets its shard back, while workers are cut off",
    )
    jobs.add_argument("--shards", type=int, default=1, help="shards of the cell (default: 1)")
    jobs.add_argument("--tenants", action="store_true", help="with tenants whose quotas bind")
    arguments = parser.parse_args()
    if arguments.command == "explore-jobs":
        _check_options(parser, arguments)
    logging.set_verbosity(logging.DEBUG if arguments.verbose else logging.FATAL)
    sys.exit(
        _explore_jobs(arguments) if arguments.command == "explore-jobs" else _explore(arguments)
    )


def _check_options(parser: argparse.ArgumentParser, arguments: argparse.Namespace) -> None:
    """Exit with an error if options do not go together."""
    options = [name for name in ("crashes", "keep_names", "tenants") if getattr(arguments, name)]
    modes = [mode for mode in ("overload", "stops", "zones", "returns") if getattr(arguments, mode)]
    if modes == ["zones"]:
        options = [name for name in options if name != "tenants"]
    if modes and options:
        parser.error(f"--{modes[0]} does not go with --{options[0].replace('_', '-')}")
    if len(modes) > 1:
        parser.error(f"--{modes[0]} does not go with --{modes[1]}")


def _explore(arguments: argparse.Namespace) -> ExitCode:
    config = arguments.config or DEPLOYMENTS / arguments.deployment / "cell.yaml"
    settings = load_or_exit(config)
    events = checks = 0
    totals = AuditReport()
    failing: list[RunResult] = []
    for seed in range(arguments.first_seed, arguments.first_seed + arguments.seeds):
        result = run_schedule(settings, seed)
        events += result.events
        add_counts(totals, result.report)
        checks += result.checks
        if result.violations:
            failing.append(result)
            print(f"seed {seed}: {len(result.violations)} violations", flush=True)
    print(f"outcomes: {totals.summary()}")
    if failing:
        _print_smallest(shrink(settings, failing[0]))
    print(
        f"explore {settings.cell}: {arguments.seeds} seeds, {events} events,"
        f" {checks} promises checked, {len(failing)} seeds with violations"
    )
    return ExitCode.AUDIT_VIOLATION if failing else ExitCode.OK


def _explore_jobs(arguments: argparse.Namespace) -> ExitCode:
    events = checks = failing = 0
    for seed in range(arguments.first_seed, arguments.first_seed + arguments.seeds):
        report = _play_jobs(arguments, seed)
        events += report.events
        checks += report.checks
        if not report.findings:
            continue
        failing += 1
        faults = ", ".join(f"{item.fault.value} at {item.at}" for item in report.schedule)
        print(f"seed {seed}: {faults}")
        for finding in report.findings[:SHOWN_FINDINGS]:
            print(f"  -> {finding.at:.2f} {finding.violation.value} {finding.detail}", flush=True)
    print(
        f"explore jobs: {arguments.seeds} seeds, {events} events,"
        f" {checks} promises checked, {failing} seeds with violations"
    )
    return ExitCode.AUDIT_VIOLATION if failing else ExitCode.OK


def _play_jobs(arguments: argparse.Namespace, seed: int) -> JobRunReport:
    if arguments.overload:
        return play_overload(seed, arguments.shards)
    if arguments.stops:
        return play_stops(seed, arguments.shards)
    if arguments.zones:
        return play_zones(seed, arguments.shards, arguments.tenants)
    if arguments.returns:
        return play_returns(seed, arguments.shards)
    return play(
        seed,
        shards=arguments.shards,
        with_tenants=arguments.tenants,
        with_crashes=arguments.crashes,
        keep_names=arguments.keep_names,
    )


def _print_smallest(result: RunResult) -> None:
    print(f"smallest failing schedule, seed {result.seed}:")
    for fault in result.faults:
        print(f"  {fault.describe()}")
    for violation in result.violations[:10]:
        print(f"  -> {violation}")


if __name__ == "__main__":
    main()
