"""Helper of the run scripts: names the parts of a deployment, and waits until it is up."""

from __future__ import annotations

import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

import msgspec

from onyxspoke.cli.common import load_or_exit, make_parser
from onyxspoke.core.codes import ExitCode
from onyxspoke.settings_file import CellSettings, EntrySettings

WAIT_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.1
REQUEST_TIMEOUT_SECONDS = 1.0


class OwnershipReply(msgspec.Struct):
    """The part of an entry's status that tells whether it is up."""

    active_workers: int
    connected_peers: int


_decoder = msgspec.json.Decoder(OwnershipReply)


def main() -> None:
    """Run the program."""
    parser = make_parser("onyxspoke.cli.topology", "Name the parts of a deployment.")
    parser.add_argument("--config", type=Path, required=True)
    parser.add_argument("what", choices=["zones", "entries", "wait", "recover"])
    arguments = parser.parse_args()
    settings = load_or_exit(arguments.config)
    if arguments.what == "zones":
        print(*settings.zones)
    elif arguments.what == "entries":
        print(*(entry.name for entry in settings.entries))
    elif arguments.what == "wait":
        sys.exit(ExitCode.OK if wait_until_up(settings) else ExitCode.UNREACHABLE)
    else:
        began = time.monotonic()
        recovered = wait_until_recovered(settings)
        print(f"{time.monotonic() - began:.1f}" if recovered else "never")


def wait_until_up(settings: CellSettings) -> bool:
    """Wait until every worker is owned and every entry sees all peers."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if _is_up(settings):
            return True
        time.sleep(POLL_INTERVAL_SECONDS)
    return False


def wait_until_recovered(settings: CellSettings) -> bool:
    """Wait until the entries that answer own and have attached every worker."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        statuses = [_read_status(entry) for entry in settings.entries]
        active = sum(status.active_workers for status in statuses if status is not None)
        if active == len(settings.machines()):
            return True
        time.sleep(POLL_INTERVAL_SECONDS)
    return False


def _read_status(entry: EntrySettings) -> OwnershipReply | None:
    url = f"http://{entry.host}:{entry.http_port}/v1/status"
    try:
        with urllib.request.urlopen(url, timeout=REQUEST_TIMEOUT_SECONDS) as response:
            return _decoder.decode(response.read())
    except (urllib.error.URLError, OSError):
        return None


def _is_up(settings: CellSettings) -> bool:
    active_workers = 0
    for entry in settings.entries:
        status = _read_status(entry)
        if status is None or status.connected_peers < len(settings.entries) - 1:
            return False
        active_workers += status.active_workers
    return active_workers == len(settings.machines())


if __name__ == "__main__":
    main()
