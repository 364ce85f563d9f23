"""Steps that read and change the settings tree over HTTP."""

import json
from pathlib import Path

from behave import then, when
from http_steps import Exchange, post

from onyxspoke.core.settings_tree import render_settings_page
from onyxspoke.core.shard.load_option_definitions import render_load_page

PAGE = Path(__file__).resolve().parents[2] / "docs" / "SETTINGS.md"
DECISION_SECONDS = 6.0


def get(context, path):
    exchange = Exchange(context.site)
    exchange.send(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    return exchange.body


def post_changes(context, items, dry_run=False):
    context.change_count = getattr(context, "change_count", 0) + 1
    body = {
        "change_id": f"c{context.change_count}",
        "operator": "ops",
        "changes": items,
        "dry_run": dry_run,
    }
    post(context, "/v1/settings", json.dumps(body))
    context.cell.time.run_until(context.cell.time.now() + DECISION_SECONDS)


def make_change(path, key, value, revision=None):
    return {"path": path, "key": key, "value": value, "expected_revision": revision}


@when('an operator sets "{key}" at "{path}" to {value} on revision {revision:d}')
def step_set_on_revision(context, key, path, value, revision):
    post_changes(context, [make_change(path, key, json.loads(value), revision)])


@when('an operator sets "{key}" at "{path}" to {value}')
def step_set(context, key, path, value):
    post_changes(context, [make_change(path, key, json.loads(value))])


@when('an operator unsets "{key}" at "{path}"')
def step_unset(context, key, path):
    post_changes(context, [make_change(path, key, None)])


@when('an operator sets two keys at "{path}", one with a wrong revision')
def step_set_two(context, path):
    post_changes(
        context,
        [make_change(path, "task.priority", 1), make_change(path, "service.admitted", True, 999)],
    )


@when('an operator sends a dry run that sets "{key}" at "{path}" to {value}')
def step_dry_run(context, key, path, value):
    post_changes(context, [make_change(path, key, json.loads(value))], dry_run=True)


@when("the log becomes unavailable")
def step_log_away(context):
    context.cell.platform.begin_outage()


@then('"{key}" at "{path}" is {value} from level "{level}"')
def step_resolved(context, key, path, value, level):
    found = get(context, f"/v1/settings?path={path}&key={key}")
    assert (found["value"], found["level"]) == (json.loads(value), level), found


@then("the winning value is {value}")
def step_winner(context, value):
    assert context.exchange.body["winner"]["value"] == json.loads(value)


@then("the settings tree has no values")
def step_nothing_set(context):
    assert get(context, "/v1/settings") == []


@then('the answer lists {count:d} task classes, all in the zone "{zone}"')
def step_reach(context, count, zone):
    reached = context.exchange.body
    assert len(reached) == count and {row["zone"] for row in reached} == {zone}, reached


@then('the history of "{key}" at "{path}" goes from null to 1 to 2')
def step_history(context, key, path):
    items = get(context, f"/v1/settings/history?path={path}&key={key}")
    assert [(row["before"], row["after"]) for row in items] == [(None, 1), (1, 2)], items


@then("no entry lags behind and {count:d} changes are in force at every entry")
def step_spread(context, count):
    status = get(context, "/v1/settings/status")
    assert status["changes"] == count, status
    assert len(status["entries"]) == len(context.cell.entries)
    assert not any(entry["lags"] for entry in status["entries"]), status


@then("docs/SETTINGS.md equals the page rendered from the schema")
def step_page(context):
    assert PAGE.read_text(encoding="utf-8") == render_settings_page() + render_load_page()
