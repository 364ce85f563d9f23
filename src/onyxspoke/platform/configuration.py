"""The operator's configuration, as the platform's store holds it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from absl import logging
from twisted.internet.interfaces import IReactorTime

from onyxspoke.core.jobs.model import AdvicePolicy, QueuePolicy, ResourceVector
from onyxspoke.core.jobs.policy import PolicySet, ServicePolicy
from onyxspoke.core.routing import RouteEntry
from onyxspoke.core.shard.log_records import ShardRecord
from onyxspoke.core.tenants.keys import Credential, KeyRing
from onyxspoke.core.tenants.policy import TenantName, TenantPolicy
from onyxspoke.platform.feeds import TopicFeed
from onyxspoke.platform.store import OPERATOR_TOPIC, StoreClient
from onyxspoke.platform.unreadable import UNREADABLE_ERRORS
from onyxspoke.ports.configuration import (
    CellConfiguration,
    ConfigurationError,
    IngressLimits,
)

CONFIGURATION_KEY = "config"


class _AdviceEntry(msgspec.Struct, rename="camel"):
    decide_ms: float = 0.0
    per_item_ms: float = 0.0
    validity_ms: float = 0.0


class _RouteEntry(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int = 3_000
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: _AdviceEntry | None = None
    allow_anonymous: bool = False


class _ServiceEntry(msgspec.Struct, rename="camel"):
    name: str
    admission_check: bool = False
    spare: bool = False


class _QuotaEntry(msgspec.Struct, rename={"memory_mb": "memMb", "processors_milli": "cpu"}):
    processors_milli: int = 0
    memory_mb: int = 0
    gpu: int = 0


class _TenantEntry(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    weight: float = 1.0
    max_count: _QuotaEntry = msgspec.field(default_factory=_QuotaEntry)


class _LimitsEntry(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class _ConfigEntry(msgspec.Struct):
    version: int
    routes: list[_RouteEntry] = []
    services: list[_ServiceEntry] = []
    limits: _LimitsEntry = msgspec.field(default_factory=_LimitsEntry)
    #: A cell whose configuration has no such list has no tenants, and asks for no keys.
    tenants: list[_TenantEntry] | None = None


_decoder = msgspec.json.Decoder(_ConfigEntry)


class ConfigurationFeed:
    """Follows the configuration; implements ``ConfigurationPort``."""

    def __init__(self, store: StoreClient, reactor: IReactorTime) -> None:
        self._feed = TopicFeed(store, reactor, OPERATOR_TOPIC, self._take, skips_to_newest=True)
        self._on_configuration: Callable[[CellConfiguration], None] | None = None

    def watch(
        self,
        on_configuration: Callable[[CellConfiguration], None],
        on_contact: Callable[[bool], None],
    ) -> None:
        """Report the configuration and each later version."""
        self._on_configuration = on_configuration
        self._feed.on_contact = on_contact
        self._feed.start()

    def look(self, on_done: Callable[[bool], None]) -> None:
        """Read the newest version now."""
        self._feed.look(on_done)

    def decode(self, raw: bytes) -> CellConfiguration:
        """Read a configuration that a peer passed on."""
        return decode_configuration(raw)

    def _take(self, records: list[ShardRecord], is_whole: bool) -> None:
        assert self._on_configuration is not None
        for record in records:
            if record.key != CONFIGURATION_KEY or not record.value:
                continue
            try:
                self._on_configuration(decode_configuration(record.value))
            except ConfigurationError as error:
                logging.error("event=configuration_unreadable error=%r", str(error))


def decode_configuration(raw: bytes) -> CellConfiguration:
    """Return a configuration in the product's terms; raise :class:`ConfigurationError`."""
    try:
        entry = _decoder.decode(raw)
    except UNREADABLE_ERRORS as error:
        raise ConfigurationError(str(error)) from error
    limits = entry.limits
    return CellConfiguration(
        policy=PolicySet(
            version=entry.version,
            queues={route.name: _to_queue(route) for route in entry.routes},
            services={service.name: _to_service(service) for service in entry.services},
            tenants={tenant.name: _to_tenant(tenant) for tenant in entry.tenants or []},
        ),
        routes=tuple(
            RouteEntry(
                queue=route.name,
                host=route.host,
                path_prefix=route.path_prefix,
                timeout_ms=route.timeout_ms,
                allows_anonymous=route.allow_anonymous,
            )
            for route in entry.routes
        ),
        keys=_to_keys(entry.tenants),
        limits=IngressLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            idle_timeout_ms=limits.idle_timeout_ms,
        ),
        raw=raw,
    )


def _to_queue(route: _RouteEntry) -> QueuePolicy:
    advice = None
    if route.advice is not None:
        entry = route.advice
        advice = AdvicePolicy(entry.decide_ms, entry.per_item_ms, entry.validity_ms)
    return QueuePolicy(
        name=route.name,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        target_latency_ms=int(route.target_latency_ms),
        advice=advice,
    )


def _to_tenant(tenant: _TenantEntry) -> TenantPolicy:
    most = tenant.max_count
    quota = ResourceVector(most.processors_milli, most.memory_mb, most.gpu)
    return TenantPolicy(name=tenant.name, weight=tenant.weight, quota=quota)


def _to_keys(tenants: list[_TenantEntry] | None) -> KeyRing:
    keys: dict[str, TenantName] = {}
    for tenant in tenants or []:
        for key in tenant.api_keys:
            if keys.setdefault(key, tenant.name) != tenant.name:
                logging.warning(
                    "event=key_of_two_tenants key=%s kept_for=%s also_of=%s",
                    Credential(key).fingerprint,
                    keys[key],
                    tenant.name,
                )
    return KeyRing(keys, is_required=tenants is not None)


def _to_service(service: _ServiceEntry) -> ServicePolicy:
    return ServicePolicy(
        name=service.name, checks_capacity=service.admission_check, is_spare=service.spare
    )
