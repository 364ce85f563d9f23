"""Steps about the settings file."""

import subprocess
import sys
import tempfile
from pathlib import Path

import yaml
from behave import given, then, when

from onyxspoke.settings_file import SettingsFileError, load_settings

ROOT = Path(__file__).resolve().parents[2]


def deployment_path(name):
    return ROOT / "deploy" / name / "cell.yaml"


def write_settings(text):
    path = Path(tempfile.mkdtemp()) / "cell.yaml"
    path.write_text(text, encoding="utf-8")
    return path


def run_entry(*arguments):
    command = [sys.executable, "-m", "onyxspoke.cli.entry", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@when('the shipped deployment "{name}" is checked')
def step_check_shipped(context, name):
    try:
        load_settings(deployment_path(name))
        context.faults = []
    except SettingsFileError as error:
        context.faults = error.faults


@then("no fault is named")
def step_no_fault(context):
    assert context.faults == [], context.faults


@given('the shipped deployment "{name}" with these changes')
def step_changed(context, name):
    document = yaml.safe_load(deployment_path(name).read_text(encoding="utf-8"))
    for row in context.table:
        target = document
        *parents, last = [int(part) if part.isdigit() else part for part in row["key"].split(".")]
        for part in parents:
            target = target[part]
        target[last] = row["value"]
    context.path = write_settings(yaml.safe_dump(document))


@given('a settings file that holds "{text}"')
def step_raw(context, text):
    context.path = write_settings(text)


@when("it is checked by the entry program")
def step_check(context):
    context.result = run_entry("--check", "--config", str(context.path))


@when("the entry program is started for an entry that does not exist")
def step_unknown_entry(context):
    path = str(deployment_path("klimaplan"))
    context.result = run_entry("--config", path, "--name", "nobody")


@then("the exit code is {code:d}")
def step_exit_code(context, code):
    assert context.result.returncode == code, context.result


@then('the output names "{text}"')
def step_output(context, text):
    assert text in context.result.stderr, context.result.stderr
