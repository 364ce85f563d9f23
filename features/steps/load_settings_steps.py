"""Steps for a node's load settings."""

import subprocess
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace

from behave import given, then, when
from node_tools_steps import SETTINGS_WITHOUT_RATES

from onyxspoke.cli.node import reload_settings
from onyxspoke.cli.node_settings import SettingsFiles, describe_load_options
from onyxspoke.core.shard.load_options import LoadOptions
from onyxspoke.node.load_settings import apply_load_settings
from onyxspoke.node.settings import SettingsError
from onyxspoke.platform.settings import parse_settings

ROOT = Path(__file__).resolve().parents[2]


def _settings(line):
    return parse_settings(f"{SETTINGS_WITHOUT_RATES}\n{line}").node


@when('a node reads its settings with the line "{line}"')
@when('a node reads its settings with the line ""')
def _read_rules(context, line=""):
    context.node_settings = _settings(line)


@then("admission control is {state}, and all other load options have their defaults")
def _refusal(context, state):
    expected = LoadOptions(admission=state == "on")
    assert context.node_settings.shard_options.load == expected, context.node_settings


@given("a node's settings with competing callers")
def _settings_with_contending_callers(context):
    context.node_settings = _settings("contracts=base,pressure")


def _override(context, path):
    context.load_faults = None
    context.load_path = path
    try:
        context.node_settings = apply_load_settings(context.node_settings, path)
    except SettingsError as error:
        context.load_faults, context.load_code = error.faults, int(error.code)


def _override_by_text(context, text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "load.yaml"
        path.write_text(text, encoding="utf-8")
        _override(context, path)


@when("this file overrides them")
def _override_text(context):
    _override_by_text(context, context.text)


@when('the file "{name}" overrides them')
def _override_named(context, name):
    _override(context, ROOT / name)


@when("the file '{text}' overrides them")
@when("the file '' overrides them")
def _override_quoted(context, text=""):
    _override_by_text(context, text.replace("\\n", "\n").replace("{zeros}", "0" * 400))


@when("the file missing overrides them")
def _override_missing(context):
    _override(context, ROOT / "no-such-file.yaml")


@then('the load options are "{words}"')
def _under_load(context, words):
    assert context.load_faults is None, context.load_faults
    assert describe_load_options(context.node_settings) == words


@then("the file is rejected with code {code:d} and the errors {faults}")
def _refused(context, code, faults):
    assert context.load_code == code
    expected = faults.split("; ")
    assert len(context.load_faults) == len(expected), context.load_faults
    for fault, start in zip(context.load_faults, expected, strict=True):
        assert fault.startswith(f"{context.load_path}: {start}"), fault


@when("the node's program checks its settings and the file '{text}'")
def _check(context, text):
    with tempfile.TemporaryDirectory() as folder:
        config, load = Path(folder) / "boot.conf", Path(folder) / "load.yaml"
        config.write_text(SETTINGS_WITHOUT_RATES, encoding="utf-8")
        load.write_text(text, encoding="utf-8")
        arguments = ["--config", config, "--load-settings", load, "--check"]
        context.ended = _run_python("-m", "onyxspoke.cli.node", *arguments)


@then('the program exits with {code:d} and prints "{words}"')
def _ended(context, code, words):
    assert context.ended.returncode == code, context.ended
    assert words in context.ended.stdout + context.ended.stderr, context.ended


@given("a node that runs with these settings and the file '{text}'")
def _running(context, text):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.files = SettingsFiles(Path(folder.name) / "boot.conf", Path(folder.name) / "load.yaml")
    _write_files(context, text, "")
    context.running = SimpleNamespace(settings=context.files.read().node)


def _write_files(context, text, seeds):
    config = f"{SETTINGS_WITHOUT_RATES}\nseeds={seeds}"
    context.files.platform.write_text(config, encoding="utf-8")
    context.files.load.write_text(text, encoding="utf-8")


@when("the file is changed to '{text}', a seed is added, and the node reloads its settings")
def _read_again(context, text):
    context.previous_seeds = context.running.settings.seeds
    context.seed = f"10.1.0.{len(context.previous_seeds) + 20}"
    _write_files(context, text, ",".join(f"{seed}:1" for seed in _all_seeds(context)))
    reload_settings(context.running, context.files)


def _all_seeds(context):
    return (*context.previous_seeds, context.seed)


@then("the node has the new seed, and admission control is still on")
def _new_seed(context):
    assert context.running.settings.seeds == _all_seeds(context)
    assert context.running.settings.shard_options.load.admission


@then("the node has the previous seed, and admission control is still on")
def _has_previous_seed(context):
    assert context.running.settings.seeds == context.previous_seeds
    assert context.running.settings.shard_options.load.admission


@when("the modules of the node's program are loaded")
def _load_modules(context):
    context.ended = _run_python("-c", "import sys, onyxspoke.cli.node; print(*sys.modules)")
    assert context.ended.returncode == 0, context.ended


@then('neither "{first}" nor "{second}" is among them')
def _not_loaded(context, first, second):
    assert not {first, second} & set(context.ended.stdout.split())


def _run_python(*arguments):
    command = [sys.executable, *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
