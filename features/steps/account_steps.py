"""Steps for the account of where the time of jobs went."""

import io
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from onyxspoke.account.jobs import account_for
from onyxspoke.account.phases import Phase
from onyxspoke.account.trails import read_trails

CLOSE_SECONDS = 0.005


@given("the logs of several nodes")
def _logs(context):
    context.log_text = context.text


@when("they are accounted for")
def _account(context):
    context.trails = read_trails(io.StringIO(context.log_text))
    context.accounts = {account.job_id: account for account in account_for(context.trails)}


@then('job "{job_id}" was "{outcome}"')
def _outcome(context, job_id, outcome):
    context.account = context.accounts[job_id]
    assert context.account.outcome.value == outcome, context.account


@then('what cost it most beyond what it should have was "{phase}", by {seconds:f} s')
def _cause(context, phase, seconds):
    account = context.account
    assert account.worst_phase is Phase(phase), account
    assert abs(account.excess[Phase(phase)] - seconds) < CLOSE_SECONDS, account


@then("its objective was {seconds:f} s")
def _objective(context, seconds):
    assert abs(context.account.objective_seconds - seconds) < CLOSE_SECONDS, context.account


@then("it was refused {count:d} times")
def _refusals(context, count):
    assert context.account.refusals == count, context.account


@then("its seconds are")
def _seconds(context):
    expected = {Phase(name): float(context.table[0][name]) for name in context.table.headings}
    found = context.account.phases
    for phase, seconds in expected.items():
        assert abs(found[phase] - seconds) < CLOSE_SECONDS, found
    assert abs(sum(found.values()) - context.account.seconds) < CLOSE_SECONDS * len(found)


@then("{count:d} line broke off")
def _broke_off(context, count):
    assert context.trails.unreadable == count


@then("{count:d} lines were left out")
def _left_out(context, count):
    assert context.trails.dropped == count


@when("an operator asks for their account")
def _command(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "nodes.log"
        path.write_text(context.log_text, encoding="utf-8")
        context.answer = subprocess.run(
            [sys.executable, "-m", "onyxspoke.cli.control", "account", str(path)],
            capture_output=True,
            text=True,
            check=False,
        )


@then('the answer names "{first}", "{second}" and "{third}"')
def _names(context, first, second, third):
    assert context.answer.returncode == 0, context.answer.stderr
    for name in (first, second, third):
        assert name in context.answer.stdout, context.answer.stdout


@then('the command fails and says "{text}"')
def _fails(context, text):
    assert context.answer.returncode != 0
    assert text in context.answer.stderr, context.answer.stderr
