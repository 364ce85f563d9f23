"""Steps about the capacity page."""

import copy
import json
import sys
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts"))

from capacity_page import carry_on, read_sweep, render_page  # noqa: E402

SIZES = [30, 100, 300]


def read_data():
    return json.loads((ROOT / "docs" / "capacity.json").read_text(encoding="utf-8"))


@when("the capacity page is written again from docs/capacity.json")
def step_render(context):
    context.page = render_page(read_data())


@when("the capacity page is written with every figure of the largest sizes doubled")
def step_render_doubled(context):
    data = copy.deepcopy(read_data())
    for sweep in data["sweeps"]:
        for cells in sweep["figures"].values():
            cells[-1] = [2 * figure for figure in cells[-1]]
    context.page = render_page(data)


@then("it equals docs/CAPACITY.md")
def step_equal(context):
    assert context.page == (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")


@then("it differs from docs/CAPACITY.md")
def step_differs(context):
    assert context.page != (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")


@when("a sweep is read whose table says")
def step_read(context):
    entry = {"site": "one", "id": "1", "digest": context.text, "days": []}
    context.sweep = read_sweep(entry)


@then('the figure "{name}" is "{cells}"')
def step_figure(context, name, cells):
    found = ", ".join(f"{a:g} / {b:g}" for a, b in context.sweep["figures"][name])
    assert found == cells, found


@then("{values} at 30, 100 and 300 nodes are {carried:g} at 900 nodes")
def step_carried(context, values, carried):
    found = carry_on(SIZES, [float(value) for value in values.split(",")], 900)
    assert abs(found - carried) < 0.01 * carried, found
