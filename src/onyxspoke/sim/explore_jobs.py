"""Plays fault schedules over jobs in virtual time and checks what must always hold."""

from __future__ import annotations

from dataclasses import dataclass

from onyxspoke.core.jobs.model import ResourceVector
from onyxspoke.core.shard.load_options import LoadOptions
from onyxspoke.core.tenants.policy import TenantPolicy
from onyxspoke.kit.jobs.audit import Finding
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.job_callers import (
    CANCEL_SECONDS,
    CANCEL_SHARE,
    MAXIMUM_ATTEMPTS,
    REPEAT_SHARE,
    JobCallers,
)
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster
from onyxspoke.sim.job_faults import (
    FaultInjector,
    ScheduledFault,
    draw_overload_schedule,
    draw_return_schedule,
    draw_schedule,
    draw_stop_schedule,
    draw_zone_schedule,
)
from onyxspoke.sim.liveness import LivenessWatch

SETTLE_SECONDS = 2.0
TRAFFIC_SECONDS = 14.0
FINISH_SECONDS = 25.0
JOBS_PER_SECOND = 4.0
#: More than the cell serves.
TOO_MANY_A_SECOND = 24.0
MAXIMUM_FAULTS = 4
#: What a fault sets off may last so much longer than the fault: restarts, late orders.
FAULT_TAIL_SECONDS = 4.0
#: Of the jobs of a cell with crashes; each takes down two to four of 8 workers for 3 s.
CRASHING_SHARE = 0.05
#: In a cluster of several shards.
WORKERS_A_SHARD = 3


@dataclass(frozen=True, slots=True)
class Traffic:
    """What callers do in a run.

    Each job is handed in up to so many times until it is accepted, and again later with
    ``repeat_share``; ``cancel_share`` of the jobs are cancelled within ``cancel_seconds``.
    """

    jobs_per_second: float
    seconds: float = TRAFFIC_SECONDS
    maximum_attempts: int = MAXIMUM_ATTEMPTS
    repeat_share: float = REPEAT_SHARE
    cancel_share: float = CANCEL_SHARE
    cancel_seconds: float = CANCEL_SECONDS


#: Many more jobs than the cell serves; each is handed in once, so that each refusal is the last.
OVERLOAD = Traffic(jobs_per_second=40.0, seconds=8.0, maximum_attempts=1, repeat_share=0.0)
OVERLOAD_FAULTS = 10
#: Enough calls that some are open whenever a process ends.
STEADY = Traffic(jobs_per_second=20.0)
#: Beside planned stops or cuts of zones: none in most runs.
MAXIMUM_FAULTS_BESIDE = 3
#: Over two cuts of zones, with tasks that outlast the leases of a holder that is cut off.
CUT_TRAFFIC = Traffic(jobs_per_second=2.0, seconds=48.0)
#: The same with tenants: most jobs are cancelled, many of them while their workers are cut off.
CUT_TENANTS_TRAFFIC = Traffic(
    jobs_per_second=2.0, seconds=48.0, cancel_share=0.7, cancel_seconds=16.0
)
LONG_SHARE = 0.3
LONG_SECONDS = 14.0
#: Over two rounds in which holders get their shards back.
RETURN_TRAFFIC = Traffic(jobs_per_second=1.0, seconds=60.0)
#: Tasks there, in seconds: some outlast the leases, others end while their workers are cut off.
RETURN_TASK_SECONDS = (5.0, 12.0)
RETURN_HOLD_MS = 10_000


@dataclass(slots=True)
class JobRunReport:
    """What one schedule showed."""

    seed: int
    schedule: list[ScheduledFault]
    findings: list[Finding]
    counts: dict[str, int]
    checks: int
    events: int


def play(
    seed: int,
    schedule: list[ScheduledFault] | None = None,
    shards: int = 1,
    with_tenants: bool = False,
    with_crashes: bool = False,
    keep_names: bool = False,
    with_admission: bool = False,
    traffic: Traffic | None = None,
    long_share: float = 0.0,
    finish_seconds: float = FINISH_SECONDS,
    task_seconds: tuple[float, float] | None = None,
    maximum_hold_ms: int | None = None,
) -> JobRunReport:
    """Play one schedule; by default the one that the seed draws.

    ``with_crashes``: some tasks crash their workers, whose rooms and entries change, too.
    ``keep_names``: workers start again under the names that they had.  ``with_admission``: more
    jobs come than are served, and holders decide which they take.  ``traffic``: other than usual.
    ``long_share`` of the tasks take ``LONG_SECONDS``.  The jobs have ``finish_seconds`` after the
    last one came.  ``task_seconds``: how long tasks take at least and at most; ``maximum_hold_ms``:
    the longest lease; both other than usual.
    """
    if schedule is None:
        count = 1 + seed % MAXIMUM_FAULTS
        schedule = draw_schedule(
            seed, TRAFFIC_SECONDS, count, with_tenants, with_crashes, with_restarts=keep_names
        )
    work = WorkOptions(
        seed=seed, failing_share=0.02, long_share=long_share, long_seconds=LONG_SECONDS
    )
    if task_seconds is not None:
        work.shortest_seconds, work.longest_seconds = task_seconds
    options = make_options(seed, work, shards)
    if maximum_hold_ms is not None:
        options.maximum_hold_ms = maximum_hold_ms
    options.keep_names = keep_names
    options.load = LoadOptions(admission=with_admission)
    if with_tenants:
        options.tenants = make_tenants()
    cluster = JobCluster(options)
    cluster.start()
    cluster.run(SETTLE_SECONDS)
    if traffic is None:
        traffic = Traffic(TOO_MANY_A_SECOND if with_admission else JOBS_PER_SECOND)
    callers = JobCallers(
        cluster,
        traffic.jobs_per_second,
        repeat_share=traffic.repeat_share,
        maximum_attempts=traffic.maximum_attempts,
        cancel_share=traffic.cancel_share,
        cancel_seconds=traffic.cancel_seconds,
    )
    callers.crashing_share = CRASHING_SHARE if with_crashes else 0.0
    callers.run_for(traffic.seconds)
    FaultInjector(cluster, seed).schedule(schedule)
    if shards == 1 and not with_tenants and not with_admission:
        ends = [SETTLE_SECONDS + fault.at + fault.seconds for fault in schedule]
        LivenessWatch(cluster, max(ends, default=0.0) + FAULT_TAIL_SECONDS).start()
    cluster.run(traffic.seconds + finish_seconds)
    callers.check_all()
    audit = cluster.audit
    return JobRunReport(
        seed, schedule, audit.findings, dict(audit.counts), audit.checks, cluster.time.events
    )


def play_overload(seed: int, shards: int = 1) -> JobRunReport:
    """Play a cell that refuses most jobs, under many short faults that have calls sent again."""
    schedule = draw_overload_schedule(seed, OVERLOAD.seconds, OVERLOAD_FAULTS)
    return play(seed, schedule, shards, with_admission=True, traffic=OVERLOAD)


def play_stops(seed: int, shards: int = 1) -> JobRunReport:
    """Play a cell whose nodes are all stopped, again and again, within the grace of the first."""
    schedule = draw_stop_schedule(seed, STEADY.seconds, _count_beside(seed))
    return play(seed, schedule, shards, traffic=STEADY)


def play_zones(seed: int, shards: int = 1, with_tenants: bool = False) -> JobRunReport:
    """Play a cell whose holder's zone is cut off, while nodes outside start, come or change."""
    schedule = draw_zone_schedule(seed, CUT_TRAFFIC.seconds, _count_beside(seed))
    return play(
        seed,
        schedule,
        shards,
        with_tenants=with_tenants,
        traffic=CUT_TENANTS_TRAFFIC if with_tenants else CUT_TRAFFIC,
        long_share=LONG_SHARE,
        finish_seconds=60.0,
    )


def play_returns(seed: int, shards: int = 1) -> JobRunReport:
    """Play a cell whose holder loses the store alone and gets its shard back, with long leases."""
    schedule = draw_return_schedule(seed, RETURN_TRAFFIC.seconds, _count_beside(seed))
    return play(
        seed,
        schedule,
        shards,
        traffic=RETURN_TRAFFIC,
        finish_seconds=60.0,
        task_seconds=RETURN_TASK_SECONDS,
        maximum_hold_ms=RETURN_HOLD_MS,
    )


def _count_beside(seed: int) -> int:
    """Return how many other faults there are beside those that a run is about."""
    return max(0, seed % (2 * MAXIMUM_FAULTS_BESIDE) - MAXIMUM_FAULTS_BESIDE + 1)


def make_tenants() -> tuple[TenantPolicy, ...]:
    """Return three tenants whose quotas bind: the smallest has room for little more than a gang.

    They are no larger in a cell of several shards: an equal part for each would be too small.
    """
    return tuple(
        TenantPolicy(name=name, weight=weight, quota=ResourceVector(processors, 48_000, 0))
        for name, weight, processors in (
            ("large", 3.0, 60_000),
            ("middle", 2.0, 40_000),
            ("small", 1.0, 30_000),
        )
    )


def make_options(seed: int, work: WorkOptions, shards: int) -> ClusterOptions:
    """Return the options of a cluster with so many shards."""
    options = ClusterOptions(seed=seed, with_advice=seed % 3 != 0, work=work)
    if shards > 1:
        # Every shard gets a rack, whose workers are alike.
        options.workers = shards * WORKERS_A_SHARD
        options.workers_per_shard = options.rack_size = WORKERS_A_SHARD
        options.kinds = "a"
        options.always_good = ("w",)
    return options
