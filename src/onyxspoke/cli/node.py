"""``onyxspoke-node``: schedules jobs on the institute's platform."""

from __future__ import annotations

import argparse
import os
import random
import secrets
import signal
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any, cast

from absl import logging
from msgspec.structs import replace
from twisted.application.service import MultiService
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorFromThreads, IReactorTime
from twisted.web.server import Request

from onyxspoke.cli.node_settings import (
    LOAD_PATH_VARIABLE,
    SettingsFiles,
    describe_load_options,
    load_or_exit,
)
from onyxspoke.cli.process import (
    ProcessRunner,
    configure_logging,
    make_parser,
    use_boot_clock_timers,
)
from onyxspoke.core.codes import ExitCode
from onyxspoke.core.shard.election_actions import NodeIdentity
from onyxspoke.net.bounded_http import BoundedSite, HttpLimits
from onyxspoke.net.http import CodedResource
from onyxspoke.net.http_client import HttpClient
from onyxspoke.net.log_stream import BoundedLogStream
from onyxspoke.net.network import Network, TcpEndpoints
from onyxspoke.net.reactor_clock import BootClock, SuspensionWatch
from onyxspoke.node.load_reports import learned_factors
from onyxspoke.node.metrics import CONTENT_TYPE
from onyxspoke.node.node import Node
from onyxspoke.node.node_ports import NodePorts
from onyxspoke.node.operator_api import make_operator_site
from onyxspoke.node.planned_stop import PlannedStop
from onyxspoke.node.settings import NodeSettings, SettingsError
from onyxspoke.platform.advice import AdviceClient
from onyxspoke.platform.configuration import ConfigurationFeed
from onyxspoke.platform.directory import WorkerDirectory
from onyxspoke.platform.ingress import IngressResource, ReadinessResource
from onyxspoke.platform.settings import PATH_VARIABLE, PlatformSettings
from onyxspoke.platform.store import StoreClient
from onyxspoke.platform.workers import WorkerOrders
from onyxspoke.ports.configuration import CellConfiguration

CONNECT_SECONDS = 0.5
LIFE_BYTES = 6
MAXIMUM_CONNECTIONS = 3_000
#: As ``metrics`` in the deploy file says.
METRICS_PORT = 9_464
#: A body may take so long after the time of its head.
BODY_SECONDS = 4.0
#: Log lines are written so long after the first that waits.
DRAIN_SECONDS = 0.02
#: Between two looks for a suspension of the machine, in seconds; one is told that much late.
SUSPENSION_LOOK_SECONDS = 2.0
_MILLISECONDS = 1_000.0


def main() -> None:
    """Run the program."""
    arguments = _make_parser().parse_args()
    if arguments.config is None:
        print(f"--config: missing, and {PATH_VARIABLE} is not set", file=sys.stderr)
        sys.exit(ExitCode.USAGE)
    files = SettingsFiles(
        Path(arguments.config), Path(arguments.load_settings) if arguments.load_settings else None
    )
    settings = load_or_exit(files)
    if arguments.check:
        for warning in settings.warnings:
            print(f"{arguments.config}: warning: {warning}", file=sys.stderr)
        for path in files.paths():
            print(f"{path}: valid")
        sys.exit(ExitCode.OK)
    lines = BoundedLogStream(sys.stdout.fileno())
    configure_logging(settings.node.node_name, verbose=arguments.verbose, stream=lines)
    for warning in settings.warnings:
        logging.warning("event=setting_assumed detail=%r", warning)
    logging.info("event=load_options %s", describe_load_options(settings.node))
    exit_code = run(settings, files, lines)
    lines.drain()
    sys.exit(exit_code)


def _make_parser() -> argparse.ArgumentParser:
    parser = make_parser("onyxspoke-node", "Run one node of the scheduler.")
    parser.add_argument(
        "--config",
        type=Path,
        default=os.environ.get(PATH_VARIABLE),
        help=f"settings file; by default the one that {PATH_VARIABLE} names",
    )
    parser.add_argument(
        "--load-settings",
        type=Path,
        default=os.environ.get(LOAD_PATH_VARIABLE),
        metavar="FILE.yaml",
        help=f"overrides what is done under load; by default what {LOAD_PATH_VARIABLE} names",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser


def make_node(settings: PlatformSettings) -> Node:
    """Return the node, joined to the platform."""
    own = settings.node
    network = Network(reactor, make_endpoints(own), lambda _attempt: 1.0)
    client = HttpClient(reactor, network.endpoints)
    store = StoreClient(client, settings.store.address)
    ports = NodePorts(
        store=store,
        orders=WorkerOrders(client),
        directory=WorkerDirectory(store, reactor),
        advice=AdviceClient(client, settings.advice),
        configuration=ConfigurationFeed(store, reactor),
    )
    return Node(
        own,
        make_identity(own),
        network,
        BootClock(),
        lambda: time.time() * _MILLISECONDS,
        random.SystemRandom().random,
        ports,
    )


def make_endpoints(own: NodeSettings) -> TcpEndpoints:
    """Return what opens the node's connections."""
    return TcpEndpoints(reactor, CONNECT_SECONDS, own.host if own.connects_from_host else "")


def make_identity(own: NodeSettings) -> NodeIdentity:
    """Return a name for this life of the node, and where peers reach it."""
    told = own.told_address
    return NodeIdentity(
        incarnation=f"{own.node_name}.{secrets.token_hex(LIFE_BYTES)}",
        host=told.host,
        port=told.port,
        zone=own.zone,
        weight=own.weight,
    )


class NodeService(MultiService):
    """The node with its server sockets."""

    def __init__(
        self,
        node: Node,
        settings: NodeSettings,
        network_endpoints: TcpEndpoints,
        lines: BoundedLogStream,
    ) -> None:
        super().__init__()
        self._node = node
        self._settings = settings
        self._endpoints = network_endpoints
        self._lines = lines
        self._suspensions = SuspensionWatch()
        #: Where callers and operators connect.
        self.client_sites: list[BoundedSite] = []
        node.setServiceParent(self)
        call_later = cast("IReactorTime", reactor).callLater
        lines.request_drains_with(partial(call_later, DRAIN_SECONDS, lines.drain))

    def startService(self) -> None:
        """Begin to work, and to look for suspensions of the machine."""
        super().startService()
        self._look_for_suspension()

    def _look_for_suspension(self) -> None:
        seconds = self._suspensions.take_suspended_seconds()
        if seconds:
            logging.warning("event=machine_suspended seconds=%.2f", seconds)
        cast("IReactorTime", reactor).callLater(SUSPENSION_LOOK_SECONDS, self._look_for_suspension)

    def listen(self) -> Deferred[Any]:
        """Open every server socket."""
        listening = self._node.listen()
        listening.addCallback(lambda _port: self._listen_callers())
        listening.addCallback(lambda _port: self._listen_readiness())
        listening.addCallback(lambda _port: self._listen_metrics())
        listening.addCallback(lambda _port: self._listen_operators())
        return listening

    def _listen_callers(self) -> Deferred[Any]:
        limits = HttpLimits(connections=MAXIMUM_CONNECTIONS)
        self._node.configurations.listen(partial(apply_limits, limits))
        site = BoundedSite(IngressResource(self._node), reactor, limits)
        address = self._settings.callers
        return self._listen_clients(site, address.host, address.port)

    def _listen_clients(self, site: BoundedSite, host: str, port: int) -> Deferred[Any]:
        """Open a server socket whose connections a planned stop closes in good order."""
        self.client_sites.append(site)
        return site.listen(self._endpoints.server(host, port))

    def _listen_readiness(self) -> Deferred[Any]:
        site = BoundedSite(ReadinessResource(lambda: self._node.is_ready), reactor, HttpLimits())
        address = self._settings.readiness
        return self._endpoints.server(address.host, address.port).listen(site)

    def _listen_operators(self) -> Deferred[Any]:
        site = make_operator_site(self._node, reactor)
        own = self._settings
        return self._listen_clients(site, own.host, own.operator_port)

    def _listen_metrics(self) -> Deferred[Any]:
        root = CodedResource()
        root.putChild(b"metrics", MetricsResource(self._node, self._lines))
        site = BoundedSite(root, reactor, HttpLimits())
        return self._endpoints.server(self._settings.host, METRICS_PORT).listen(site)


class MetricsResource(CodedResource):
    """``GET /metrics``: the node's figures as text."""

    isLeaf = True

    def __init__(self, node: Node, lines: BoundedLogStream) -> None:
        super().__init__()
        self._node = node
        self._lines = lines

    def handle_get(self, request: Request) -> None:
        """Tell the figures."""
        metrics = self._node.metrics
        metrics.set_log_lines(self._lines.written, self._lines.dropped)
        metrics.load.set_learned_factors(learned_factors(self._node))
        body = metrics.render()
        request.setHeader(b"content-type", CONTENT_TYPE)
        request.setHeader(b"content-length", str(len(body)).encode())
        request.write(body)
        request.finish()


def apply_limits(limits: HttpLimits, configuration: CellConfiguration) -> None:
    """Have the callers' site keep the bounds of a configuration."""
    bounds = configuration.limits
    limits.header_bytes = bounds.header_bytes
    limits.body_bytes = bounds.body_bytes
    limits.header_seconds = bounds.header_timeout_ms / _MILLISECONDS
    limits.idle_seconds = bounds.idle_timeout_ms / _MILLISECONDS
    limits.read_seconds = limits.header_seconds + BODY_SECONDS


def reload_settings(node: Node, files: SettingsFiles) -> None:
    """Take from the settings files what may change in a running process.

    What is done under load stays: the shards that are held go by it since they are.
    """
    try:
        settings = files.read()
    except SettingsError as error:
        logging.error("event=reload_failed faults=%r", str(error))
        return
    node.settings = replace(settings.node, shard_options=node.settings.shard_options)
    logging.info("event=reloaded seeds=%d", len(settings.node.seeds))


def run(settings: PlatformSettings, files: SettingsFiles, lines: BoundedLogStream) -> ExitCode:
    """Run a node until it is stopped."""
    use_boot_clock_timers()
    node = make_node(settings)
    service = NodeService(node, settings.node, TcpEndpoints(reactor, CONNECT_SECONDS), lines)
    runner = ProcessRunner(service)

    stop = PlannedStop(node, reactor, service.client_sites, runner.stop)

    def handle_terminate(_signal: int, _frame: object) -> None:
        cast("IReactorFromThreads", reactor).callFromThread(stop.begin)

    def handle_hangup(_signal: int, _frame: object) -> None:
        cast("IReactorFromThreads", reactor).callFromThread(reload_settings, node, files)

    def install_handlers() -> None:
        signal.signal(signal.SIGTERM, handle_terminate)
        signal.signal(signal.SIGHUP, handle_hangup)

    reactor.callWhenRunning(install_handlers)
    return runner.run(service.listen())


if __name__ == "__main__":
    main()
