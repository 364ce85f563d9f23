"""The settings file of a cell: its schema, and loading with every fault named.

One YAML file describes a deployment; each process reads it and takes its own part.
"""

from __future__ import annotations

from collections.abc import Iterator
from ipaddress import IPv4Address
from pathlib import Path

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from onyxspoke.core.codes import OnyxspokeError, ResultCode
from onyxspoke.core.schema import (
    MachineRecord,
    PlacementPolicy,
    Priority,
    Resources,
    TaskClass,
    WorkerId,
)
from onyxspoke.settings_references import find_reference_faults

#: Stands for the platform where zones are named.
PLATFORM_ZONE = "platform"

Port = Field(gt=0, lt=65_536)
TaskClassName = tuple[str, str]


class _Section(BaseModel):
    """Base of all sections: unknown keys are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ZoneSettings(_Section):
    """One zone of the cell."""

    region: str


class LinkSettings(_Section):
    """Emulated one-way delays, in milliseconds; 0 on real networks."""

    between_zones_ms: float = Field(default=0.0, ge=0, le=1_000)
    to_clients_ms: float = Field(default=0.0, ge=0, le=1_000)


class PlatformSettings(_Section):
    """Where the platform is; the other keys are for the stand-in only."""

    host: IPv4Address
    port: int = Port
    appends_per_second: float = Field(default=200.0, gt=0)
    append_delay_ms: float = Field(default=5.0, ge=0)
    retention_seconds: float = Field(default=3_600.0, gt=0)
    machine_list_lag_seconds: float = Field(default=1.0, ge=0)


class LeaseSettings(_Section):
    """Times of entry leases, in seconds."""

    lease_seconds: float = Field(default=5.0, gt=0)
    margin_seconds: float = Field(default=1.0, gt=0)
    settle_seconds: float = Field(default=1.0, ge=0)
    renewal_seconds: float = Field(default=1.0, gt=0)

    @model_validator(mode="after")
    def _check_renewal(self) -> LeaseSettings:
        if self.renewal_seconds * 2 > self.lease_seconds:
            raise ValueError("renewal_seconds must be at most half of lease_seconds")
        return self


class LimitSettings(_Section):
    """Bounds of what one entry takes on."""

    body_bytes: int = Field(default=1_048_576, gt=0)
    http_connections: int = Field(default=1_000, gt=0)
    request_read_seconds: float = Field(default=10.0, gt=0)
    queued_requests: int = Field(default=2_000, gt=0)
    queued_bytes: int = Field(default=16_777_216, gt=0)
    deadline_seconds: float = Field(default=86_400.0, gt=0)
    append_interval_ms: float = Field(default=50.0, gt=0)
    snapshot_interval_seconds: float = Field(default=600.0, gt=0)
    job_tasks: int = Field(default=64, gt=0)


class StatsdSettings(_Section):
    """Where metrics go; without this section none are sent."""

    host: IPv4Address
    port: int = Port
    prefix: str = "onyxspoke"
    interval_seconds: float = Field(default=10.0, gt=0)


class EntrySettings(_Section):
    """One entry process."""

    name: str
    zone: str
    host: IPv4Address
    http_port: int = Port
    peer_port: int = Port


class CapacitySettings(_Section):
    """What one worker has."""

    processors: int = Field(gt=0)
    memory_mb: int = Field(gt=0)
    accelerators: int = Field(default=0, ge=0)
    slots: int = Field(default=8, gt=0)
    connections: int = Field(default=64, gt=0)

    def to_resources(self) -> Resources:
        """Return the part that tasks take up."""
        return Resources(self.processors, self.memory_mb, self.accelerators, self.slots)


class WorkerGroupSettings(_Section):
    """Like workers of one rack."""

    zone: str
    rack: str
    generation: str
    count: int = Field(gt=0)
    host: IPv4Address
    first_port: int = Port
    capacity: CapacitySettings

    def machines(self) -> Iterator[MachineRecord]:
        """Yield the workers of the group."""
        for index in range(self.count):
            yield MachineRecord(
                worker_id=f"{self.rack}-{index + 1:02d}",
                host=str(self.host),
                port=self.first_port + index,
                zone=self.zone,
                rack=self.rack,
                generation=self.generation,
            )


class TaskResourceSettings(_Section):
    """What one task takes up."""

    processors: int = Field(ge=0)
    memory_mb: int = Field(ge=0)
    accelerators: int = Field(default=0, ge=0)


class TaskClassSettings(_Section):
    """One class of work of a service."""

    resources: TaskResourceSettings
    patience_seconds: float = Field(gt=0)
    priority: str = Field(default="normal", pattern="^(urgent|normal|patient)$")
    repeatable: bool = True
    batch: bool = False
    generations: list[str] = []


class ServiceSettings(_Section):
    """A service and its classes of work."""

    policy: PlacementPolicy = PlacementPolicy.SPREAD
    classes: dict[str, TaskClassSettings]


class LoadClassSettings(_Section):
    """How the load tool submits one class of work."""

    share: float = Field(gt=0)
    work_ms: float = Field(ge=0)
    payload_bytes: int = Field(default=64, ge=0)


class LoadSettings(_Section):
    """What the load tool does."""

    requests_per_second: float = Field(gt=0)
    duration_seconds: float = Field(gt=0)
    duplicate_share: float = Field(default=0.05, ge=0, le=1)
    classes: dict[str, dict[str, LoadClassSettings]]


class CellSettings(_Section):
    """The whole file."""

    cell: str
    zones: dict[str, ZoneSettings]
    links: LinkSettings = Field(default_factory=LinkSettings)
    platform: PlatformSettings
    lease: LeaseSettings = Field(default_factory=LeaseSettings)
    limits: LimitSettings = Field(default_factory=LimitSettings)
    statsd: StatsdSettings | None = None
    entries: list[EntrySettings] = Field(min_length=1)
    workers: list[WorkerGroupSettings] = []
    tenants: list[str] = Field(min_length=1)
    services: dict[str, ServiceSettings] = Field(min_length=1)
    load: LoadSettings | None = None

    def entry(self, name: str) -> EntrySettings | None:
        """Return the settings of an entry by its name."""
        return next((entry for entry in self.entries if entry.name == name), None)

    def machines(self) -> list[MachineRecord]:
        """Return all workers."""
        return [machine for group in self.workers for machine in group.machines()]

    def zone_of_host(self) -> dict[str, str]:
        """Return the zone of each address of the file; the platform is one of its own."""
        zones = {str(entry.host): entry.zone for entry in self.entries}
        zones.update({str(group.host): group.zone for group in self.workers})
        zones[str(self.platform.host)] = PLATFORM_ZONE
        return zones

    def capacities(self) -> dict[WorkerId, CapacitySettings]:
        """Return what each worker has."""
        return {
            machine.worker_id: group.capacity
            for group in self.workers
            for machine in group.machines()
        }

    def catalog(self) -> dict[TaskClassName, TaskClass]:
        """Return all task classes by service and name."""
        return {
            (service_name, class_name): _to_task_class(service_name, class_name, service, entry)
            for service_name, service in self.services.items()
            for class_name, entry in service.classes.items()
        }


def _to_task_class(
    service_name: str, class_name: str, service: ServiceSettings, entry: TaskClassSettings
) -> TaskClass:
    return TaskClass(
        service=service_name,
        name=class_name,
        resources=Resources(
            entry.resources.processors, entry.resources.memory_mb, entry.resources.accelerators
        ),
        patience_seconds=entry.patience_seconds,
        priority=Priority[entry.priority.upper()],
        repeatable=entry.repeatable,
        batch=entry.batch,
        policy=service.policy,
        generations=tuple(entry.generations),
    )


class SettingsFileError(OnyxspokeError):
    """A settings file with faults; ``faults`` has a line for each."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__(ResultCode.SETTINGS_FILE_INVALID, "; ".join(faults))
        self.faults = faults


def load_settings(path: Path) -> CellSettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsFileError
        If the file cannot be read, is not YAML, or breaks the schema; it names every
        fault, references to things that the file does not define included.
    """
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsFileError([f"{path}: {error}"]) from error
    faults = list(find_reference_faults(document))
    try:
        settings = CellSettings.model_validate(document)
    except ValidationError as error:
        faults = [*_describe(error), *faults]
    if faults:
        raise SettingsFileError([f"{path}: {fault}" for fault in faults])
    return settings


def _describe(error: ValidationError) -> Iterator[str]:
    """Yield one line a fault: the key, and what was expected there."""
    for fault in error.errors():
        key = ".".join(str(part) for part in fault["loc"]) or "(file)"
        yield f"{key}: {fault['msg']} (got {fault['input']!r:.80})"
