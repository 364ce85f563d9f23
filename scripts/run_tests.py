"""Runs every feature with behave and ends with a line ``N passed, N failed``.

Each feature file runs in a process of its own, several at a time; what they print is shown in the
order of the files.  With options of behave, or paths, this process runs them itself.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from absl import logging as absl_logging
from behave.configuration import Configuration
from behave.model import ScenarioOutline
from behave.runner import Runner

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
#: Leaves cores to the processes that some features start.
PROCESSES = max(1, (os.cpu_count() or 1) // 2)
KNOWN_MARK = "known red: "
FAILED_MARK = "FAILED: "
CLOSING_LINE = re.compile(r"^(\d+) passed, (\d+) failed$")


@dataclass(frozen=True)
class FeatureRun:
    """What the process of one feature file printed, and how it ended."""

    path: str
    lines: list[str]
    return_code: int

    @property
    def counts(self) -> tuple[int, int]:
        """How many scenarios passed and failed, by the closing line."""
        closing = CLOSING_LINE.match(self.lines[-1]) if self.lines else None
        return (int(closing[1]), int(closing[2])) if closing else (0, 0)

    @property
    def has_closed(self) -> bool:
        """Whether the process told how many scenarios passed and failed."""
        return bool(self.lines) and CLOSING_LINE.match(self.lines[-1]) is not None


def main() -> int:
    """Run the features; return 0 only where nothing failed but what is known to."""
    return run_behave(sys.argv[1:]) if sys.argv[1:] else run_all_features()


def run_all_features() -> int:
    """Run each feature file in a process of its own, and sum up what they tell."""
    paths = sorted(str(path) for path in (ROOT / "features").glob("*.feature"))
    runs = []
    with ThreadPoolExecutor(PROCESSES) as pool:
        for run in pool.map(run_feature, paths):
            print("\n".join(run.lines[:-1] if run.has_closed else run.lines), flush=True)
            runs.append(run)
    for run in runs:
        for line in run.lines:
            if line.startswith((KNOWN_MARK, FAILED_MARK)):
                print(line)
        if not run.has_closed:
            print(f"{FAILED_MARK}{run.path}: its process ended with {run.return_code}")
    passed = sum(run.counts[0] for run in runs)
    print(f"{passed} passed, {sum(run.counts[1] for run in runs)} failed")
    return 1 if not passed or any(run.return_code or not run.has_closed for run in runs) else 0


def run_feature(path: str) -> FeatureRun:
    """Run one feature file, and keep what it prints."""
    process = subprocess.run(
        [sys.executable, __file__, path],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    return FeatureRun(path, process.stdout.splitlines(), process.returncode)


def run_behave(arguments: list[str]) -> int:
    """Run behave with options or paths; return 0 only where nothing failed but what is known to."""
    absl_logging.set_verbosity(absl_logging.ERROR)
    configuration = Configuration(["--format=progress", "--no-capture", *arguments])
    runner = Runner(configuration)
    runner.run()
    scenarios = [scenario for feature in runner.features for scenario in feature.walk_scenarios()]
    scenarios = [item for item in scenarios if not isinstance(item, ScenarioOutline)]
    passed = [item for item in scenarios if item.status.name == "passed"]
    chosen = [item for item in scenarios if item.status.name != "skipped"]
    failed = [item for item in chosen if item.status.name != "passed"]
    known = _known_red()
    unexpected = [item for item in failed if item.name not in known]
    for item in failed:
        mark = KNOWN_MARK if item.name in known else FAILED_MARK
        print(f"{mark}{item.filename}: {item.name}")
        for step in item.all_steps:
            if step.error_message:
                print(f"  {step.keyword} {step.name}\n{step.error_message}")
    sys.stderr.flush()
    print(f"{len(passed)} passed, {len(failed)} failed", flush=True)
    if not passed:
        return 1
    return 1 if unexpected else 0


def _known_red() -> set[str]:
    """Return the names of scenarios that may fail; see the contributors' page."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split("|")[0].strip() for line in lines if line.strip()}


if __name__ == "__main__":
    sys.exit(main())
