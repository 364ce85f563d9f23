"""Runs every feature with behave and ends with a line ``N passed, N failed``.

The features run in several processes, one feature file at a time in each; what they print is shown
in the order of the files.  Options of behave, or paths, may be given; then one process runs all.
"""

from __future__ import annotations

import contextlib
import io
import multiprocessing
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

from absl import logging as absl_logging
from behave.configuration import Configuration
from behave.model import Scenario, ScenarioOutline
from behave.runner import Runner

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
#: Leaves cores to the processes that some features start.
PROCESSES = max(1, (os.cpu_count() or 1) // 2)


@dataclass(frozen=True)
class Failure:
    """A scenario that did not pass, and the texts of its steps' errors."""

    filename: str
    name: str
    errors: list[str]


@dataclass
class Outcome:
    """What came of one run of behave."""

    passed: int = 0
    failures: list[Failure] = field(default_factory=list)
    output: str = ""


def main() -> int:
    """Run the features; return 0 only where nothing failed but what is known to."""
    outcomes = [run_behave(sys.argv[1:])] if sys.argv[1:] else run_all_features()
    known = _known_red()
    failures = [failure for outcome in outcomes for failure in outcome.failures]
    for failure in failures:
        mark = "known red" if failure.name in known else "FAILED"
        print(f"{mark}: {failure.filename}: {failure.name}")
        print("\n".join(failure.errors))
    passed = sum(outcome.passed for outcome in outcomes)
    print(f"{passed} passed, {len(failures)} failed")
    has_unexpected = any(failure.name not in known for failure in failures)
    return 1 if has_unexpected or not passed else 0


def run_all_features() -> list[Outcome]:
    """Run each feature file in a process of its own, several at a time."""
    paths = sorted(str(path) for path in (ROOT / "features").glob("*.feature"))
    outcomes = []
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(PROCESSES, mp_context=context, max_tasks_per_child=1) as pool:
        for outcome in pool.map(run_quietly, [[path] for path in paths]):
            print(outcome.output, end="", flush=True)
            outcomes.append(outcome)
    return outcomes


def run_quietly(arguments: list[str]) -> Outcome:
    """Run behave, and keep what it prints."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        outcome = run_behave(arguments)
    outcome.output = output.getvalue()
    return outcome


def run_behave(arguments: list[str]) -> Outcome:
    """Run behave with options or paths."""
    absl_logging.set_verbosity(absl_logging.ERROR)
    configuration = Configuration(["--format=progress", "--no-capture", *arguments])
    runner = Runner(configuration)
    runner.run()
    scenarios = [scenario for feature in runner.features for scenario in feature.walk_scenarios()]
    scenarios = [item for item in scenarios if not isinstance(item, ScenarioOutline)]
    chosen = [item for item in scenarios if item.status.name != "skipped"]
    failed = [item for item in chosen if item.status.name != "passed"]
    return Outcome(len(chosen) - len(failed), [_describe(item) for item in failed])


def _describe(scenario: Scenario) -> Failure:
    errors = [
        f"  {step.keyword} {step.name}\n{step.error_message}"
        for step in scenario.all_steps
        if step.error_message
    ]
    return Failure(scenario.filename, scenario.name, errors)


def _known_red() -> set[str]:
    """Return the names of scenarios that may fail; see the contributors' page."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split("|")[0].strip() for line in lines if line.strip()}


if __name__ == "__main__":
    sys.exit(main())
