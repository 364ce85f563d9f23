"""The stand-ins' processes: what each of them is made of."""

from __future__ import annotations

from functools import partial
from typing import Any, cast

from absl import logging
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IReactorTCP, IReactorTime

from onyxspoke.core.shard.log_records import ShardRecord
from onyxspoke.core.shard.store_budget import StoreBudget
from onyxspoke.kit.jobs.drawn_jobs import QUEUES
from onyxspoke.net.http_client import HttpAnswer, HttpClient, encode_request
from onyxspoke.net.network import TcpEndpoints
from onyxspoke.node.settings import Address
from onyxspoke.platform.configuration import CONFIGURATION_KEY
from onyxspoke.platform.counterpart.answers import HTTP_OK
from onyxspoke.platform.counterpart.settings import encode_configuration
from onyxspoke.platform.counterpart.store import append_target
from onyxspoke.platform.store import OPERATOR_TOPIC, WORKER_TOPIC, encode_keyed_record
from onyxspoke.soak.advice_server import AdviceServer
from onyxspoke.soak.callers import SoakCallers
from onyxspoke.soak.http import StandInSite
from onyxspoke.soak.link import EventLink, ignore_command
from onyxspoke.soak.links import list_links
from onyxspoke.soak.listening import FollowedTarget
from onyxspoke.soak.plan import HOST_HEADER, SoakPlan
from onyxspoke.soak.proxy import LinkPlan, LinkSwitch, ProxyLink
from onyxspoke.soak.store_server import StoreServer
from onyxspoke.soak.timers import DueTimers
from onyxspoke.soak.worker_server import SERVICE, WorkerHost

STAND_INS = ("store", "advice", "workers", "callers", "proxy")
ENTRY_SECONDS = 1.0
CONNECT_SECONDS = 0.5


def start_store(plan: SoakPlan, timers: DueTimers) -> None:
    """Serve the store, with the operator's configuration in it."""
    store = StoreServer(timers, plan.seed, StoreBudget())
    store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, encode_configuration(SERVICE, QUEUES, HOST_HEADER))
    _listen(plan.store, StandInSite(timers, store.handle))
    EventLink(timers).open(store.handle_command)


def start_advice(plan: SoakPlan, timers: DueTimers) -> None:
    """Serve the advice."""
    _listen(plan.advice, StandInSite(timers, AdviceServer(timers).handle))
    EventLink(timers).open(ignore_command)


def start_workers(plan: SoakPlan, timers: DueTimers) -> None:
    """Serve every worker."""
    link = EventLink(timers)
    listen = cast("IReactorTCP", reactor).listenTCP
    write = partial(_write_entry, plan.store, _make_client())
    host = WorkerHost(plan, timers, link.tell, cast("Any", listen), write)
    link.open(host.handle_command)
    host.start()


def start_callers(plan: SoakPlan, timers: DueTimers) -> None:
    """Make calls."""
    link = EventLink(timers)
    callers = SoakCallers(plan, timers, _make_client(), link.tell)
    link.open(callers.handle_command)
    callers.start()


def start_proxy(plan: SoakPlan, timers: DueTimers) -> None:
    """Pass calls on."""
    time = cast("IReactorTime", reactor)
    links = [ProxyLink(time, link, _connect) for link in list_links(plan)]
    for link in links:
        if link.plan.refuses_like_target:
            FollowedTarget(time, link, _listen_link, _connect).start()
        else:
            _listen_link(link)
    EventLink(timers).open(LinkSwitch(links).handle_command)


def _listen_link(link: ProxyLink) -> Any:
    listen = link.plan.listen
    tcp = cast("IReactorTCP", reactor)
    return tcp.listenTCP(listen.port, cast("Any", link), interface=listen.host)


def _connect(link: LinkPlan, factory: Any, connected_from: str) -> Any:
    source = connected_from if link.keeps_source else link.source
    bind = (source, 0) if source else None
    endpoint = TCP4ClientEndpoint(
        reactor, link.target.host, link.target.port, timeout=1, bindAddress=bind
    )
    return endpoint.connect(factory)


def _make_client() -> HttpClient:
    return HttpClient(cast("IReactorTime", reactor), TcpEndpoints(reactor, CONNECT_SECONDS))


def _listen(address: Address, site: StandInSite) -> None:
    cast("IReactorTCP", reactor).listenTCP(address.port, cast("Any", site), interface=address.host)


def _write_entry(store: Address, client: HttpClient, worker_id: str, value: bytes) -> None:
    """Write a worker's entry; one that is lost is written again with the next heartbeat."""
    body = encode_keyed_record(ShardRecord(worker_id, value))
    target = append_target(WORKER_TOPIC, 0)
    request = encode_request("POST", target, f"{store.host}:{store.port}", body)

    def take(answer: HttpAnswer) -> None:
        if answer.status != HTTP_OK:
            logging.warning("event=entry_lost worker=%s status=%d", worker_id, answer.status)

    client.call(store.host, store.port, request, ENTRY_SECONDS, take)
