"""Steps for the reports on how jobs spent their time."""

import io
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from onyxspoke.account.job_history import read_history
from onyxspoke.account.jobs import build_job_reports
from onyxspoke.account.phases import Phase

CLOSE_SECONDS = 0.005


@given("the logs of several nodes")
def _logs(context):
    context.log_text = context.text


@when("the logs are analyzed")
def _account(context):
    context.history = read_history(io.StringIO(context.log_text))
    context.reports = {report.job_id: report for report in build_job_reports(context.history)}


@then('job "{job_id}" was "{outcome}"')
def _outcome(context, job_id, outcome):
    context.report = context.reports[job_id]
    assert context.report.outcome.value == outcome, context.report


@then('the phase that exceeded its expected time most was "{phase}", by {seconds:f} s')
def _cause(context, phase, seconds):
    report = context.report
    assert report.largest_excess_phase is Phase(phase), report
    assert abs(report.excess_seconds[Phase(phase)] - seconds) < CLOSE_SECONDS, report


@then("the objective of the job was {seconds:f} s")
def _objective(context, seconds):
    assert abs(context.report.objective_seconds - seconds) < CLOSE_SECONDS, context.report


@then("the job was refused {count:d} times")
def _refusals(context, count):
    assert context.report.refusals == count, context.report


@then("the seconds by phase are")
def _seconds(context):
    expected_seconds = {
        Phase(name): float(context.table[0][name]) for name in context.table.headings
    }
    seconds_by_phase = context.report.seconds_by_phase
    for phase, seconds in expected_seconds.items():
        assert abs(seconds_by_phase[phase] - seconds) < CLOSE_SECONDS, seconds_by_phase
    assert abs(sum(seconds_by_phase.values()) - context.report.seconds) < CLOSE_SECONDS * len(
        seconds_by_phase
    )


@then("{count:d} line was truncated")
def _broke_off(context, count):
    assert context.history.unreadable_lines == count


@then("{count:d} lines were dropped")
def _left_out(context, count):
    assert context.history.dropped_lines == count


@when("an operator runs the account command on the logs")
def _command(context):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "nodes.log"
        path.write_text(context.log_text, encoding="utf-8")
        context.command_result = subprocess.run(
            [sys.executable, "-m", "onyxspoke.cli.control", "account", str(path)],
            capture_output=True,
            text=True,
            check=False,
        )


@then('the command succeeds and prints "{first}", "{second}" and "{third}"')
def _prints(context, first, second, third):
    assert context.command_result.returncode == 0, context.command_result.stderr
    for name in (first, second, third):
        assert name in context.command_result.stdout, context.command_result.stdout


@then('the command fails and says "{text}"')
def _fails(context, text):
    assert context.command_result.returncode != 0
    assert text in context.command_result.stderr, context.command_result.stderr
