"""The tables of ``onyxspokectl account``."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

from onyxspoke.account.jobs import JobAccount, Outcome
from onyxspoke.account.phases import Phase
from onyxspoke.cli.tables import print_table

#: Seconds of hand-ins that one row of the table by time covers.
WINDOW_SECONDS = 2.0
_LOST = (Outcome.LATE, Outcome.FAILED, Outcome.REFUSED, Outcome.OPEN)


def print_queues(accounts: list[JobAccount]) -> None:
    """Print jobs by queue and outcome, and the late ones' seconds by phase."""
    rows = []
    for queue in sorted({account.queue for account in accounts}):
        chosen = [account for account in accounts if account.queue == queue]
        rows.append(_row({"queue": queue}, chosen))
    rows.append(_row({"queue": "all"}, accounts))
    columns = ["queue", "jobs", *(item.value for item in Outcome)]
    print_table([*columns, *(f"{phase.value}_s" for phase in Phase)], rows)


def print_tenants(accounts: list[JobAccount]) -> None:
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


def print_causes(accounts: list[JobAccount]) -> None:
    """Print late jobs by what cost them most beyond what it should have, by queue and tenant."""
    late = [account for account in accounts if account.outcome is Outcome.LATE]
    if not late:
        return
    print("\nlate jobs by what cost them most beyond what it should have: jobs/seconds of it")
    _print_causes_by("queue", late, _queue_and_share)
    if any(account.tenant for account in late):
        print()
        _print_causes_by("tenant", late, lambda account: account.tenant or "?")


def _print_causes_by(head: str, late: list[JobAccount], key: Callable[[JobAccount], str]) -> None:
    groups: dict[str, list[JobAccount]] = defaultdict(list)
    for account in late:
        groups[key(account)].append(account)
    rows = []
    for name, chosen in sorted(groups.items(), key=lambda item: -len(item[1])):
        over = sum(account.over_seconds for account in chosen)
        row = {head: name, "late": len(chosen), "over_s": over}
        rows.append({**row, **_cells_by_cause(chosen)})
    causes = [phase.value for phase in Phase if any(phase.value in row for row in rows)]
    print_table([head, "late", "over_s", *causes], rows)


def _cells_by_cause(late: list[JobAccount]) -> dict[str, str]:
    counts: Counter[Phase] = Counter()
    seconds: dict[Phase, float] = defaultdict(float)
    for account in late:
        cause = account.worst_phase
        if cause is not None:
            counts[cause] += 1
            seconds[cause] += account.excess[cause]
    return {cause.value: f"{counts[cause]}/{seconds[cause]:.1f}" for cause in counts}


def _queue_and_share(account: JobAccount) -> str:
    return f"{account.queue}{' (beyond share)' if account.is_over_share else ''}"


def print_uses(accounts: list[JobAccount]) -> None:
    """Print what jobs within and beyond their tenants' weights took."""
    groups: dict[str, list[JobAccount]] = defaultdict(list)
    for account in accounts:
        groups[_queue_and_share(account)].append(account)
    rows = [
        {
            "queue": name,
            "jobs": len(chosen),
            "done": sum(account.outcome in (Outcome.MET, Outcome.LATE) for account in chosen),
            "starts": sum(account.starts for account in chosen),
            "advice_answers": sum(account.advice_answers for account in chosen),
            "run_s": sum(account.run_seconds for account in chosen),
            "refusals": sum(account.refusals for account in chosen),
            "refused_twice": sum(account.refusals > 1 for account in chosen),
        }
        for name, chosen in sorted(groups.items())
    ]
    print("\nwhat they took")
    print_table(list(rows[0]), rows)


def _row(head: dict[str, Any], accounts: list[JobAccount]) -> dict[str, Any]:
    """Return counts by outcome, and the seconds by phase of the late jobs."""
    outcomes = Counter(account.outcome for account in accounts)
    row = {**head, "jobs": len(accounts)}
    row.update({outcome.value: outcomes[outcome] for outcome in Outcome})
    late = [account for account in accounts if account.outcome is Outcome.LATE]
    for phase in Phase:
        row[f"{phase.value}_s"] = sum(account.phases.get(phase, 0.0) for account in late)
    return row


def print_windows(accounts: list[JobAccount]) -> None:
    """Print by the second of the hand-in how many jobs missed their objective, and by what."""
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
    columns = ["second", "jobs", "late", "failed", "refused", "open", "cut_off", "late by"]
    print_table(columns, rows)


def print_worst(accounts: list[JobAccount], count: int) -> None:
    """Print the jobs that were furthest over their objective."""
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
            "late_by": account.worst_phase.value if account.worst_phase is not None else None,
            **{f"{phase.value}_s": account.phases.get(phase, 0.0) for phase in Phase},
        }
        for account in late[:count]
    ]
    columns = ["job", "queue", "second", "took_s", "objective_s", "late_by"]
    print_table([*columns, *(f"{phase.value}_s" for phase in Phase)], rows)
