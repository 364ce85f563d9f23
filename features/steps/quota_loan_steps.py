"""Steps that simulate loans of a quota between shards, without a network."""

from __future__ import annotations

import random
from contextlib import ExitStack
from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when

from onyxspoke.core.jobs.model import JobSpec, QueuePolicy, ResourceVector, StepSpec
from onyxspoke.core.jobs.records import encode_spec, spec_key
from onyxspoke.core.jobs.resource_vectors import subtract_vectors
from onyxspoke.core.shard.actions import DecisionLogLine
from onyxspoke.core.shard.context import ShardContext, ShardOptions
from onyxspoke.core.shard.journal import restore_records
from onyxspoke.core.shard.log_records import ShardRecord
from onyxspoke.core.shard.worker_registry import WorkerRegistry
from onyxspoke.core.tenants.quota_borrower import QuotaBorrower
from onyxspoke.core.tenants.quota_lender import QUOTA_PREFIX, Loan, QuotaLender, QuotaRequest

TENANT = "one"
TICK_SECONDS = 0.05
SHARDS = 4
QUOTA = 10


def _processor_needs(count: int) -> ResourceVector:
    return ResourceVector(count, 0, 0)


class _Cell:
    """A home shard and its borrowers; amounts are numbers of equal tasks."""

    def __init__(self, quota: int, shards: int) -> None:
        self.now = 50.0
        self.quota = quota
        self.bank = QuotaLender(0)
        self.stored = b""
        self.token = 1
        self.used = dict.fromkeys(range(shards), 0)
        self.wanted = dict.fromkeys(range(shards), 0)
        self.borrowers = {shard: QuotaBorrower(shard, 1) for shard in range(1, shards)}

    def allocation(self, shard: int) -> int:
        if shard == 0:
            left = subtract_vectors(_processor_needs(self.quota), self.bank.lent(TENANT))
            return subtract_vectors(
                left, self.bank.reserved_for_other_shards(TENANT)
            ).processors_milli
        return self.borrowers[shard].amount(TENANT).processors_milli

    def next_request(self, shard: int) -> QuotaRequest | None:
        return self.borrowers[shard].next_request(
            TENANT,
            _processor_needs(self.quota),
            _processor_needs(self.used[shard]),
            _processor_needs(self.wanted[shard]),
            self.now,
        )

    def lend(self, request: QuotaRequest) -> ResourceVector:
        amount = self.bank.request(
            request, _processor_needs(self.quota), _processor_needs(self.used[0]), self.now
        )
        if TENANT in self.bank.dirty:
            self.bank.dirty.clear()
            self.stored = self.bank.encode(TENANT)
        return amount

    def replace_bank(self) -> None:
        self.bank = QuotaLender(0)
        self.bank.restore(TENANT, self.stored)

    def replace_holder(self, shard: int) -> None:
        self.token += 1
        self.borrowers[shard] = QuotaBorrower(shard, self.token)


@given("a quota of {quota:d} that shard 0 lends to shards 1 and 2")
def _cell(context: Any, quota: int) -> None:
    context.cell = _Cell(quota, 3)
    for shard in (1, 2):
        _exchange(context.cell, shard)
        context.cell.now += 0.1


def _exchange(cell: _Cell, shard: int) -> None:
    request = cell.next_request(shard)
    assert request is not None
    cell.borrowers[shard].handle_granted(request, cell.lend(request), cell.now)


@given("shard {shard:d} has {count:d} running")
@when("shard {shard:d} has {count:d} running")
def _running(context: Any, shard: int, count: int) -> None:
    context.cell.used[shard] = count


@when("shard {shard:d} wants {count:d}, and its request and the answer arrive")
def _wants(context: Any, shard: int, count: int) -> None:
    cell = context.cell
    cell.now += 0.06
    cell.wanted[shard] = count
    _exchange(cell, shard)


@when("shard {shard:d} wants nothing, and its request and the answer arrive")
def _wants_nothing_now(context: Any, shard: int) -> None:
    _wants(context, shard, 0)


@when(
    "shard {shard:d} wants nothing for {seconds:g} seconds, and its request and the answer arrive"
)
def _wants_nothing(context: Any, shard: int, seconds: float) -> None:
    cell = context.cell
    cell.wanted[shard] = 0
    assert cell.next_request(shard) is None
    cell.now += seconds
    _exchange(cell, shard)


@when("{seconds:g} seconds pass between the shards")
def _pass(context: Any, seconds: float) -> None:
    context.cell.now += seconds


@then("shard {first:d} may have {count:d} running, and shard {second:d} may have {other_count:d}")
def _may_have(context: Any, first: int, count: int, second: int, other_count: int) -> None:
    found = (context.cell.allocation(first), context.cell.allocation(second))
    assert found == (count, other_count), found


@when("the quota falls to {quota:d}")
def _lower_quota(context: Any, quota: int) -> None:
    context.cell.quota = quota
    context.cell.wanted[1] = 0
    context.cell.next_request(1)


@then("shard {shard:d} may have {count:d} running, before any answer")
def _may_have_before_answer(context: Any, shard: int, count: int) -> None:
    assert context.cell.allocation(shard) == count, context.cell.allocation(shard)


@when("shard 1 asks for {first:d}, and then for {second:d}, and the later one arrives first")
def _deliver_out_of_order(context: Any, first: int, second: int) -> None:
    requests = [
        QuotaRequest(tenant=TENANT, shard=1, token=1, number=number, amount=_processor_needs(count))
        for number, count in ((8, first), (9, second))
    ]
    context.cell.lend(requests[1])
    context.cell.lend(requests[0])


@then("the amount lent is {count:d}")
def _check_amount_lent(context: Any, count: int) -> None:
    assert context.cell.bank.lent(TENANT) == _processor_needs(count)


@when("shard {shard:d} has a new holder")
def _new_holder(context: Any, shard: int) -> None:
    context.cell.replace_holder(shard)


@given("a holder's state with a record of loans that cannot be read")
def _unreadable(context: Any) -> None:
    queue = QueuePolicy(name="q", service="s")
    spec = JobSpec(
        job_id="00000000000000a1", queue=queue, payload="", steps=(StepSpec(task_count=1),)
    )
    context.shard_context = ShardContext(ShardOptions(), token=7)
    worker_registry = WorkerRegistry(context.shard_context, 0.0)
    records = [
        ShardRecord(QUOTA_PREFIX + TENANT, b"\xc1 no record"),
        ShardRecord(spec_key(spec.job_id), encode_spec(spec)),
    ]
    restore_records(context.shard_context, worker_registry, records, 10.0)


@then("the log names the record, and the other jobs are restored")
def _log_names_record(context: Any) -> None:
    decisions = [
        item for item in context.shard_context.actions if isinstance(item, DecisionLogLine)
    ]
    named = [dict(item.fields)["key"] for item in decisions if item.event == "record_unreadable"]
    assert named == [QUOTA_PREFIX + TENANT], named
    assert list(context.shard_context.job_registry.jobs) == ["00000000000000a1"]


class _Simulation:
    """A simulated cell with random lost and late messages and new holders, by seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.cell = _Cell(QUOTA, SHARDS)
        self.peak_usage = 0
        self._is_lossless = False
        #: Messages in flight: arrival time, function to call, and its arguments.
        self._messages_in_flight: list[tuple[float, Any, Any]] = []

    def run(self, ticks: int) -> None:
        for _ in range(ticks):
            self.cell.now += TICK_SECONDS
            self._deliver()
            for shard in range(SHARDS):
                self._work(shard)
            self._replace_holders_at_random()
            self.peak_usage = max(self.peak_usage, sum(self.cell.used.values()))

    def run_gangs(self, ticks: int) -> int:
        """Queue a gang in every shard, without further losses; return how many gangs ran."""
        cell = self.cell
        cell.used = dict.fromkeys(cell.used, 0)
        cell.wanted = {shard: 7 + self.random.randrange(4) for shard in cell.wanted}
        gang_sizes = dict(cell.wanted)
        left: dict[int, int] = {}
        ran = 0
        for _ in range(ticks):
            cell.now += TICK_SECONDS
            self._deliver()
            for shard in range(SHARDS):
                if left.get(shard):
                    left[shard] -= 1
                    if not left[shard]:
                        cell.used[shard] = 0
                elif cell.wanted[shard] and cell.allocation(shard) >= gang_sizes[shard]:
                    cell.used[shard], cell.wanted[shard], left[shard] = gang_sizes[shard], 0, 10
                    ran += 1
                self._update_quota(shard, is_lossless=True)
            assert sum(cell.used.values()) <= QUOTA
        return ran

    def _update_quota(self, shard: int, is_lossless: bool = False) -> None:
        cell = self.cell
        if shard == 0:
            wanted, used = _processor_needs(cell.wanted[0]), _processor_needs(cell.used[0])
            cell.bank.update_home_demand(TENANT, wanted, used, cell.now)
            return
        request = cell.next_request(shard)
        if request is not None:
            self._send(self._lend, request, is_lossless=is_lossless)

    def _send(self, function: Any, *arguments: Any, is_lossless: bool = False) -> None:
        self._is_lossless = is_lossless or self._is_lossless
        if self._is_lossless:
            self._messages_in_flight.append((self.cell.now + 0.01, function, arguments))
        elif self.random.random() < 0.85:
            longest_delay_seconds = 3.0 if self.random.random() < 0.1 else 0.1
            self._messages_in_flight.append(
                (self.cell.now + self.random.random() * longest_delay_seconds, function, arguments)
            )

    def _deliver(self) -> None:
        due = [item for item in self._messages_in_flight if item[0] <= self.cell.now]
        self._messages_in_flight = [
            item for item in self._messages_in_flight if item[0] > self.cell.now
        ]
        for _at, function, arguments in due:
            function(*arguments)

    def _work(self, shard: int) -> None:
        cell, generator = self.cell, self.random
        if generator.random() < 0.15:
            cell.wanted[shard] = generator.randrange(0, QUOTA)
        if cell.used[shard] and generator.random() < 0.2:
            cell.used[shard] -= 1
        while cell.wanted[shard] and cell.used[shard] < cell.allocation(shard):
            cell.used[shard] += 1
            cell.wanted[shard] -= 1
        self._update_quota(shard)

    def _lend(self, request: QuotaRequest) -> None:
        amount = self.cell.lend(request)
        self._send(self._granted, request, amount)

    def _granted(self, request: QuotaRequest, amount: ResourceVector) -> None:
        borrower = self.cell.borrowers[request.shard]
        if borrower._token == request.token:
            borrower.handle_granted(request, amount, self.cell.now)

    def _replace_holders_at_random(self) -> None:
        if self.random.random() < 0.03:
            self.cell.replace_bank()
        if self.random.random() < 0.03:
            self.cell.replace_holder(self.random.randrange(1, SHARDS))


def _ignore_request_order(
    bank: QuotaLender,
    request: QuotaRequest,
    quota: ResourceVector,
    used: ResourceVector,
    now: float,
) -> Any:
    account = bank._accounts.get(request.tenant)
    loan = account.loans.get(request.shard) if account is not None else None
    if account is not None and loan is not None:
        account.loans[request.shard] = Loan(-1, -1, loan.amount)
    return _ORIGINAL_REQUEST(bank, request, quota, used, now)


def _keep_using_returned(
    borrower: QuotaBorrower,
    tenant: str,
    credit: Any,
    target: ResourceVector,
    used: ResourceVector,
    now: float,
) -> QuotaRequest:
    before = credit.amount
    request = _ORIGINAL_ASK(borrower, tenant, credit, target, used, now)
    credit.amount = before
    return request


def _ignore_kept_amount(
    bank: QuotaLender,
    request: QuotaRequest,
    quota: ResourceVector,
    used: ResourceVector,
    now: float,
) -> ResourceVector:
    return _ORIGINAL_REQUEST(
        bank, msgspec.structs.replace(request, retained=ResourceVector()), quota, used, now
    )


def _withhold_unused(
    borrower: QuotaBorrower, request: QuotaRequest, amount: ResourceVector, now: float
) -> bool:
    has_grown = _ORIGINAL_HANDLE_GRANTED(borrower, request, amount, now)
    credit = borrower._credits.get(request.tenant)
    if credit is not None:
        credit.is_short = False
    return has_grown


_ORIGINAL_REQUEST = QuotaLender.request
_ORIGINAL_ASK = QuotaBorrower._ask
_ORIGINAL_HANDLE_GRANTED = QuotaBorrower.handle_granted
DISABLED_MECHANISMS: dict[str, Any] = {
    "with every mechanism": ExitStack,
    "without recording loans before the replies": lambda: mock.patch.object(
        QuotaLender, "encode", lambda _bank, _tenant: b""
    ),
    "without ordering requests by number": lambda: mock.patch.object(
        QuotaLender, "request", _ignore_request_order
    ),
    "without ceasing to use returned quota": lambda: mock.patch.object(
        QuotaBorrower, "_ask", _keep_using_returned
    ),
    "without leaving borrowers the quota they keep": lambda: mock.patch.object(
        QuotaLender, "request", _ignore_kept_amount
    ),
    "without returning unused quota when short": lambda: mock.patch.object(
        QuotaBorrower, "handle_granted", _withhold_unused
    ),
    "without counting lent quota": lambda: mock.patch.object(
        QuotaLender, "lent", lambda _bank, _tenant: ResourceVector()
    ),
}


@when(
    "{count:d} cells of 4 shards are simulated with lost and late messages and new holders,"
    " {mechanism}"
)
def _simulate(context: Any, count: int, mechanism: str) -> None:
    context.simulations = []
    context.mechanism = mechanism
    with DISABLED_MECHANISMS[mechanism]():
        for seed in range(count):
            simulation = _Simulation(seed)
            simulation.run(200)
            context.simulations.append(simulation)


@then("the quota was {kept}, and at least {used:g} of it was used")
def _check_quota_use(context: Any, kept: str, used: float) -> None:
    peak_usages = [simulation.peak_usage for simulation in context.simulations]
    assert (max(peak_usages) <= QUOTA) is (kept == "kept"), max(peak_usages)
    assert sum(min(item, QUOTA) for item in peak_usages) / len(peak_usages) >= used * QUOTA


@when("a gang of 7 to 10 tasks then waits in every shard for {seconds:d} seconds")
def _run_gangs(context: Any, seconds: int) -> None:
    ticks = int(seconds / TICK_SECONDS)
    with DISABLED_MECHANISMS[context.mechanism]():
        context.gangs_run = [simulation.run_gangs(ticks) for simulation in context.simulations]


@then("all of the gangs have run")
def _all_ran(context: Any) -> None:
    assert set(context.gangs_run) == {SHARDS}, context.gangs_run


@then("not all of the gangs have run")
def _not_all_ran(context: Any) -> None:
    assert set(context.gangs_run) != {SHARDS}
