"""Cost of the whole path through one entry, against a bare server in the same run.

Prints the rate of each in alternating rounds, their ratio, and the latency that the entry
adds at half of its own rate.  Writes the figures to run/bench-requests.json.
"""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RUN = ROOT / "run"
CONFIG = "deploy/bench/cell.yaml"
BARE = ("127.0.52.1", 23102)
ENTRY = ("127.0.51.1", 23101)
CLIENTS = 3
ROUNDS = 3
SECONDS = 4.0
BODY = json.dumps(
    {"tenant": "bench", "service": "bench", "task_class": "check", "payload": {"nonce": "b"}}
)
STOP_TIMEOUT_SECONDS = 20
RATIO_GOAL = 0.30
P50_GOAL_MS = 2.0
P99_GOAL_MS = 10.0


def start(*command: str) -> subprocess.Popen[bytes]:
    """Start one process of the benchmark."""
    log = (RUN / "bench.log").open("ab")
    return subprocess.Popen([sys.executable, "-m", *command], cwd=ROOT, stdout=log, stderr=log)


def run_clients(address: tuple[str, int], rate: float | None = None) -> list[dict[str, float]]:
    """Measure a server with several client processes at once."""
    host, port = address
    command = [
        sys.executable, "-m", "onyxspoke.cli.load_client",
        "--host", host, "--port", str(port), "--body", BODY, "--seconds", str(SECONDS),
    ]  # fmt: skip
    if rate is not None:
        command += ["--rate", str(rate / CLIENTS)]
    clients = [
        subprocess.Popen([*command, "--seed", str(seed)], cwd=ROOT, stdout=subprocess.PIPE)
        for seed in range(CLIENTS)
    ]
    return [json.loads(client.communicate()[0]) for client in clients]


def rate_of(reports: list[dict[str, float]]) -> float:
    """Return the rate of all clients together."""
    failed = sum(report["failed"] for report in reports)
    if failed:
        raise SystemExit(f"bench: {failed} requests failed; no figure")
    return sum(report["requests_per_second"] for report in reports)


def main() -> int:
    """Run the benchmark."""
    RUN.mkdir(exist_ok=True)
    processes = [
        start("onyxspoke.cli.platform", "--config", CONFIG),
        start("onyxspoke.cli.worker", "--config", CONFIG),
        start("onyxspoke.cli.entry", "--config", CONFIG, "--name", "bench-1"),
        start("onyxspoke.load.bare_server", BARE[0], str(BARE[1])),
    ]
    try:
        waited = [sys.executable, "-m", "onyxspoke.cli.topology", "--config", CONFIG, "wait"]
        subprocess.run(waited, cwd=ROOT, check=True)
        time.sleep(1.0)
        return measure()
    finally:
        # The entry first: its planned stop needs the platform.
        for process in reversed(processes):
            process.terminate()
            process.wait(timeout=STOP_TIMEOUT_SECONDS)


def measure() -> int:
    """Measure rates in turn, then latencies at half the entry's rate."""
    pairs = []
    for _ in range(ROUNDS):
        bare, entry = rate_of(run_clients(BARE)), rate_of(run_clients(ENTRY))
        pairs.append((bare, entry))
        print(f"bare {bare:.0f}/s, entry {entry:.0f}/s, ratio {entry / bare:.3f}")
    ratio = statistics.median(entry / bare for bare, entry in pairs)
    half = statistics.median(entry for _, entry in pairs) / 2
    latencies = [(run_clients(BARE, half), run_clients(ENTRY, half)) for _ in range(ROUNDS)]
    figures = {
        "bare_per_second": statistics.median(bare for bare, _ in pairs),
        "entry_per_second": half * 2,
        "ratio": ratio,
        "half_rate": half,
    }
    for name in ("p50_ms", "p99_ms"):
        figures[f"bare_{name}"] = statistics.median(worst(bare, name) for bare, _ in latencies)
        figures[f"entry_{name}"] = statistics.median(worst(entry, name) for _, entry in latencies)
        figures[f"added_{name}"] = statistics.median(
            worst(entry, name) - worst(bare, name) for bare, entry in latencies
        )
        print(
            f"{name}: "
            + ", ".join(
                f"bare {worst(bare, name):.2f} entry {worst(entry, name):.2f}"
                for bare, entry in latencies
            )
        )
    (RUN / "bench-requests.json").write_text(json.dumps(figures, indent=1))
    print(f"bench-requests: ratio {ratio:.3f} (goal {RATIO_GOAL})")
    print(
        f"bench-requests: at {half:.0f}/s added p50 {figures['added_p50_ms']:.2f} ms"
        f" (goal {P50_GOAL_MS}), p99 {figures['added_p99_ms']:.2f} ms (goal {P99_GOAL_MS})"
    )
    met = (
        ratio >= RATIO_GOAL
        and figures["added_p50_ms"] < P50_GOAL_MS
        and figures["added_p99_ms"] < P99_GOAL_MS
    )
    return 0 if met else 1


def worst(reports: list[dict[str, float]], key: str) -> float:
    """Return the largest of a figure over the clients."""
    return max(report[key] for report in reports)


if __name__ == "__main__":
    sys.exit(main())
