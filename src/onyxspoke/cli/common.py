"""What the binaries of a cell share: its checked settings file."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from onyxspoke.cli.process import ProcessRunner, configure_logging, make_parser
from onyxspoke.core.codes import ExitCode
from onyxspoke.settings_file import CellSettings, SettingsFileError, load_settings

__all__ = [
    "ProcessRunner",
    "add_settings_arguments",
    "configure_logging",
    "exit_after_check",
    "load_or_exit",
    "make_parser",
]


def add_settings_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that name and check a settings file."""
    parser.add_argument(
        "--config", type=Path, required=True, metavar="FILE.yaml", help="settings file of the cell"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings, print every fault, and exit"
    )


def load_or_exit(path: Path) -> CellSettings:
    """Return the settings, or print every fault and exit with ``SETTINGS_INVALID``."""
    try:
        return load_settings(path)
    except SettingsFileError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(ExitCode.SETTINGS_INVALID)


def exit_after_check(path: Path) -> None:
    """Report that a settings file is valid and exit."""
    print(f"{path}: valid")
    sys.exit(ExitCode.OK)
