"""``onyxspokectl account``: where the time of jobs went, from the logs of all nodes."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from onyxspoke.account.jobs import JobAccount, Outcome, account_for
from onyxspoke.account.phases import Phase
from onyxspoke.account.trails import Trails, read_trails
from onyxspoke.cli.account_tables import (
    WINDOW_SECONDS,
    print_causes,
    print_queues,
    print_tenants,
    print_uses,
    print_windows,
    print_worst,
)
from onyxspoke.cli.api_client import ApiClient
from onyxspoke.core.codes import ExitCode

#: A line of progress on standard error for so many log lines.
PROGRESS_LINES = 200_000
WORST_JOBS = 15


def add_account_command(commands: Any) -> None:
    """Add the command to a parser."""
    account = commands.add_parser("account", help="where the time of jobs went, from nodes' logs")
    account.add_argument("files", nargs="+", type=Path, metavar="LOG")
    account.add_argument("--worst", type=int, default=WORST_JOBS, help="jobs listed one by one")
    account.add_argument("--plot", type=Path, metavar="FILE.png", help="needs the plot extra")
    account.set_defaults(run=_account)


def _account(_client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    try:
        trails = read_trails(_lines(arguments.files))
    except OSError as error:
        print(f"account: {error}", file=sys.stderr)
        return ExitCode.USAGE
    accounts = account_for(trails)
    _print_lacks(trails)
    if not accounts:
        print("account: no job in these logs", file=sys.stderr)
        return ExitCode.FAILED
    print_queues(accounts)
    print_tenants(accounts)
    print_causes(accounts)
    print_uses(accounts)
    print_windows(accounts)
    print_worst(accounts, arguments.worst)
    if arguments.plot is not None:
        plot_accounts(accounts, arguments.plot)
    return ExitCode.OK


def _print_lacks(trails: Trails) -> None:
    if trails.unreadable:
        print(f"account: {trails.unreadable} lines break off", file=sys.stderr)
    if trails.dropped:
        print(f"account: {trails.dropped} lines were left out by their nodes", file=sys.stderr)


def _lines(files: Iterable[Path]) -> Iterator[str]:
    count = 0
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                count += 1
                if count % PROGRESS_LINES == 0:
                    print(f"account: {count} lines read", file=sys.stderr)
                yield line


def plot_accounts(accounts: list[JobAccount], path: Path) -> None:
    """Write the jobs by outcome over time, and the late jobs' seconds by phase, as one PNG."""
    import matplotlib  # noqa: PLC0415  (an optional extra)

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    first = min(account.taken_at for account in accounts)
    figure, (above, below) = pyplot.subplots(2, 1, figsize=(11, 7))
    groups = [
        [account.taken_at - first for account in accounts if account.outcome is outcome]
        for outcome in Outcome
    ]
    last = max(account.taken_at for account in accounts) - first
    above.hist(groups, bins=max(1, int(last / WINDOW_SECONDS) + 1), stacked=True)
    above.legend([outcome.value for outcome in Outcome])
    above.set_xlabel("handed in, s")
    above.set_ylabel("jobs")
    late = [account for account in accounts if account.outcome is Outcome.LATE]
    costs = [sum(account.phases.get(phase, 0.0) for account in late) for phase in Phase]
    below.bar([phase.value for phase in Phase], costs)
    below.set_ylabel("seconds of late jobs")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
