"""Measures the slopes of cost on this machine and writes docs/capacity.json.

Real processes on loopback: one entry with its HTTP front, beside hollow entries (many to a
process) and hollow workers (many to a process).  Usage: scale.py [small|full].
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import msgspec
import yaml

from onyxspoke.scale.decision_cost import measure_decisions, measure_fold
from onyxspoke.scale.page import CapacityData, write_page
from onyxspoke.scale.plots import plot_slopes
from onyxspoke.scale.slopes import Point, Slope, fit
from onyxspoke.scale.state_cost import BUILDERS, StateCost

ROOT = Path(__file__).resolve().parent.parent
RUN = ROOT / "run" / "scale"
DATA_FILE = ROOT / "docs" / "capacity.json"
PAGE_FILE = ROOT / "docs" / "CAPACITY.md"
PLOT_FILE = ROOT / "docs" / "capacity.png"
REAL = ("127.1.0.1", 24101)
PLATFORM_PORT = 24000
HOLLOW_A_PROCESS = 20
#: Enough that the real entry owns some, whatever the hash says.
WORKERS_AN_ENTRY = 8
UP_TIMEOUT_SECONDS = 60.0
BODY = json.dumps(
    {"tenant": "t", "service": "s", "task_class": "c", "payload": {"nonce": "n", "work_ms": 20}}
)

STEPS = {
    "small": {"entries": [3, 10], "workers": [24, 200], "rates": [0, 100], "seconds": 1.5},
    "full": {
        "entries": [3, 7, 14, 28, 56, 84],
        "workers": [24, 100, 300, 600, 1200],
        "rates": [0, 50, 100, 200, 400],
        "seconds": 8.0,
    },
}


class Cell:
    """The processes of one step."""

    def __init__(self, entries: int, workers: int) -> None:
        RUN.mkdir(parents=True, exist_ok=True)
        self.entries = entries
        self.workers = workers
        self.config = RUN / f"cell-{entries}-{workers}.yaml"
        self.config.write_text(yaml.safe_dump(make_settings(entries, workers)))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.hollow: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> Cell:
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start_all(self) -> None:
        self.start("platform")
        self.start("worker")
        self.real = self.start("entry", "--name", "entry-0")
        for first in range(1, self.entries, HOLLOW_A_PROCESS):
            count = min(HOLLOW_A_PROCESS, self.entries - first)
            arguments = ("--first", str(first), "--count", str(count))
            self.hollow.append(self.start("hollow_entries", *arguments))
        self.wait_until_up()

    def __exit__(self, *_exception: object) -> None:
        # Nothing here needs a planned stop; the next step only waits for the ports.
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()

    def start(self, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Start one process."""
        log = (RUN / f"{module}.log").open("ab")
        command = [sys.executable, "-m", f"onyxspoke.cli.{module}", "--config", str(self.config)]
        process = subprocess.Popen([*command, *arguments], cwd=ROOT, stdout=log, stderr=log)
        self.processes.append(process)
        return process

    def status(self) -> dict[str, float]:
        """Return the status of the real entry."""
        url = f"http://{REAL[0]}:{REAL[1]}/v1/status"
        with urllib.request.urlopen(url, timeout=10) as response:
            status: dict[str, float] = json.load(response)
        return status

    def wait_until_up(self, owned_at_least: int = 1) -> None:
        """Wait until the real entry sees every peer and has attached its workers."""
        deadline = time.monotonic() + UP_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            try:
                status = self.status()
            except OSError:
                time.sleep(0.2)
                continue
            settled = status["active_workers"] == status["owned_workers"] >= owned_at_least
            if settled and status["connected_peers"] >= self.entries - 1:
                time.sleep(1.0)
                return
            time.sleep(0.1)
        raise SystemExit(f"scale: {self.entries} entries, {self.workers} workers did not come up")


def make_settings(entries: int, workers: int) -> dict[str, object]:
    """Return the settings of a step: one zone, where every entry may own every worker."""
    capacity = {"processors": 64, "memory_mb": 131072, "slots": 64, "connections": 512}
    return {
        "cell": "scale",
        "zones": {"z": {"region": "r"}},
        "platform": {
            "host": "127.0.0.1",
            "port": PLATFORM_PORT,
            "appends_per_second": 1000,
            "append_delay_ms": 1,
        },
        "entries": [
            {
                "name": f"entry-{index}",
                "zone": "z",
                "host": f"127.1.{index // 200}.{index % 200 + 1}",
                "http_port": 24101,
                "peer_port": 24201,
            }
            for index in range(entries)
        ],
        "workers": [
            {
                "zone": "z",
                "rack": "rack",
                "generation": "g",
                "count": workers,
                "host": "127.2.0.1",
                "first_port": 25000,
                "capacity": capacity,
            }
        ],
        "tenants": ["t"],
        "services": {
            "s": {
                "classes": {
                    "c": {
                        "resources": {"processors": 1, "memory_mb": 256},
                        "patience_seconds": 5,
                    }
                }
            }
        },
    }


class Usage:
    """What the real entry has used so far."""

    def __init__(self, cell: Cell) -> None:
        fields = Path(f"/proc/{cell.real.pid}/stat").read_text().rsplit(")", 1)[1].split()
        self.resident_mb = int(fields[21]) * 4096 / 1e6
        status = cell.status()
        self.cpu_seconds = status["cpu_seconds"]
        self.bytes = status["stream_bytes_received"] + status["stream_bytes_sent"]
        self.offset = status["applied_offset"]
        self.owned = status["owned_workers"]
        self.at = time.monotonic()


class Step:
    """Costs of the real entry over a time."""

    def __init__(self, cell: Cell, seconds: float) -> None:
        before = Usage(cell)
        time.sleep(seconds)
        after = Usage(cell)
        elapsed = after.at - before.at
        self.cpu_percent = 100 * (after.cpu_seconds - before.cpu_seconds) / elapsed
        self.kilobytes_per_second = (after.bytes - before.bytes) / elapsed / 1000
        self.batches_per_second = (after.offset - before.offset) / elapsed
        self.resident_mb = after.resident_mb
        self.owned = after.owned


def measure_processes(steps: dict[str, object]) -> tuple[list[Slope], float]:
    """Run every step; return the slopes of the real entry's costs and the takeover time."""
    takeover = 0.0
    seconds = float(str(steps["seconds"]))
    entry_counts = [int(str(count)) for count in list(steps["entries"])]  # type: ignore[call-overload]
    worker_counts = [int(str(count)) for count in list(steps["workers"])]  # type: ignore[call-overload]
    rates = [float(str(rate)) for rate in list(steps["rates"])]  # type: ignore[call-overload]
    by_entries: list[tuple[int, Step]] = []
    by_workers: list[tuple[float, Step]] = []
    for entries in entry_counts:
        with Cell(entries, max(worker_counts[0], WORKERS_AN_ENTRY * entries)) as cell:
            step = Step(cell, seconds)
        by_entries.append((entries, step))
        print_step(f"entries {entries}", step)
        if entries == entry_counts[0]:
            by_workers.append((step.owned, step))
    for workers in worker_counts[1:]:
        with Cell(entry_counts[0], workers) as cell:
            step = Step(cell, seconds)
            by_workers.append((step.owned, step))
            print_step(f"workers {workers} (owned {step.owned})", step)
            if workers == worker_counts[-1]:
                takeover = measure_takeover(cell)
    slopes = [
        fit("idle CPU by entries", "entry", "% of a core",
            [Point(size=size, cost=step.cpu_percent) for size, step in by_entries]),
        fit("control traffic by entries", "entry", "KB/s",
            [Point(size=size, cost=step.kilobytes_per_second) for size, step in by_entries]),
        fit("appended batches by entries", "entry", "batches/s",
            [Point(size=size, cost=step.batches_per_second) for size, step in by_entries]),
        fit("idle CPU by owned workers", "owned worker", "% of a core",
            [Point(size=size, cost=step.cpu_percent) for size, step in by_workers]),
        fit("resident memory by owned workers", "owned worker", "MB",
            [Point(size=size, cost=step.resident_mb) for size, step in by_workers]),
    ]  # fmt: skip
    return [*slopes, *measure_load(rates, worker_counts[0], seconds)], takeover


def measure_load(rates: list[float], workers: int, seconds: float) -> list[Slope]:
    """Measure the real entry at growing rates of task starts."""
    cpu: list[Point] = []
    memory: list[Point] = []
    with Cell(1, workers) as cell:
        for rate in rates:
            client = start_client(rate, seconds) if rate else None
            time.sleep(1.0)
            step = Step(cell, seconds)
            if client is not None:
                client.wait()
            print_step(f"rate {rate:g}/s", step)
            cpu.append(Point(size=rate, cost=step.cpu_percent))
            memory.append(Point(size=rate, cost=step.resident_mb))
    return [
        fit("CPU by task starts", "start/s", "% of a core", cpu),
        fit("resident memory by task starts", "start/s", "MB", memory),
    ]


def start_client(rate: float, seconds: float) -> subprocess.Popen[bytes]:
    """Start a client that submits at a rate for a while."""
    command = [
        sys.executable, "-m", "onyxspoke.cli.load_client",
        "--host", REAL[0], "--port", str(REAL[1]),
        "--body", BODY, "--rate", str(rate), "--seconds", str(seconds + 1),
    ]  # fmt: skip
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)


def measure_takeover(cell: Cell) -> float:
    """Kill all hollow entries and return the seconds until the real one has every worker."""
    for process in cell.hollow:
        process.kill()
    began = time.monotonic()
    while cell.status()["active_workers"] < cell.workers:
        time.sleep(0.05)
        if time.monotonic() - began > UP_TIMEOUT_SECONDS:
            raise SystemExit("scale: the takeover did not end")
    return time.monotonic() - began


def measure_state() -> list[Slope]:
    """Return the memory of each kind of state."""
    counts = ["500", "1000", "2000", "4000"]
    command = [sys.executable, "-m", "onyxspoke.scale.state_cost"]
    running = [
        subprocess.Popen([*command, kind, *counts], cwd=ROOT, stdout=subprocess.PIPE)
        for kind in BUILDERS
    ]
    slopes = []
    for process in running:
        result = msgspec.json.decode(process.communicate()[0], type=StateCost)
        name = f"memory by {result.kind}s"
        slopes.append(fit(name, result.kind, "KiB", result.points))
    return slopes


def print_step(name: str, step: Step) -> None:
    """Print the costs of one step."""
    print(
        f"{name}: cpu {step.cpu_percent:.2f}%, {step.kilobytes_per_second:.2f} KB/s,"
        f" {step.batches_per_second:.1f} batches/s, {step.resident_mb:.1f} MB",
        flush=True,
    )


def main() -> int:
    """Measure; the full run also writes the page."""
    size = sys.argv[1] if len(sys.argv) > 1 else "full"
    steps: dict[str, object] = dict(STEPS[size])
    process_slopes, takeover = measure_processes(steps)
    slopes = [*measure_state(), *process_slopes, *measure_decisions(), *measure_fold()]
    entry_counts, worker_counts = STEPS[size]["entries"], STEPS[size]["workers"]
    assert isinstance(entry_counts, list) and isinstance(worker_counts, list)
    data = CapacityData(
        slopes=slopes, takeover_seconds=takeover, takeover_workers=worker_counts[-1],
        largest_entries=entry_counts[-1], largest_workers=worker_counts[-1],
    )  # fmt: skip
    for slope in slopes:
        print(slope.summary())
    print(f"takeover: {worker_counts[-1]} workers at the one entry left after {takeover:.1f} s")
    print(f"stopped at {entry_counts[-1]} entries, {worker_counts[-1]} workers ({size} steps)")
    if size == "full":
        DATA_FILE.write_bytes(msgspec.json.format(msgspec.json.encode(data)) + b"\n")
        write_page(data, PAGE_FILE)
        plot_slopes(data, PLOT_FILE)
    return 0


if __name__ == "__main__":
    sys.exit(main())
