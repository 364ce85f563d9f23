"""The file by which operators override what a node does under load."""

from __future__ import annotations

from pathlib import Path

import msgspec

from onyxspoke.core.shard.load_option_definitions import override_load_options
from onyxspoke.node.settings import NodeSettings, SettingsError


def apply_load_settings(settings: NodeSettings, path: Path) -> NodeSettings:
    """Return a node's settings with what a file overrides.

    Raises
    ------
    SettingsError
        Naming the file with each fault.
    """
    document = _read_document(path)
    shard_options = settings.shard_options
    load, faults = override_load_options(document, shard_options.load)
    if faults:
        raise SettingsError([f"{path}: {fault}" for fault in faults])
    shard_options = msgspec.structs.replace(shard_options, load=load)
    return msgspec.structs.replace(settings, shard_options=shard_options)


def _read_document(path: Path) -> object:
    # Here, because a node without such a file does without the library.
    try:
        import yaml  # noqa: PLC0415
    except ImportError as error:
        raise SettingsError([f"{path}: PyYAML is not installed"]) from error
    try:
        return yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError, ValueError, RecursionError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
