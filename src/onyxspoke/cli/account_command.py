"""``onyxspokectl account``: where the time of jobs went, from the logs of all nodes."""

from __future__ import annotations

import argparse
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from onyxspoke.account.phases import JobAccount, Outcome, Phase, account_for
from onyxspoke.account.trails import read_trails
from onyxspoke.cli.api_client import ApiClient
from onyxspoke.cli.tables import print_table
from onyxspoke.core.codes import ExitCode

#: A line of progress on standard error for so many log lines.
PROGRESS_LINES = 200_000
#: Seconds of hand-ins that one row of the table by time covers.
WINDOW_SECONDS = 2.0
WORST_JOBS = 15
_LOST = (Outcome.LATE, Outcome.FAILED, Outcome.REFUSED, Outcome.OPEN)


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
    if trails.unreadable:
        print(f"account: {trails.unreadable} lines break off", file=sys.stderr)
    if not accounts:
        print("account: no job in these logs", file=sys.stderr)
        return ExitCode.FAILED
    _print_queues(accounts)
    _print_tenants(accounts)
    _print_windows(accounts)
    _print_worst(accounts, arguments.worst)
    if arguments.plot is not None:
        plot_accounts(accounts, arguments.plot)
    return ExitCode.OK


def _lines(files: Iterable[Path]) -> Iterator[str]:
    count = 0
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                count += 1
                if count % PROGRESS_LINES == 0:
                    print(f"account: {count} lines read", file=sys.stderr)
                yield line


def _print_queues(accounts: list[JobAccount]) -> None:
    rows = []
    for queue in sorted({account.queue for account in accounts}):
        chosen = [account for account in accounts if account.queue == queue]
        rows.append(_row({"queue": queue}, chosen))
    rows.append(_row({"queue": "all"}, accounts))
    columns = ["queue", "jobs", *(item.value for item in Outcome)]
    print_table([*columns, *(f"{phase.value}_s" for phase in Phase)], rows)


def _print_tenants(accounts: list[JobAccount]) -> None:
    """Print the same by tenant, those with most late jobs first, if the logs name any."""
    tenants = {account.tenant for account in accounts if account.tenant}
    if not tenants:
        return
    rows = [
        _row({"tenant": name}, [account for account in accounts if account.tenant == name])
        for name in sorted(tenants)
    ]
    rows.sort(key=lambda row: -row[Outcome.LATE.value])
    print()
    columns = ["tenant", "jobs", *(item.value for item in Outcome)]
    print_table([*columns, *(f"{phase.value}_s" for phase in Phase)], rows)


def _row(head: dict[str, Any], accounts: list[JobAccount]) -> dict[str, Any]:
    """Return counts by outcome, and the seconds by phase of the late jobs."""
    outcomes = Counter(account.outcome for account in accounts)
    row = {**head, "jobs": len(accounts)}
    row.update({outcome.value: outcomes[outcome] for outcome in Outcome})
    late = [account for account in accounts if account.outcome is Outcome.LATE]
    for phase in Phase:
        row[f"{phase.value}_s"] = sum(account.phases.get(phase, 0.0) for account in late)
    return row


def _print_windows(accounts: list[JobAccount]) -> None:
    print("\njobs that missed their objective, by the second at which they were handed in")
    first = min(account.taken_at for account in accounts)
    windows: dict[int, list[JobAccount]] = defaultdict(list)
    for account in accounts:
        windows[int((account.taken_at - first) / WINDOW_SECONDS)].append(account)
    rows = []
    for number, chosen in sorted(windows.items()):
        if any(account.outcome in _LOST for account in chosen):
            phases = Counter(
                account.worst_phase.value
                for account in chosen
                if account.outcome is Outcome.LATE and account.worst_phase is not None
            )
            row = _row({"second": f"{number * WINDOW_SECONDS:.0f}"}, chosen)
            rows.append({**row, "late by": dict(phases.most_common())})
    columns = ["second", "jobs", "late", "failed", "refused", "open", "late by"]
    print_table(columns, rows)


def _print_worst(accounts: list[JobAccount], count: int) -> None:
    print("\nthe worst jobs, by how far over their objective they were")
    first = min(account.taken_at for account in accounts)
    late = [account for account in accounts if account.outcome is Outcome.LATE]
    late.sort(key=lambda account: account.objective_seconds - account.seconds)
    rows = [
        {
            "job": account.job_id,
            "queue": account.queue,
            "second": account.taken_at - first,
            "took_s": account.seconds,
            "objective_s": account.objective_seconds,
            **{f"{phase.value}_s": account.phases.get(phase, 0.0) for phase in Phase},
        }
        for account in late[:count]
    ]
    columns = ["job", "queue", "second", "took_s", "objective_s"]
    print_table([*columns, *(f"{phase.value}_s" for phase in Phase)], rows)


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
