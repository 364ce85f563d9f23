"""The capacity page: the target size worked out from measured slopes.

Every figure on the page is computed here from the measurements in ``docs/capacity.json``;
a test writes the page again and compares.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from onyxspoke.scale.slopes import Slope

TARGET_WORKERS = 15_000
TARGET_ACCELERATORS = 23_000
TARGET_STARTS_PER_SECOND = 990
TARGET_RUNNING_TASKS = 72_000
TARGET_JOBS_A_DAY = 75_000
TARGET_CHANGES_A_DAY = 40_000
TARGET_ZONES = 7
TARGET_TENANTS = 69
BUDGET_CPU_PERCENT = 2.6
BUDGET_MEMORY_MB = 128
BUDGET_KILOBYTES_PER_SECOND = 5.0
LOG_APPENDS_PER_SECOND = 100
WORKERS_AN_ENTRY = 100
JOB_RETENTION_SECONDS = 3_600
KEY_SHARE_OF_STARTS = 0.5
REMEMBERED_KEYS = 20_000
ENDED_JOBS_REMEMBERED = 5_000
SETTINGS_IN_TREE = 20_000
RENEWAL_AT_TARGET_SECONDS = 3.0
COMBINED_APPENDS_PER_ZONE = 2.0
_SECONDS_A_DAY = 86_400
_KILOBYTE = 1_000.0
_KIB_A_MB = 976.5625


class CapacityData(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a scale run measured."""

    slopes: list[Slope]
    takeover_seconds: float
    takeover_workers: int
    largest_entries: int
    largest_workers: int

    def slope(self, name: str) -> Slope:
        """Return a slope by its name."""
        return next(slope for slope in self.slopes if slope.name == name)


class Verdict(msgspec.Struct, frozen=True):
    """One cost at the target against its budget."""

    cost: str
    value: float
    unit: str
    budget: float

    def row(self) -> str:
        """Return a table row."""
        fits = "fits" if self.value <= self.budget else "**does not fit**"
        return f"| {self.cost} | {self.value:.2f} {self.unit} | {self.budget:g} | {fits} |"


def entries_at_target() -> int:
    """Return how many entries the target needs at the chosen workers an entry."""
    return TARGET_WORKERS // WORKERS_AN_ENTRY


def entries_a_zone() -> int:
    """Return how many entries one zone has."""
    return -(-entries_at_target() // TARGET_ZONES)


def starts_an_entry() -> float:
    """Return the peak of task starts at one entry."""
    return TARGET_STARTS_PER_SECOND / entries_at_target()


def cpu_percent(data: CapacityData, peers: int) -> float:
    """Return the processor time of an entry that shares streams with so many entries."""
    idle = data.slope("idle CPU by entries").at(peers)
    workers = data.slope("idle CPU by owned workers").per_unit * WORKERS_AN_ENTRY
    return idle + max(0.0, workers)


def traffic(data: CapacityData, peers: int) -> float:
    """Return the control traffic, in KB/s, of an entry that shares streams with so many."""
    return data.slope("control traffic by entries").at(peers)


def memory_mb(data: CapacityData) -> float:
    """Return the memory of an entry at the target."""
    base = data.slope("resident memory by owned workers").at(WORKERS_AN_ENTRY)
    return base + sum(kib for _, _, kib in state_rows(data)) / _KIB_A_MB


def state_rows(data: CapacityData) -> list[tuple[str, int, float]]:
    """Return kind, count and KiB of each kind of state in one entry at the target."""
    counts = {
        "listed worker": TARGET_WORKERS // TARGET_ZONES,
        "running task": TARGET_RUNNING_TASKS // entries_at_target(),
        "queued request": 2_000,
        "remembered key": REMEMBERED_KEYS,
        "ended job": ENDED_JOBS_REMEMBERED,
        "setting": SETTINGS_IN_TREE,
        "member": entries_at_target(),
    }
    return [
        (kind, count, data.slope(f"memory by {kind}s").per_unit * count)
        for kind, count in counts.items()
    ]


def write_page(data: CapacityData, path: Path) -> None:
    """Write the page."""
    path.write_text(render_page(data), encoding="utf-8")


def render_page(data: CapacityData) -> str:
    """Return the page."""
    sections = [
        _head(),
        _slope_table(data),
        _entry_section(data),
        _state_section(data),
        _log_section(data),
        _message_section(),
        _worst_minute_section(data),
        _decision_section(data),
        _gap_section(data),
    ]
    return "\n\n".join(sections) + "\n"


def _head() -> str:
    return f"""# Capacity at the target size

Written by `make scale` from `docs/capacity.json`; do not edit. The target: {TARGET_WORKERS:,}
workers with {TARGET_ACCELERATORS:,} accelerators, {TARGET_JOBS_A_DAY:,} jobs a day,
{TARGET_STARTS_PER_SECOND} task starts a second at the peak, {TARGET_RUNNING_TASKS:,} running
tasks, {TARGET_TENANTS} tenants, 3 regions, {TARGET_ZONES} zones, {TARGET_CHANGES_A_DAY:,}
settings changes a day. Control may cost a node {BUDGET_CPU_PERCENT}% of a core,
{BUDGET_MEMORY_MB} MB and {BUDGET_KILOBYTES_PER_SECOND:g} KB/s; nothing of ours runs on workers,
so a node is an entry machine, and control is what it does while no caller asks anything.

At {WORKERS_AN_ENTRY} workers an entry this is {entries_at_target()} entries,
{entries_a_zone()} a zone, {starts_an_entry():.1f} task starts a second each at the peak."""


def _slope_table(data: CapacityData) -> str:
    rows = [
        f"| {slope.name} | {slope.per_unit:.4g} {slope.unit} per {slope.size_name} "
        f"| {slope.fixed:.4g} {slope.unit} | {slope.r_squared:.3f} "
        f"| {max(point.size for point in slope.points):g} |"
        for slope in data.slopes
    ]
    return (
        "## Measured slopes\n\n"
        f"Real processes on one machine, up to {data.largest_entries} entries in one zone and "
        f"{data.largest_workers} workers; state and single steps in a process of their own.\n\n"
        "| what | slope | fixed part | r2 | largest size measured |\n|---|---|---|---|---|\n"
        + "\n".join(rows)
        + "\n\n![measured points and their lines](capacity.png)"
    )


def _entry_section(data: CapacityData) -> str:
    everyone, zone = entries_at_target(), entries_a_zone()
    verdicts = [
        Verdict(
            "idle CPU, streams with every entry",
            cpu_percent(data, everyone),
            "% of a core",
            BUDGET_CPU_PERCENT,
        ),
        Verdict(
            "idle CPU, streams within the zone",
            cpu_percent(data, zone),
            "% of a core",
            BUDGET_CPU_PERCENT,
        ),
        Verdict(
            "traffic, streams with every entry",
            traffic(data, everyone),
            "KB/s",
            BUDGET_KILOBYTES_PER_SECOND,
        ),
        Verdict(
            "traffic, streams within the zone",
            traffic(data, zone),
            "KB/s",
            BUDGET_KILOBYTES_PER_SECOND,
        ),
        Verdict("memory", memory_mb(data), "MB", BUDGET_MEMORY_MB),
    ]
    starts = data.slope("CPU by task starts").per_unit
    rows = "\n".join(verdict.row() for verdict in verdicts)
    return (
        "## Role: entry\n\n| control cost of one entry | value | budget | |\n|---|---|---|---|\n"
        f"{rows}\n\nOn top of control, serving costs {starts:.4f}% of a core for each start a "
        f"second: {starts * starts_an_entry():.2f}% of a core for the "
        f"{starts_an_entry():.1f} starts a second of one entry at the peak, and "
        f"{starts * TARGET_STARTS_PER_SECOND / 100:.2f} cores for the whole cell. The users' "
        f"budget is for control; both together come to "
        f"{cpu_percent(data, zone) + starts * starts_an_entry():.2f}%."
    )


def _state_section(data: CapacityData) -> str:
    rows = "\n".join(
        f"| {kind} | {count:,} | {kib / _KIB_A_MB:.2f} MB |"
        for kind, count, kib in state_rows(data)
    )
    return (
        "## State in one entry at the target\n\n| state | count | memory |\n|---|---|---|\n"
        f"{rows}\n\nEach is bounded: the queue in count and bytes, remembered keys and ended "
        "jobs in count. Past a bound the oldest ended one is forgotten; a key or job that is "
        "forgotten is answered `NO_SUCH_JOB`, or its key counts as new."
    )


def _log_section(data: CapacityData) -> str:
    per_entry = data.slope("appended batches by entries").per_unit
    everyone = entries_at_target()
    at_target = everyone / RENEWAL_AT_TARGET_SECONDS
    combined = COMBINED_APPENDS_PER_ZONE * TARGET_ZONES
    keys = TARGET_STARTS_PER_SECOND * KEY_SHARE_OF_STARTS
    key_bytes = data.slope("bytes of one batch").per_unit
    batch_bytes = data.slope("bytes of one batch").fixed
    verdicts = [
        Verdict("renewals as measured (1 s)", per_entry * everyone, "/s", LOG_APPENDS_PER_SECOND),
        Verdict("renewals each 3 s", at_target, "/s", LOG_APPENDS_PER_SECOND),
        Verdict("combined in each zone, 2/s", combined, "/s", LOG_APPENDS_PER_SECOND),
    ]
    rows = "\n".join(verdict.row() for verdict in verdicts)
    read = (
        entries_a_zone() / RENEWAL_AT_TARGET_SECONDS * batch_bytes + keys / TARGET_ZONES * key_bytes
    ) / _KILOBYTE
    settings = TARGET_CHANGES_A_DAY / _SECONDS_A_DAY
    return (
        "## The log\n\n| appends a second | value | the log takes | |\n|---|---|---|---|\n"
        f"{rows}\n\nReads: if a key intent ({key_bytes:.0f} bytes) is recorded for half of all "
        f"starts and each entry tails only its zone's share, an entry reads {read:.2f} KB/s "
        f"of renewals and intents at the peak; if every entry tails everything, "
        f"{(read * TARGET_ZONES):.2f} KB/s. Settings are {settings:.2f} changes a second, "
        f"{settings * 300 / _KILOBYTE:.2f} KB/s at 300 bytes each, read by every entry."
    )


def _message_section() -> str:
    starts = starts_an_entry()
    jobs = TARGET_JOBS_A_DAY / _SECONDS_A_DAY
    changes = TARGET_CHANGES_A_DAY / _SECONDS_A_DAY
    return f"""## Messages and the mechanism that carries each

| what | how often at the target | mechanism |
|---|---|---|
| lease renewal | one batch an entry each 3 s | log, cell stream; any batch renews |
| claims and releases | only when members or machines change | log, one record for many workers |
| key intents | with the batch, before dispatch | log, group commit |
| job accepted, ended | {jobs:.2f} jobs/s in the cell | log, group commit |
| settings changes | {changes:.2f}/s in the cell | log, settings stream |
| machine list | on change | platform stream |
| start, end of a task | {starts:.1f}/s an entry at the peak | worker stream, one each way |
| inventory | once an attachment | worker stream |
| free capacity | on change, at most 5/s, at least 1/s | peer streams |
| forwarded request | when an entry has no room | peer stream |
| promises while the log is away | one a second to each zone peer | peer streams |"""


def _worst_minute_section(data: CapacityData) -> str:
    zone_workers = TARGET_WORKERS // TARGET_ZONES
    claim = data.slope("bytes of one claim batch")
    claim_kb = claim.at(WORKERS_AN_ENTRY) / _KILOBYTE
    zone_tasks = TARGET_RUNNING_TASKS // TARGET_ZONES
    batch_tasks = zone_tasks * 4 // 5
    lapse = 6.0
    return f"""## The worst minute

**One entry dies.** Its {WORKERS_AN_ENTRY} workers are claimed by the others of its zone, each in
one record of up to {claim_kb:.1f} KB. Measured: {data.takeover_workers} workers at the one entry
left, all attached again {data.takeover_seconds:.1f} s after the others were killed, of which
{lapse:.0f} s at the most are the lapse of the lease (counted from the last renewal).

**A zone is lost.** {zone_workers:,} workers and about {zone_tasks:,} running tasks go, some
{batch_tasks:,} of them batch. Nothing has to be claimed: no other zone may own its workers.
Its jobs wait in the log for entries of the zone. Adoption by the region's other zones is not
built; at {_adoption_records_per_append():.0f} job records an append and one append a second and
zone it would take {batch_tasks / _adoption_records_per_append():.0f} s of appends. Callers that
come to the other zones' entries meet the queue bound and `Retry-After`, not a retry storm.

**The zone returns.** {entries_a_zone()} entries claim {zone_workers:,} workers in
{entries_a_zone()} appends of {claim_kb:.1f} KB; epochs only grow and settings revisions are log
offsets, so nothing that returns can revert anything."""


def _adoption_records_per_append() -> float:
    return 256.0


def _decision_section(data: CapacityData) -> str:
    placement = data.slope("CPU of one placement")
    everyone, zone = entries_at_target(), entries_a_zone()
    per_entry = data.slope("appended batches by entries").per_unit
    return f"""## What decides the design at this size

The starting design is `../shared/design.md` of the founders; these slopes confirm or change it.

1. **Streams between all entries do not scale; within a zone they do.** Traffic grows by
   {data.slope("control traffic by entries").per_unit:.3f} KB/s with each entry whose batches and
   advertisements one reads: {traffic(data, everyone):.1f} KB/s with {everyone} entries,
   {traffic(data, zone):.1f} KB/s with the {zone} of a zone. Today's 7 entries keep the full
   mesh; the target needs the cell stream split by zone and advertisements within the zone
   and to a few entries of others.
2. **Appends must grow with zones, not with entries.** {per_entry:.2f} batches a second an entry is
   {per_entry * everyone:.0f}/s at {everyone}; renewals each 3 s bring {everyone / 3:.0f}/s, which
   fits but leaves little for intents and jobs. The combiner of the design stays needed.
3. **A placement does not grow with the workers.** A scan cost 0.81 us a worker: 81 us over
   {WORKERS_AN_ENTRY}, 12 ms over all {TARGET_WORKERS:,}. From the index of free capacity, choosing,
   reserving and releasing together cost {placement.at(WORKERS_AN_ENTRY):.0f} us over
   {WORKERS_AN_ENTRY} workers.
4. **Ownership is planned from memory of preferences.** Hashing every worker for every plan cost
   11.5 us per listed worker and plan before; it is now
   {data.slope("CPU of one ownership plan among 21 entries").per_unit:.2f} us.
5. **Memory is no constraint**: {memory_mb(data):.0f} MB of {BUDGET_MEMORY_MB}, most of it the
   interpreter and its libraries."""


def _gap_section(data: CapacityData) -> str:
    return f"""## What does not fit yet, and what was not measured

- The cell stream is one stream that every entry tails, and every entry keeps streams to all
  others: at {entries_at_target()} entries that is {traffic(data, entries_at_target()):.1f} KB/s.
- No combiner: every entry appends for itself.
- Usage reports of workers do not exist yet; their traffic and processor time will come on top.
- The size of a snapshot of the fold at this size, and its parts in the log, were not measured.
- Jobs of a lost zone are not adopted by other zones.
- The settings tree was measured for its memory only; in force within 11 s at this size was not
  run. Quotas of {TARGET_TENANTS} tenants are not built.
- Slopes are straight lines beyond the sizes that were measured; the largest are in the table."""
