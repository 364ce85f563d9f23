"""Steps that check the result codes and their documentation."""

import re
from pathlib import Path

from behave import then, when

from onyxspoke.core.codes import CODE_DESCRIPTIONS, ResultCode, http_status, outcome_of

CODES_PAGE = Path(__file__).resolve().parents[2] / "docs" / "CODES.md"
ROW = re.compile(r"^\| (\d+) \| `(\w+)` \| (\w+) \| (\d+) \| (.+) \|$")


@when("the table of docs/CODES.md is read")
def step_read(context):
    lines = CODES_PAGE.read_text(encoding="utf-8").splitlines()
    context.rows = [match.groups() for line in lines if (match := ROW.match(line))]


@then("the table lists exactly the result codes of the program, with their outcomes and statuses")
def step_match(context):
    expected = [
        (
            str(int(code)),
            code.name,
            outcome_of(code).value,
            str(http_status(code)),
            CODE_DESCRIPTIONS[code],
        )
        for code in ResultCode
    ]
    assert context.rows == expected, set(expected) ^ set(context.rows)


@then('codes from {low:d} to {high:d} have the outcome "{outcome}"')
def step_outcome(context, low, high, outcome):
    found = [code for code in ResultCode if low <= code <= high]
    assert found
    assert all(outcome_of(code).value == outcome for code in found)
