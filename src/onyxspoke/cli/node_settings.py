"""The files that a node's settings come from."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NamedTuple

from msgspec.structs import asdict, replace

from onyxspoke.core.codes import ExitCode
from onyxspoke.node.load_settings import apply_load_settings
from onyxspoke.node.settings import NodeSettings, SettingsError
from onyxspoke.platform.settings import PlatformSettings, load_settings

#: Environment variable that holds the path of the file that ``--load-settings`` names.
LOAD_PATH_VARIABLE = "ONYXSPOKE_LOAD_SETTINGS"


class SettingsFiles(NamedTuple):
    """The files that a node's settings come from; ``load`` overrides what is done under load."""

    platform: Path
    load: Path | None = None

    def paths(self) -> list[Path]:
        """Return the files that there are."""
        return [self.platform] if self.load is None else [self.platform, self.load]

    def read(self) -> PlatformSettings:
        """Return the checked settings.

        Raises
        ------
        SettingsError
            Naming every fault of the first file that has any.
        """
        settings = load_settings(self.platform)
        if self.load is None:
            return settings
        return replace(settings, node=apply_load_settings(settings.node, self.load))


def describe_load_options(settings: NodeSettings) -> str:
    """Return what is done under load as key=value, for the log."""
    options = asdict(settings.shard_options.load)
    return " ".join(f"{name}={value:g}" for name, value in options.items())


def load_or_exit(files: SettingsFiles) -> PlatformSettings:
    """Return the settings, or print every fault and exit with ``SETTINGS_INVALID``."""
    try:
        return files.read()
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(ExitCode.SETTINGS_INVALID)
