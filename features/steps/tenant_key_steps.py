"""Steps about callers' keys, over HTTP to a node in a simulated cluster."""

from __future__ import annotations

import logging as standard_logging
from typing import Any

import msgspec
from behave import given, then, when
from http_steps import Exchange
from job_directed_steps import FIRST_JOB, SETTLE_SECONDS
from job_ingress_steps import HOST, QUEUES, SMALL_JOB, _serve
from tenant_steps import TENANTS

from onyxspoke.core.jobs.records import decode_progress, decode_spec
from onyxspoke.core.jobs.states import JobState
from onyxspoke.core.routing import RouteEntry
from onyxspoke.core.tenants.keys import Credential, KeyRing, check_key
from onyxspoke.core.tenants.policy import TenantPolicy
from onyxspoke.platform.configuration import decode_configuration
from onyxspoke.ports.configuration import CellConfiguration
from onyxspoke.sim.job_cluster import (
    ClusterOptions,
    JobCluster,
    key_of,
    make_configuration,
)

TRUSTED_SECONDS = 9.0


@given('keys of which "{key}" is one')
def _keys(context: Any, key: str) -> None:
    context.ring = KeyRing({key: "someone"}, is_required=True)


@then('a call with the key "{key}", {age:g} s after the last confirmation, {read}, is "{verdict}"')
@then('a call with the key "", {age:g} s after the last confirmation, {read}, is "{verdict}"')
def _verdict(context: Any, age: float, read: str, verdict: str, key: str = "") -> None:
    was_configuration_refreshed = read == "after a read"
    found = check_key(
        Credential(key), context.ring, age, TRUSTED_SECONDS, was_configuration_refreshed
    )
    assert found.value == verdict, found


@then('the key "{key}" is logged as a hash without any part of it')
def _fingerprint(context: Any, key: str) -> None:
    name = Credential(key).fingerprint
    parts = {key[at : at + 4] for at in range(len(key) - 3)}
    assert not any(part in name for part in parts), name


@then('the keys "{first}" and "{second}" have different hashes')
def _differ(context: Any, first: str, second: str) -> None:
    assert Credential(first).fingerprint != Credential(second).fingerprint


def _with_routes(configuration: CellConfiguration, anonymous: str = "") -> CellConfiguration:
    routes = tuple(RouteEntry(name, HOST, f"/{name}/", 3_000, name == anonymous) for name in QUEUES)
    return msgspec.structs.replace(configuration, routes=routes)


@given("a cell whose callers need keys")
@given('a cell whose callers need keys, but on "{anonymous}"')
def _cell_with_keys(context: Any, anonymous: str = "") -> None:
    context.anonymous = anonymous
    options = ClusterOptions(seed=3, nodes=3, with_advice=False, tenants=TENANTS)
    cluster = context.cluster = JobCluster(options)
    configuration = _with_routes(cluster.configuration.configuration, anonymous)
    cluster.configuration.configuration = configuration
    cluster.start()
    cluster.run(SETTLE_SECONDS)
    _serve(context, next(node for node in cluster.nodes.values() if not node.is_holding))
    context.client = context.simulated.node.configurations._port


def _request(context: Any, method: str, header: str, queue: str = "normal", body: str = "") -> Any:
    exchange = Exchange(context.site)
    shown = "" if header == "nothing" else f"Authorization: {header}\r\n"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = f"{method} /{queue}/{FIRST_JOB} HTTP/1.1\r\nHost: {HOST}\r\n{shown}{length}\r\n"
    exchange.send(head.encode() + body.encode())
    return exchange


def _ask(context: Any, method: str, header: str, queue: str = "normal", body: str = "") -> None:
    context.exchange = _request(context, method, header, queue, body)
    context.cluster.run(0.5)


@when('a caller shows "{header}" and submits a job')
def _shows(context: Any, header: str) -> None:
    _ask(context, "POST", header, body=SMALL_JOB)


@when('a caller shows "{header}" and submits a job to "{queue}"')
def _shows_to(context: Any, header: str, queue: str) -> None:
    _ask(context, "POST", header, queue, SMALL_JOB)


@when('a caller shows "{header}" and waits for {seconds:g} seconds')
def _shows_and_waits(context: Any, header: str, seconds: float) -> None:
    context.exchange = _request(context, "POST", header, body=SMALL_JOB)
    context.cluster.run(seconds)


@then("{count:d} call is open at the node")
@then("{count:d} calls are open at the node")
def _open_calls(context: Any, count: int) -> None:
    assert context.simulated.node.open_call_count == count


@when('a caller of "{tenant}" submits a job')
@when('a caller of "{tenant}" submits the job')
def _submits(context: Any, tenant: str) -> None:
    _ask(context, "POST", f"Token {key_of(tenant)}", body=SMALL_JOB)


@when('a caller of "{tenant}" asks for the job')
def _asks(context: Any, tenant: str) -> None:
    _ask(context, "GET", f"Token {key_of(tenant)}")


@when('a caller of "{tenant}" cancels the job')
def _cancels(context: Any, tenant: str) -> None:
    _ask(context, "DELETE", f"Token {key_of(tenant)}")


@then('the job belongs to "{tenant}"')
def _job_of(context: Any, tenant: str) -> None:
    job_registry = context.cluster.holder().node.seats[0].scheduler.context.job_registry
    assert job_registry.jobs[FIRST_JOB].spec.tenant == tenant


@when("its job ends, and another node takes over")
def _ends_and_moves(context: Any) -> None:
    cluster = context.cluster
    cluster.run(4.0)
    holder = cluster.holder()
    cluster.kill_node(holder.name)
    cluster.run(3.0)
    assert cluster.holder() is not None
    _serve(context, next(node for node in cluster.nodes.values() if node.is_up))


@given('a version with a key of "{tenant}" that this node has not received')
def _newer_version(context: Any, tenant: str) -> None:
    feed = context.cluster.configuration
    tenants = (*TENANTS, TenantPolicy(name=tenant, weight=10.0))
    # The version is stored without notifying the nodes.
    feed.configuration = _with_routes(make_configuration(2, False, tenants))


@then("the newest version was read {count:d} time")
def _was_read(context: Any, count: int) -> None:
    assert context.client.looks == count, context.client.looks


@when("{count:d} callers show wrong keys within {seconds:d} seconds")
def _flood(context: Any, count: int, seconds: int) -> None:
    context.flood = []
    for number in range(count):
        exchange = _request(context, "POST", f"Token wrong-{number}", body=SMALL_JOB)
        context.flood.append((context.cluster.time.now(), exchange))
        context.cluster.run(seconds / count)


@then("all of them are rejected with status 401 within {seconds:g} seconds")
def _rejected(context: Any, seconds: float) -> None:
    context.cluster.run(seconds)
    assert all(exchange.status == 401 for _at, exchange in context.flood)


@then("the newest version was read {count:d} times at most")
def _was_read_at_most(context: Any, count: int) -> None:
    assert 0 < context.client.looks <= count, context.client.looks


@when('the key of "{tenant}" is revoked, and {seconds:g} seconds pass')
def _revoked(context: Any, tenant: str, seconds: float) -> None:
    left = tuple(item for item in TENANTS if item.name != tenant)
    configuration = make_configuration(2, False, left)
    context.cluster.configuration.put(_with_routes(configuration))
    context.cluster.run(seconds)


@when("the node receives no configuration for {seconds:g} seconds")
def _receives_nothing(context: Any, seconds: float) -> None:
    cluster = context.cluster
    others = [node.host for node in cluster.nodes.values() if node is not context.simulated]
    cluster.cut(context.simulated.host, ["store", *others])
    cluster.run(seconds)


@given('a configuration in which the tenants "{first}" and "{second}" have the same key')
def _two_tenants(context: Any, first: str, second: str) -> None:
    tenants = [{"name": name, "apiKeys": ["k1"]} for name in (first, second)]
    raw = msgspec.json.encode({"version": 3, "routes": [], "tenants": tenants})
    standard_logging.disable(standard_logging.WARNING)
    try:
        context.keys = decode_configuration(raw).keys
    finally:
        standard_logging.disable(standard_logging.NOTSET)


@then('the key is the one of "{tenant}"')
def _key_is(context: Any, tenant: str) -> None:
    assert context.keys.is_required
    assert context.keys.tenant_of(Credential("k1")) == tenant


@given("the records of a job and of a finished job as they were without tenants")
def _old_records(context: Any) -> None:
    queue = ["q", "s", 0, 1, 1.0, 0, None]
    step = [2, 1_000, 256]
    context.old_spec = msgspec.msgpack.encode([FIRST_JOB, queue, "text", [step], [0, 0, 0], 17])
    context.old_progress = msgspec.msgpack.encode([int(JobState.COMPLETED), [], [], True])


@then("they are decoded without a tenant")
def _read_old(context: Any) -> None:
    spec = decode_spec("key", context.old_spec)
    assert (spec.accepted_at_ms, spec.tenant, spec.is_over_share) == (17, "", False)
    assert decode_progress("key", context.old_progress).tenant == ""
