"""Operators in virtual time who race one another on the same settings."""

from __future__ import annotations

import random
from functools import partial

from onyxspoke.core.codes import ResultCode
from onyxspoke.core.log_records import SettingChange, SettingsApply
from onyxspoke.core.settings_tree import SettingsVerdict
from onyxspoke.sim.cell import SimulatedCell

CHANGES_PER_SECOND = 2.0
KEYS = ("task.priority", "placement.policy", "service.admitted")
_VALUES: dict[str, tuple[bool | int | str, ...]] = {
    "task.priority": (0, 1, 2),
    "placement.policy": ("spread", "pack"),
    "service.admitted": (True,),
}


class RacingOperators:
    """Submit changes to random entries and keep what they were told."""

    def __init__(self, cell: SimulatedCell, source: random.Random) -> None:
        self._cell = cell
        self._random = source
        self._counter = 0
        service = next(iter(cell.settings.services))
        zones = [f"{zone.region}/{name}" for name, zone in cell.settings.zones.items()]
        self._paths = [*zones, f"{zones[0]}/{service}"]
        self.submitted: dict[str, SettingsApply] = {}
        self.refusals: dict[str, ResultCode] = {}
        self.verdicts: dict[str, SettingsVerdict] = {}

    def submit_for(self, seconds: float) -> None:
        """Submit at random moments for a while."""
        moment = self._random.expovariate(CHANGES_PER_SECOND)
        while moment < seconds:
            self._cell.time.schedule(moment, self._submit)
            moment += self._random.expovariate(CHANGES_PER_SECOND)

    def _submit(self) -> None:
        entries = self._cell.up_entries()
        if not entries:
            return
        entry = self._random.choice(entries)
        path, key = self._random.choice(self._paths), self._random.choice(KEYS)
        expected = entry.shell.scheduler.context.settings.revision_of(path, key)
        value = self._random.choice(_VALUES[key])
        self._counter += 1
        change_id = f"change-{self._counter}"
        change = SettingChange(path, key, value, expected)
        apply = SettingsApply(change_id, "operator", [change])
        self.submitted[change_id] = apply
        learn = partial(self.verdicts.__setitem__, change_id)
        forget = partial(self.refusals.__setitem__, change_id)
        entry.node.run(lambda: entry.shell.change_settings(apply, learn, forget))
