"""Steps about the capacity page."""

from pathlib import Path

import msgspec
from behave import then, when

from onyxspoke.scale.page import CapacityData, render_page

DOCS = Path(__file__).resolve().parents[2] / "docs"


def read_data():
    return msgspec.json.decode((DOCS / "capacity.json").read_bytes(), type=CapacityData)


@when("the capacity page is written again from docs/capacity.json")
def step_render(context):
    context.page = render_page(read_data())


@when("the capacity page is written with every slope doubled")
def step_render_doubled(context):
    data = read_data()
    slopes = [msgspec.structs.replace(slope, per_unit=slope.per_unit * 2) for slope in data.slopes]
    context.page = render_page(msgspec.structs.replace(data, slopes=slopes))


@then("it equals docs/CAPACITY.md")
def step_equal(context):
    assert context.page == (DOCS / "CAPACITY.md").read_text(encoding="utf-8")


@then("it differs from docs/CAPACITY.md")
def step_differs(context):
    assert context.page != (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
