"""Steps that speak HTTP to the front of a node in a simulated cluster."""

import json

from behave import given, then, when
from http_steps import Exchange

from onyxspoke.core.routing import RouteEntry
from onyxspoke.net.bounded_http import BoundedSite, HttpLimits
from onyxspoke.platform.ingress import IngressResource
from onyxspoke.ports.configuration import CellConfiguration
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster, make_configuration

HOST = "cell.test"
SMALL_JOB = '{"spec":"small","steps":[{"count":1,"cpu":500,"memMb":128,"estimatedMs":500}]}'
QUEUES = ("urgent", "normal", "patient")


def _with_routes(configuration: CellConfiguration) -> CellConfiguration:
    routes = tuple(RouteEntry(name, HOST, f"/{name}/", 3_000) for name in QUEUES)
    return CellConfiguration(policy=configuration.policy, routes=routes, raw=configuration.raw)


@given("a running cluster of nodes with a front for callers")
def _cluster(context):
    cluster = context.cluster = JobCluster(ClusterOptions(seed=3, nodes=3, with_advice=False))
    cluster.configuration.configuration = _with_routes(make_configuration(1, False))
    cluster.start()
    cluster.run(2.0)
    node = next(node for node in cluster.nodes.values() if not node.is_holding)
    _serve(context, node)


def _serve(context, simulated):
    context.simulated = simulated
    limits = HttpLimits(header_seconds=3.0, read_seconds=7.0, idle_seconds=15.0)
    resource = IngressResource(simulated.node)
    context.site = BoundedSite(resource, simulated.process.reactor, limits)


@given("a node without a configuration")
def _no_configuration(context):
    context.simulated.node.configurations.current = None


@given("the store is silent")
def _silent(context):
    context.cluster.store.faults.is_down = True


@given("the store answers again")
def _answers_again(context):
    context.cluster.store.faults.is_down = False


def _send(context, line, body="", host=HOST, length=None):
    context.exchange = Exchange(context.site)
    size = len(body) if length is None else length
    length_line = f"Content-Length: {size}\r\n" if size else ""
    head = f"{line} HTTP/1.1\r\nHost: {host}\r\n{length_line}\r\n"
    context.exchange.send(head.encode() + body.encode())


@when('a caller posts to "{path}" the job')
def _post_text(context, path):
    _send(context, f"POST {path}", context.text)


@when('a caller posts to "{path}" the body {body}')
def _post_body(context, path, body):
    _send(context, f"POST {path}", body)


@when('a caller posts to "{path}" a small job')
def _post_small(context, path):
    _send(context, f"POST {path}", SMALL_JOB)


@when('a caller posts to "{path}" a job with a text of {size:d} bytes')
def _post_long(context, path, size):
    body = json.dumps({"spec": "x" * size, "steps": [{"count": 1}]})
    _send(context, f"POST {path}", body)


def _read_value(text):
    count, _, unit = text.partition(" ")
    return "x" * int(count) if unit == "letters" else json.loads(text)


@when('a caller posts to "{path}" a step with "{field}" of {value}')
def _post_step(context, path, field, value):
    body = {"spec": "x", "steps": [{"count": 1, "cpu": 1} | {field: _read_value(value)}]}
    _send(context, f"POST {path}", json.dumps(body))


@when('a caller posts to "{path}" a job with "{field}" of {value}')
def _post_schedule(context, path, field, value):
    body = {"spec": "x", "steps": [{"count": 1}], field: _read_value(value)}
    _send(context, f"POST {path}", json.dumps(body))


@then('the front\'s answer names the field "{field}"')
def _names_field(context, field):
    assert field in json.dumps(context.exchange.body), context.exchange.body


@when('a caller gets "{path}"')
def _get(context, path):
    _send(context, f"GET {path}")


@when('a caller of "{host}" gets "{path}"')
def _get_of(context, host, path):
    _send(context, f"GET {path}", host=host)


@when('a caller deletes "{path}"')
def _delete(context, path):
    _send(context, f"DELETE {path}")


@when('a caller sends "{line} HTTP/1.1"')
def _send_line(context, line):
    _send(context, line)


@when('a caller announces {announced:d} bytes for "{path}" and sends {sent:d} of them')
def _announce(context, announced, path, sent):
    _send(context, f"POST {path}", "x" * sent, length=announced)


@when("a caller sends the first {count:d} bytes of a head")
def _trickle(context, count):
    context.exchange = Exchange(context.site)
    context.exchange.send(b"GET /normal/ HTTP/1.1"[:count])


@when("{seconds:g} seconds pass in the cluster")
def _pass(context, seconds):
    context.cluster.run(seconds)


@when("the node is told to stop")
def _stop(context):
    context.simulated.node.begin_stop()


@then("the front's answer has status {status:d}")
def _status(context, status):
    assert context.exchange.status == status, context.exchange.transport.value()


@then("the front's answer has status {status:d} and code {code:d}")
def _status_code(context, status, code):
    _status(context, status)
    assert context.exchange.body["code"] == code, context.exchange.body


@then('the front\'s answer has status {status:d} and the field "{name}" is "{value}"')
def _status_field(context, status, name, value):
    _status(context, status)
    assert str(context.exchange.body[name]) == value, context.exchange.body


@then("the front's answer says when to come back")
def _retry_after(context):
    assert "retry-after: " in context.exchange.head.lower(), context.exchange.head


@then("the front closes the connection")
def _closed(context):
    assert context.exchange.transport.disconnecting


@then("{count:d} run was started")
@then("{count:d} runs were started")
def _started(context, count):
    context.cluster.run(2.0)
    assert context.cluster.audit.counts["starts"] == count, context.cluster.audit.counts


@then("the node says that it is not ready")
def _not_ready(context):
    assert not context.simulated.node.is_ready
