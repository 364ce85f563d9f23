"""Steps that play callers' load on holders that decide about admission, in virtual time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when

from onyxspoke.core.admission.summary import AdmissionSummary
from onyxspoke.core.estimates.durations import Durations
from onyxspoke.core.estimates.expected import Expected
from onyxspoke.core.jobs.model import JobSpec, StepSpec
from onyxspoke.core.jobs.states import RunEnd
from onyxspoke.core.placement.queue_order import EXPIRY_FACTOR
from onyxspoke.core.shard import admission_desk
from onyxspoke.core.shard.calls import CallReply, ReplyCode, SubmitCall
from onyxspoke.core.shard.context import ShardContext
from onyxspoke.core.shard.load_options import LoadOptions
from onyxspoke.core.shard.worker_register import WorkerRegister
from onyxspoke.core.tenants.policy import TenantPolicy
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.sim.explore_jobs import play
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster, make_configuration

SETTLE_SECONDS = 3.0
#: Every task takes a second of 4 of the 16 processors that a worker has.
WORK_SECONDS = 1.0
PROCESSORS_MILLI = 4_000
TASKS_A_WORKER = 4
#: By the queues of the simulated cell: 2 times the work and half a second.
OBJECTIVE_SECONDS = 2.5
UNANSWERED_PAUSE_SECONDS = 0.4
#: After the last hand-in, until everybody was served or has given up.
REST_SECONDS = 16.0
WITH, WITHOUT = "with admission", "without"


@dataclass(slots=True)
class Caller:
    """One caller: its job, and what became of it."""

    spec: JobSpec
    first_at: float
    accepted_at: float | None = None
    done_at: float | None = None
    refusals: list[tuple[float, float, str]] = field(default_factory=list)

    @property
    def is_on_time(self) -> bool:
        return self.done_at is not None and self.done_at - self.first_at <= OBJECTIVE_SECONDS

    @property
    def is_of_use(self) -> bool:
        bound = EXPIRY_FACTOR * OBJECTIVE_SECONDS
        return self.done_at is not None and self.done_at - self.first_at <= bound


class Arrivals:
    """Callers who hand jobs in, come back when they are told to, and give up in the end."""

    def __init__(self, cluster: JobCluster) -> None:
        self.cluster = cluster
        self.callers: dict[str, Caller] = {}
        self._left: Counter[str] = Counter()
        handle_ended = cluster.audit.handle_ended

        def note_ended(worker: Any, run: Any, end: RunEnd) -> None:
            handle_ended(worker, run, end)
            if end is RunEnd.DONE:
                self._note_done(run.task.job_id)

        cluster.audit.handle_ended = note_ended

    def _note_done(self, job_id: str) -> None:
        self._left[job_id] -= 1
        if self._left[job_id] == 0 and job_id in self.callers:
            self.callers[job_id].done_at = self.cluster.time.now()

    @property
    def broken(self) -> list[Caller]:
        """Callers whose jobs were taken at once, and came too late to be of use."""
        return [
            caller
            for caller in self.callers.values()
            if caller.accepted_at and not caller.refusals and not caller.is_of_use
        ]

    def send(self, rate: float, seconds: float, queue: str, tenant: str = "") -> None:
        """Have jobs handed in evenly from now on; this returns at once."""
        for number in range(round(rate * seconds)):
            at = number / rate
            self.cluster.time.schedule(at, partial(self.hand_in, queue, tenant))

    def hand_in(
        self, queue: str, tenant: str = "", estimated_ms: int = int(WORK_SECONDS * 1_000)
    ) -> Caller:
        cluster = self.cluster
        job_id = f"{len(self.callers) + 1:016x}"
        step = StepSpec(
            task_count=1,
            processors_milli=PROCESSORS_MILLI,
            memory_mb=100,
            estimated_ms=estimated_ms,
            checkpointing=queue == "patient",
        )
        spec = JobSpec(
            job_id=job_id,
            queue=cluster.configuration.configuration.policy.queues[queue],
            payload="p",
            steps=(step,),
            tenant=tenant,
        )
        cluster.pool.specs[job_id] = spec
        cluster.audit.handle_submitted(spec)
        self._left[job_id] = 1
        caller = self.callers[job_id] = Caller(spec, cluster.time.now())
        self.try_again(caller)
        return caller

    def try_again(self, caller: Caller) -> None:
        cluster = self.cluster
        ready = [node for node in cluster.nodes.values() if node.is_up and node.node.is_ready]
        if not ready:
            self._come_back(caller, UNANSWERED_PAUSE_SECONDS)
            return
        node = ready[int(caller.spec.job_id, 16) % len(ready)]
        call = SubmitCall(caller.spec)
        cluster.call(node, caller.spec.job_id, call, partial(self._take, caller))

    def _take(self, caller: Caller, reply: CallReply | None) -> None:
        now = self.cluster.time.now()
        self.cluster.audit.handle_submit_reply(caller.spec.job_id, reply)
        if reply is not None and reply.code is ReplyCode.OK:
            caller.accepted_at = caller.accepted_at or now
        elif reply is not None and reply.code is ReplyCode.REFUSED:
            caller.refusals.append((now, reply.retry_after_seconds, reply.reason))
            self._come_back(caller, reply.retry_after_seconds)
        else:
            self._come_back(caller, UNANSWERED_PAUSE_SECONDS)

    def _come_back(self, caller: Caller, seconds: float) -> None:
        gives_up_at = caller.first_at + EXPIRY_FACTOR * OBJECTIVE_SECONDS
        if self.cluster.time.now() + seconds < gives_up_at:
            self.cluster.time.schedule(seconds, partial(self.try_again, caller))

    def of(self, queue: str = "", tenant: str = "") -> list[Caller]:
        return [
            caller
            for caller in self.callers.values()
            if queue in ("", caller.spec.queue.name) and tenant in ("", caller.spec.tenant)
        ]


def _expected_as_told(
    _durations: Durations, _queue: str, _tenant: str, estimated_ms: float, _worker: str = ""
) -> Expected:
    """Stand for what was learned of work that takes as long as its callers say."""
    seconds = estimated_ms / 1_000.0
    return Expected(seconds, seconds, evidence=100.0)


def start_cluster(
    context: Any, workers: int, *, admission: bool, tenants: dict[str, float], nodes: int = 3
) -> None:
    patch = mock.patch.object(Durations, "expected", _expected_as_told)
    patch.start()
    context.add_cleanup(patch.stop)
    work = WorkOptions(seed=7, shortest_seconds=WORK_SECONDS, longest_seconds=WORK_SECONDS)
    policies = tuple(TenantPolicy(name=name, weight=weight) for name, weight in tenants.items())
    options = ClusterOptions(
        seed=7,
        nodes=nodes,
        workers=workers,
        with_advice=False,
        work=work,
        tenants=policies,
        load=LoadOptions(admission=admission),
    )
    cluster = context.cluster = JobCluster(options)
    cluster.start()
    cluster.run(SETTLE_SECONDS)
    context.arrivals = Arrivals(cluster)
    context.capacity = workers * TASKS_A_WORKER / WORK_SECONDS


def _play(context: Any, tenants: dict[str, float], load: Callable[[Arrivals], float]) -> None:
    """Play the same load on a cell with the part, and on one without."""
    context.played = {}
    for name in (WITH, WITHOUT):
        start_cluster(context, 4, admission=name == WITH, tenants=tenants)
        seconds = load(context.arrivals)
        context.cluster.run(seconds + REST_SECONDS)
        assert not context.cluster.audit.findings, context.cluster.audit.findings
        context.played[name] = context.arrivals


@when("{rate:d} jobs a second come for {seconds:d} seconds, {served:d} of which are served")
def _burst(context: Any, rate: int, seconds: int, served: int) -> None:
    def load(arrivals: Arrivals) -> float:
        arrivals.send(rate, seconds, "normal")
        return seconds

    _play(context, {}, load)
    assert context.capacity == served


@when("{urgent:d} urgent and {patient:d} patient jobs a second come for {seconds:d} seconds")
def _mixed(context: Any, urgent: int, patient: int, seconds: int) -> None:
    def load(arrivals: Arrivals) -> float:
        arrivals.send(urgent, seconds, "urgent")
        arrivals.send(patient, seconds, "patient")
        return seconds

    _play(context, {}, load)


@when("two tenants send what they are owed, and a third sends half of all jobs, for 20 seconds")
def _flood(context: Any) -> None:
    def load(arrivals: Arrivals) -> float:
        for tenant, rate in (("first", 5), ("second", 5), ("flood", 10)):
            arrivals.send(rate, 20, "normal", tenant)
        return 20.0

    _play(context, {"first": 6.0, "second": 6.0, "flood": 4.0}, load)


def _on_time(arrivals: Arrivals, **which: str) -> int:
    return sum(caller.is_on_time for caller in arrivals.of(**which))


@then("every urgent job is on time")
def _urgent_on_time(context: Any) -> None:
    arrivals = context.played[WITH]
    assert _on_time(arrivals, queue="urgent") == len(arrivals.of(queue="urgent"))


@then("every job of the two tenants is on time")
def _owed_on_time(context: Any) -> None:
    arrivals = context.played[WITH]
    for tenant in ("first", "second"):
        assert _on_time(arrivals, tenant=tenant) == len(arrivals.of(tenant=tenant)), tenant


@then("no fewer jobs are on time than without")
def _no_fewer_on_time(context: Any) -> None:
    figures = {name: _on_time(arrivals) for name, arrivals in context.played.items()}
    assert figures[WITH] >= figures[WITHOUT], figures


@then("of jobs taken at once less than {percent:d} in 100 of those without come too late")
def _fewer_broken(context: Any, percent: int) -> None:
    figures = {name: len(arrivals.broken) for name, arrivals in context.played.items()}
    assert figures[WITHOUT] > 0
    assert figures[WITH] * 100 < percent * figures[WITHOUT], figures


@then("less than {percent:d} in 100 of the callers are refused twice in a row")
def _rarely_twice(context: Any, percent: int) -> None:
    callers = context.played[WITH].of()
    twice = [caller for caller in callers if len(caller.refusals) > 1]
    assert any(caller.refusals for caller in callers)
    assert len(twice) * 100 < percent * len(callers), (len(twice), len(callers))


@then("a job that comes when the cell is empty again is taken and on time")
def _taken_again(context: Any) -> None:
    # The cell played last is the one without; the other has been left as it was.
    arrivals = context.played[WITH]
    caller = arrivals.hand_in("normal")
    arrivals.cluster.run(REST_SECONDS)
    assert not caller.refusals and caller.is_on_time


@then("no queue of the cell is told to be closed")
def _all_open(context: Any) -> None:
    cluster = context.played[WITH].cluster
    summary = _summary(cluster)
    assert summary is not None and summary.notices == (), summary


def _summary(cluster: JobCluster) -> AdmissionSummary | None:
    scheduler = cluster.holder().node.seats[0].scheduler
    return scheduler.admission_summary(cluster.time.now())


@given("a cell of tenants that decides about admission, one of which floods")
def _flooded(context: Any) -> None:
    tenants = {"first": 6.0, "second": 6.0, "flood": 4.0}
    start_cluster(context, 4, admission=True, tenants=tenants)
    context.logged = []
    log = ShardContext.log

    def note(shard: ShardContext, event: str, **fields: Any) -> None:
        context.logged.append((event, fields))
        log(shard, event, **fields)

    patch = mock.patch.object(ShardContext, "log", note)
    patch.start()
    context.add_cleanup(patch.stop)
    for tenant, rate in (("first", 5), ("second", 5), ("flood", 10)):
        context.arrivals.send(rate, 14, "normal", tenant)


@then("its summary closes the queue for the flooding tenant alone")
def _closed_for_flood(context: Any) -> None:
    summary = _summary(context.cluster)
    assert summary is not None
    [notice] = summary.notices
    assert notice.queue == "normal" and notice.tenants == ("flood",), notice
    scheduler = context.cluster.holder().node.seats[0].scheduler
    assert summary.token == scheduler.context.token


@then("its summary closes the queue for everybody, for no longer than {most:g} seconds")
def _closed_for_all(context: Any, most: float) -> None:
    summary = _summary(context.cluster)
    assert summary is not None
    [notice] = summary.notices
    assert notice.tenants == () and 0.0 < notice.closed_seconds <= most, notice


@given(
    "a queue that is closed is told to be so for {seconds:g} seconds, and nobody reaches its holder"
)
def _closed_for_long(context: Any, seconds: float) -> None:
    try_again = Arrivals.try_again

    def reach_holder(arrivals: Arrivals, caller: Caller) -> None:
        # From the first refusal on nobody comes who would open the queue.
        if not any(other.refusals for other in arrivals.callers.values()):
            try_again(arrivals, caller)

    for patch in (
        mock.patch.object(admission_desk, "closed_seconds", lambda *_args: seconds),
        mock.patch.object(Arrivals, "try_again", reach_holder),
    ):
        patch.start()
        context.add_cleanup(patch.stop)


@then("no queue of the cell is closed any more")
def _open_again(context: Any) -> None:
    assert any(caller.refusals for caller in context.arrivals.of())
    summary = _summary(context.cluster)
    assert summary is not None and summary.notices == (), summary


@then("refusals are logged with all their inputs, and with when the queue closed")
def _logged(context: Any) -> None:
    events = [event for event, _fields in context.logged]
    assert events.count("admission_refused") == events.count("job_refused") > 0
    assert events.count("admission_closed") >= 1
    fields = next(fields for event, fields in context.logged if event == "admission_refused")
    assert fields["tenant"] == "flood" and fields["beyond_share"] == 1
    inputs = {"ahead_s", "ahead_upper_s", "advice_s", "work_s", "patience_s", "view_age_s"}
    assert inputs <= fields.keys(), fields


@then("it is logged that the queue is open again")
def _logged_open(context: Any) -> None:
    events = [event for event, _fields in context.logged]
    assert events.count("admission_opened") == events.count("admission_closed")
    assert _summary(context.cluster).notices == ()


@then("its figures count each return of a caller once, most of them on time")
def _returns_counted(context: Any) -> None:
    text = context.cluster.holder().node.metrics.render().decode()
    lines = [line for line in text.splitlines() if line.startswith("onyxspoke_returns_total{")]
    counts = {line.split('outcome="')[1].split('"')[0]: float(line.split()[-1]) for line in lines}
    callers = context.arrivals.callers.values()
    returns = sum(len(caller.refusals) for caller in callers if caller.accepted_at)
    returns += sum(len(caller.refusals) - 1 for caller in callers if not caller.accepted_at)
    assert sum(counts.values()) == returns > 0, (counts, returns)
    assert counts["on_time"] > returns / 2, counts


# Failures


@given("a cell that decides about admission")
def _deciding_cell(context: Any) -> None:
    start_cluster(context, 4, admission=True, tenants={})


@given("a cell that does not decide about admission")
def _indifferent_cell(context: Any) -> None:
    start_cluster(context, 4, admission=False, tenants={})


@given("{rate:d} jobs a second come to it for {seconds:d} seconds")
def _come(context: Any, rate: int, seconds: int) -> None:
    context.arrivals.send(rate, seconds, "normal")


@given("{rate:d} urgent jobs a second come to it for {seconds:d} seconds")
def _urgent_come(context: Any, rate: int, seconds: int) -> None:
    context.arrivals.send(rate, seconds, "urgent")


@given("the whole list of its workers has not come yet")
def _no_whole_list(context: Any) -> None:
    patch = mock.patch.object(WorkerRegister, "knows_directory", False)
    patch.start()
    context.add_cleanup(patch.stop)


@then("nobody was refused, and nothing is told of its queues")
def _nobody_refused(context: Any) -> None:
    callers = context.arrivals.of()
    assert callers and not any(caller.refusals for caller in callers)
    assert _summary(context.cluster) is None


@when("its holder is killed {seconds:g} seconds later")
def _kill(context: Any, seconds: float) -> None:
    cluster = context.cluster
    cluster.run(seconds)
    cluster.kill_node(cluster.holder().name)


@when("the store is away from second {first:g} to second {last:g}")
def _store_away(context: Any, first: float, last: float) -> None:
    cluster = context.cluster
    cluster.run(first)
    cluster.store.faults.is_down = True
    cluster.run(last - first)
    cluster.store.faults.is_down = False
    context.back_at = cluster.time.now()


@when("{seconds:g} seconds pass for its callers")
def _pass(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)


@then("its successor refuses nothing before it knows what waits")
def _successor(context: Any) -> None:
    cluster = context.cluster
    known_at = None
    for _ in range(200):
        cluster.run(0.05)
        holder = cluster.holder()
        if holder is not None and _summary(cluster) is not None:
            known_at = cluster.time.now()
            break
        if holder is not None:
            context.taken_over_at = getattr(context, "taken_over_at", cluster.time.now())
    assert known_at is not None
    began_at = getattr(context, "taken_over_at", known_at)
    early = [
        moment
        for caller in context.arrivals.of()
        for moment, _seconds, reason in caller.refusals
        if began_at <= moment < known_at - 0.05 and reason != "store_in_trouble"
    ]
    assert not early, early


@then("no promise of the cell is broken")
def _no_violation(context: Any) -> None:
    cluster = context.cluster
    cluster.run(REST_SECONDS)
    assert not cluster.audit.findings, cluster.audit.findings
    lost = [
        caller.spec.job_id
        for caller in context.arrivals.of()
        if caller.accepted_at is not None and caller.done_at is None
    ]
    assert not lost, lost


def _away_refusals(context: Any) -> list[tuple[Caller, float]]:
    """Return who was refused because the store was away, and for how many seconds."""
    return [
        (caller, seconds)
        for caller in context.arrivals.of()
        for _moment, seconds, reason in caller.refusals
        if reason == "store_in_trouble"
    ]


@then("the flood's jobs that were refused meanwhile are owed no more than the weight of its tenant")
def _flood_not_owed(context: Any) -> None:
    desk = context.cluster.holder().node.seats[0].scheduler._admission
    flood = {caller.spec.job_id: caller for caller, _seconds in _away_refusals(context)}
    specs = [caller.spec for caller in flood.values() if caller.spec.tenant == "flood"]
    remembered = [desk.find_refused(spec) for spec in specs]
    owed = sum(refused is not None and refused.is_owed for refused in remembered)
    # 2 seconds of a weight of 4, and what is saved up for one.
    assert len(specs) > 12 >= owed, (len(specs), owed)


@when("a job that was refused once is taken, and the store is in trouble before its append is sent")
def _taken_back(context: Any) -> None:
    cluster = context.cluster
    scheduler = cluster.holder().node.seats[0].scheduler
    desk = scheduler._admission
    with mock.patch.object(Arrivals, "try_again", lambda *_args: None):
        context.spec = context.arrivals.hand_in("normal").spec
    now = cluster.time.now()
    desk.refuse_for_store([context.spec], now)
    context.first_at = desk.find_refused(context.spec).first_at
    cluster.run(1.0)
    now = cluster.time.now()
    scheduler._calls._submit(-1, context.spec, now)
    assert desk.find_refused(context.spec) is None
    scheduler._calls._refuse_unsent(now)


@then("its first hand-in is remembered as before")
def _first_hand_in(context: Any) -> None:
    desk = context.cluster.holder().node.seats[0].scheduler._admission
    assert desk.find_refused(context.spec).first_at == context.first_at


@then("each of them is told to come back while it can still be of use")
def _told_in_use(context: Any) -> None:
    refused = [
        (caller.first_at + EXPIRY_FACTOR * OBJECTIVE_SECONDS - moment, seconds)
        for caller in context.arrivals.of()
        for moment, seconds, reason in caller.refusals
        if reason == "store_in_trouble"
    ]
    assert len(refused) > 100, len(refused)
    # Whoever has a second left at which it may come, and do its work, is told none after that.
    past_use = [item for item in refused if item[1] > max(1.0, item[0] - WORK_SECONDS)]
    assert not past_use, (len(past_use), len(refused), past_use[:3])


@then("those refused meanwhile are told at least {count:d} different whole seconds")
def _spread(context: Any, count: int) -> None:
    told = {seconds for _caller, seconds in _away_refusals(context)}
    assert len(told) >= count, told
    assert all(seconds >= 1.0 and seconds == int(seconds) for seconds in told), told


@then("the urgent are told to come back sooner than the others")
def _urgent_sooner(context: Any) -> None:
    waits: dict[str, list[float]] = {}
    for caller, seconds in _away_refusals(context):
        waits.setdefault(caller.spec.queue.name, []).append(seconds)
    means = {queue: sum(told) / len(told) for queue, told in waits.items()}
    assert means["urgent"] < means["normal"], means


def _most_in_a_second(callers: list[Caller]) -> int:
    """Return how many callers who were refused come back within the same second at most."""
    due = Counter(
        int(moment + seconds) for caller in callers for moment, seconds, _why in caller.refusals
    )
    return max(due.values())


@when("the store is away for {seconds:d} seconds while {rate:d} jobs a second come")
def _outage(context: Any, seconds: int, rate: int) -> None:
    def load(arrivals: Arrivals) -> float:
        arrivals.send(rate, seconds + 3.0, "normal")
        arrivals.cluster.run(2.0)
        arrivals.cluster.store.faults.is_down = True
        arrivals.cluster.run(seconds)
        arrivals.cluster.store.faults.is_down = False
        return 1.0

    _play(context, {}, load)


@then("at most {share:g} times as many come back in one second as without")
def _less_thunder(context: Any, share: float) -> None:
    most = {name: _most_in_a_second(arrivals.of()) for name, arrivals in context.played.items()}
    assert most[WITH] <= share * most[WITHOUT], most


@then("no fewer jobs are of use than without")
def _no_fewer_of_use(context: Any) -> None:
    figures = {
        name: sum(caller.is_of_use for caller in arrivals.of())
        for name, arrivals in context.played.items()
    }
    assert figures[WITH] >= figures[WITHOUT], figures


@then("all who were refused were told {seconds:g} second")
def _told_alike(context: Any, seconds: float) -> None:
    told = {wait for caller in context.arrivals.of() for _at, wait, _why in caller.refusals}
    assert told == {seconds}, told


@when("more jobs than are served are played over seeds {first:d} to {last:d} with drawn faults")
def _play_faults(context: Any, first: int, last: int) -> None:
    context.job_reports = [
        play(seed, with_tenants=bool(seed % 2), shards=1 + seed % 3 // 2, with_admission=True)
        for seed in range(first, last + 1)
    ]


@then("jobs were refused, and no promise is broken in any of them")
def _refused_unbroken(context: Any) -> None:
    findings = [finding for report in context.job_reports for finding in report.findings]
    assert not findings, findings[:3]
    refused = [report.counts.get("submit_refused", 0) for report in context.job_reports]
    assert sum(refused) > 100, refused


# Bad input


@when("jobs with estimates of {estimates} ms are handed in there")
def _estimates(context: Any, estimates: str) -> None:
    context.odd = [
        context.arrivals.hand_in("normal", estimated_ms=int(text)) for text in estimates.split(", ")
    ]


@then("each of them is answered, and those that are taken are done")
def _answered(context: Any) -> None:
    context.cluster.run(REST_SECONDS)
    for caller in context.odd:
        assert caller.accepted_at or caller.refusals, caller
        assert caller.accepted_at is None or caller.done_at is not None, caller


@when("the part is switched on and off every {seconds:g} seconds for {total:d} seconds")
def _toggle(context: Any, seconds: float, total: int) -> None:
    for number in range(int(total / seconds)):
        for node in context.cluster.nodes.values():
            scheduler = node.node.seats[0].scheduler
            if scheduler is not None:
                load = LoadOptions(admission=bool(number % 2))
                options = scheduler.context.options
                scheduler.context.options = msgspec.structs.replace(options, load=load)
        context.cluster.run(seconds)


@given("a cell of a tenant with a weight of 0 and one of {weight:g}, that decides about admission")
def _weightless(context: Any, weight: float) -> None:
    start_cluster(context, 4, admission=True, tenants={"none": 0.0, "some": weight})


@given("{rate:d} jobs a second of each come to it for {seconds:d} seconds")
def _both_come(context: Any, rate: int, seconds: int) -> None:
    for tenant in ("none", "some"):
        context.arrivals.send(rate, seconds, "normal", tenant)


@when("the tenant with a weight of 0 goes {seconds:g} seconds later")
def _goes(context: Any, seconds: float) -> None:
    cluster = context.cluster
    cluster.run(seconds)
    left = tuple(tenant for tenant in cluster.options.tenants if tenant.name != "none")
    cluster.configuration.put(make_configuration(2, False, left))
