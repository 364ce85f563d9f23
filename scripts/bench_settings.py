"""Two operators race on the settings of a running cell, through kills and outages.

Real processes. Every change is accounted for by its verdict or, where the answer was lost, by
the history of the tree. Prints counts and the time from accepted to in force everywhere.
"""

from __future__ import annotations

import json
import random
import signal
import statistics
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request
from collections import Counter
from pathlib import Path

from onyxspoke.settings_file import load_settings

ROOT = Path(__file__).resolve().parent.parent
RUN = ROOT / "run" / "bench-settings"
CONFIG = ROOT / "deploy" / "klimaplan" / "cell.yaml"
CHANGES = 1_000
OPERATORS = 2
KEYS = ("task.priority", "task.patience_seconds")
PATHS = ("zahorie", "zahorie/hala-sever", "zahorie/hala-juh/klimaplan")
ANSWER_TIMEOUT_SECONDS = 10.0
IN_FORCE_GOAL_SECONDS = 11.0
ACCEPTED, CONFLICT = 100, 500


class Cell:
    """The processes of the run."""

    def __init__(self) -> None:
        RUN.mkdir(parents=True, exist_ok=True)
        self.entries = self.topology("entries")
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.start("platform", "platform")
        self.start("workers", "worker")
        for name in self.entries:
            self.start_entry(name)
        subprocess.run([*self.command("topology"), "wait"], check=True)

    def command(self, module: str) -> list[str]:
        """Return the command line of a program of the cell."""
        return [sys.executable, "-m", f"onyxspoke.cli.{module}", "--config", str(CONFIG)]

    def topology(self, what: str) -> list[str]:
        """Return names of the deployment's parts."""
        output = subprocess.run(
            [*self.command("topology"), what], check=True, capture_output=True, text=True
        )
        return output.stdout.split()

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start one process."""
        log = (RUN / f"{name}.log").open("ab")
        command = [*self.command(module), *arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def start_entry(self, name: str) -> None:
        """Start one entry."""
        self.start(name, "entry", "--name", name)

    def stop(self) -> None:
        """Stop everything, entries first."""
        for name in [*self.entries, "workers", "platform"]:
            process = self.processes[name]
            process.terminate()
            try:
                process.wait(timeout=20)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def call(address: str, path: str, body: object = None) -> object:
    """Call an entry's API; a coded error is an answer too."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data)
    try:
        with urllib.request.urlopen(request, timeout=ANSWER_TIMEOUT_SECONDS) as response:
            return json.load(response)
    except urllib.error.HTTPError as error:
        return json.load(error)


class Operator(threading.Thread):
    """Makes changes one after the other through random entries."""

    def __init__(self, name: str, addresses: list[str], changes: int) -> None:
        super().__init__(name=name)
        self._addresses = addresses
        self._changes = changes
        self._random = random.Random(name)
        self.outcomes: dict[str, int] = {}
        self.accepted: dict[str, tuple[str, str, int]] = {}

    def run(self) -> None:
        """Make all changes."""
        for number in range(self._changes):
            path, key = self._random.choice(PATHS), self._random.choice(KEYS)
            change_id = f"{self.name}-{number}"
            change = {"path": path, "key": key, "value": self._random.choice([0, 1, 2])}
            if key == "task.patience_seconds":
                change["value"] = self._random.randint(1, 60)
            body = {"change_id": change_id, "operator": self.name, "changes": [change]}
            try:
                answer = call(self._random.choice(self._addresses), "/v1/settings", body)
            except OSError:
                self.outcomes[change_id] = 0  # No answer; the history tells what came of it.
                continue
            assert isinstance(answer, dict)
            self.outcomes[change_id] = answer["code"]
            if answer["code"] == ACCEPTED:
                self.accepted[change_id] = (path, key, answer["revision"])


def disturb(cell: Cell) -> None:
    """Kill and restart entries, and take the log away, while the operators work."""
    for name in (cell.entries[0], cell.entries[-1]):
        time.sleep(3.0)
        cell.processes[name].kill()
        time.sleep(2.0)
        cell.start_entry(name)
    for switch in (signal.SIGUSR1, signal.SIGUSR2):
        time.sleep(3.0)
        cell.processes["platform"].send_signal(switch)
        time.sleep(3.0)
        cell.processes["platform"].send_signal(switch)


def main() -> int:
    """Run the benchmark."""
    settings = load_settings(CONFIG)
    addresses = [f"{entry.host}:{entry.http_port}" for entry in settings.entries]
    cell = Cell()
    try:
        operators = [
            Operator(f"operator-{index}", addresses, CHANGES // OPERATORS)
            for index in range(OPERATORS)
        ]
        began = time.monotonic()
        for operator in operators:
            operator.start()
        disturb(cell)
        for operator in operators:
            operator.join()
        elapsed = time.monotonic() - began
        time.sleep(8.0)
        return judge(operators, addresses, elapsed)
    finally:
        cell.stop()


def judge(operators: list[Operator], addresses: list[str], elapsed: float) -> int:
    """Compare what operators were told with every entry's tree and history."""
    trees = [call(address, "/v1/settings") for address in addresses]
    history = call(addresses[2], "/v1/settings/history")
    assert isinstance(history, list) and isinstance(trees[0], list)
    final = {(item["path"], item["key"]): item["revision"] for item in trees[0]}
    folded = {item["change_id"] for item in history}
    accepted = {name: item for each in operators for name, item in each.accepted.items()}
    outcomes = {name: code for each in operators for name, code in each.outcomes.items()}
    counts = Counter(outcomes.values())
    unanswered = [name for name, code in outcomes.items() if code not in (ACCEPTED, CONFLICT)]
    resolved = sum(name in folded for name in unanswered)
    reverted = sum(
        name not in folded or final.get((path, key), 0) < revision
        for name, (path, key, revision) in accepted.items()
    )
    unaccounted = CHANGES - len(outcomes)
    differing = sum(tree != trees[0] for tree in trees)
    statuses = [call(address, "/v1/settings/status") for address in addresses]
    p50 = statistics.median(status["in_force_p50_ms"] for status in statuses)  # type: ignore[index]
    p99 = max(status["in_force_p99_ms"] for status in statuses)  # type: ignore[index]
    worst = max(status["in_force_max_ms"] for status in statuses)  # type: ignore[index]
    print(
        f"bench-settings: {CHANGES} changes in {elapsed:.1f} s, {counts[ACCEPTED]} accepted,"
        f" {counts[CONFLICT]} conflicts, {len(unanswered)} without a verdict (of these"
        f" {resolved} accepted by the history), {reverted} reverted, {unaccounted} unaccounted,"
        f" {differing} entries differ"
    )
    print(
        f"bench-settings: in force everywhere p50 {p50:.0f} ms, p99 {p99:.0f} ms,"
        f" max {worst:.0f} ms"
    )
    figures = {
        "accepted": counts[ACCEPTED], "conflicts": counts[CONFLICT], "reverted": reverted,
        "without_verdict": len(unanswered), "unaccounted": unaccounted, "differing": differing,
        "in_force_p50_ms": p50, "in_force_p99_ms": p99, "in_force_max_ms": worst,
    }  # fmt: skip
    (RUN / "figures.json").write_text(json.dumps(figures, indent=1))
    in_time = worst <= IN_FORCE_GOAL_SECONDS * 1000
    return 0 if in_time and not (reverted or unaccounted or differing) else 1


if __name__ == "__main__":
    sys.exit(main())
