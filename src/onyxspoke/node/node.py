"""One node: its seats in the shards, its peers, its callers' calls and its configuration."""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import Any

from absl import logging
from twisted.application.internet import TimerService
from twisted.application.service import MultiService
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall

from onyxspoke.core.routing import RouteTable
from onyxspoke.core.shard.actions import AskAdvice, StepDownReason
from onyxspoke.core.shard.calls import CALL_NAMES, Call, CallReply, ReplyCode, job_of, queue_of
from onyxspoke.core.shard.election import LossReason, NodeIdentity
from onyxspoke.core.shard.log_records import ClaimRecord, ShardId
from onyxspoke.core.shard.orders import AdviceOutcome, AdviceResult
from onyxspoke.net.network import Network
from onyxspoke.node.call_router import CallRouter
from onyxspoke.node.messages import (
    AdviceAnswer,
    AdviceForward,
    AppendRelay,
    AppendRelayAnswer,
    CallAnswer,
    CallForward,
    ConfigurationCopy,
    Members,
    NewestRelay,
    NewestRelayAnswer,
    NodeMessage,
    Status,
)
from onyxspoke.node.metrics import NodeMetrics
from onyxspoke.node.peers import PeerLink, PeerLinks
from onyxspoke.node.seat import ShardSeat
from onyxspoke.node.settings import NodeSettings
from onyxspoke.node.store_gateway import StoreGateway
from onyxspoke.ports.advice import AdvicePort
from onyxspoke.ports.clock import Clock
from onyxspoke.ports.configuration import (
    CellConfiguration,
    ConfigurationError,
    ConfigurationPort,
)
from onyxspoke.ports.shard_log import ShardLogPort
from onyxspoke.ports.worker_directory import WorkerDirectoryPort
from onyxspoke.ports.worker_orders import WorkerOrdersPort

TICK_SECONDS = 0.02
HEARTBEAT_SECONDS = 0.2
#: The only shard of a small cell.
FIRST_SHARD: ShardId = 0
SEED_RETRY_SECONDS = 1.0
#: A holder that the store turns away for so long leaves its shards to another node.
HANDOVER_SECONDS = 0.8
#: It claims nothing, and hands over nothing more, for so long after.
HANDOVER_PAUSE_SECONDS = 4.0
#: What a peer said of the store counts for so long.
FRESH_SECONDS = 0.6
_MILLISECONDS = 1_000.0

OnReply = Callable[[CallReply], None]


class NodePorts:
    """What a node reaches outside itself."""

    def __init__(
        self,
        store: ShardLogPort,
        orders: WorkerOrdersPort,
        directory: WorkerDirectoryPort,
        advice: AdvicePort,
        configuration: ConfigurationPort,
    ) -> None:
        self.store = store
        self.orders = orders
        self.directory = directory
        self.advice = advice
        self.configuration = configuration


class Node(MultiService):
    """One life of a node's process.

    Parameters
    ----------
    settings : NodeSettings
        What the node was told at its start.
    identity : NodeIdentity
        Names this life.
    network : Network
        Connections and timers.
    clock : Clock
        Steady time.
    wall_ms : callable
        Time of day in milliseconds, counted from 1970.
    draw : callable
        Returns a random number of at least 0 and below 1.
    ports : NodePorts
        What is outside.
    """

    def __init__(
        self,
        settings: NodeSettings,
        identity: NodeIdentity,
        network: Network,
        clock: Clock,
        wall_ms: Callable[[], float],
        draw: Callable[[], float],
        ports: NodePorts,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.identity = identity
        self.configuration: CellConfiguration | None = None
        self.routes = RouteTable([])
        self.is_stopping = False
        self.metrics = NodeMetrics()
        self._network = network
        self._clock = clock
        self._wall_ms = wall_ms
        self._ports = ports
        self.peers = PeerLinks(network, identity, self)
        self.store = StoreGateway(ports.store, clock, self.peers.up_links)
        self.router = CallRouter(self._send_call)
        seat = ShardSeat(
            FIRST_SHARD,
            identity,
            settings.shard_options,
            clock,
            draw,
            self.store,
            ports.orders,
            ports.directory,
            self,
            self.metrics,
        )
        self.seats: dict[ShardId, ShardSeat] = {FIRST_SHARD: seat}
        self._wakes: dict[ShardId, IDelayedCall] = {}
        self._holders: dict[ShardId, ClaimRecord] = {}
        self._listeners: list[Callable[[CellConfiguration], None]] = []
        self._seeds_at = 0.0
        self._was_ready = False
        self._handover_at = 0.0
        #: Hosts that were connected when the store last served this node, and since.
        self._claimants: set[str] = set()
        self._handlers: dict[type[NodeMessage], Callable[[PeerLink, Any], None]] = {
            Status: self._take_status,
            CallForward: self._serve_call,
            CallAnswer: lambda _link, message: self._take_reply(message.call_id, message.reply),
            AdviceForward: self._serve_advice,
            AdviceAnswer: self._take_advice,
            ConfigurationCopy: self._take_copy,
            Members: self._take_members,
            AppendRelay: self.store.serve_append,
            NewestRelay: self.store.serve_read,
            AppendRelayAnswer: lambda _link, message: self.store.handle_relay_answer(message),
            NewestRelayAnswer: lambda _link, message: self.store.handle_relay_answer(message),
        }
        for seconds, function in (
            (TICK_SECONDS, self._tick),
            (HEARTBEAT_SECONDS, self._send_heartbeats),
        ):
            timer = TimerService(seconds, function)
            timer.clock = network.reactor
            timer.setServiceParent(self)
        self.peers.setServiceParent(self)

    # Life

    def listen(self) -> Deferred[Any]:
        """Open the server socket for peers."""
        return self.peers.listen()

    def startService(self) -> None:
        """Begin to take part; called by Twisted."""
        self._ports.configuration.watch(self.handle_configuration, self.store.note_contact)
        for seat in self.seats.values():
            seat.start()
        super().startService()

    def begin_stop(self) -> None:
        """Hand the shards over and claim nothing more; calls are still carried."""
        self.is_stopping = True
        self._send_heartbeats()
        for seat in self.seats.values():
            seat.election.rest_until(math.inf)
            seat.step_down(StepDownReason.PLANNED)
        self._send_heartbeats()

    def on_configuration(self, listener: Callable[[CellConfiguration], None]) -> None:
        """Have a listener called with each version."""
        self._listeners.append(listener)

    @property
    def is_ready(self) -> bool:
        """Whether callers can be served here."""
        if self.is_stopping or self.configuration is None:
            return False
        return all(self._is_served(shard) for shard in self.seats)

    def _is_served(self, shard: ShardId) -> bool:
        """Return whether a shard has a holder that can be reached and can accept jobs."""
        seat = self.seats[shard]
        if seat.is_holding:
            return not self.is_isolated
        claim = self._holders.get(shard)
        if claim is None or not seat.is_following:
            return False
        link = self.peers.link_to(claim.host)
        return link is not None and not link.is_isolated

    @property
    def is_isolated(self) -> bool:
        """Whether the store and some peers were lost: others are better off, and go on."""
        if self.store.is_reachable or self.store.is_relayed():
            return False
        return any(self.peers.link_to(host) is None for host in self._claimants)

    # Calls

    def submit_call(self, job_id: str, call: Call, on_reply: OnReply, seconds: float) -> None:
        """Carry a client's call to the holder of the job's shard."""
        now = self._clock.now()
        take = partial(self._finish_call, call, on_reply, now)
        self.router.submit(self._shard_of(job_id), call, take, now, now + seconds)

    def _finish_call(self, call: Call, on_reply: OnReply, since: float, reply: CallReply) -> None:
        name = CALL_NAMES[type(call)]
        self.metrics.replies.labels(name, reply.code.value).inc()
        seconds = self._clock.now() - since
        self.metrics.reply_seconds.labels(queue_of(call), name).observe(seconds)
        if reply.code in (ReplyCode.REFUSED, ReplyCode.UNKNOWN):
            logging.info(
                "event=call_given_up call=%s job=%s code=%s reason=%s seconds=%.3f",
                name,
                job_of(call),
                reply.code.value,
                reply.reason,
                seconds,
            )
        on_reply(reply)

    def _shard_of(self, _job_id: str) -> ShardId:
        return FIRST_SHARD

    def _send_call(self, shard: ShardId, call_id: int, call: Call) -> bool:
        seat = self.seats[shard]
        if seat.is_holding:
            seat.handle_call(call, partial(self._take_reply, call_id))
            return True
        claim = self._holders.get(shard)
        link = self.peers.link_to(claim.host) if claim is not None else None
        if link is None:
            return False
        link.send(CallForward(shard, call_id, call))
        return True

    def _take_reply(self, call_id: int, reply: CallReply) -> None:
        self.router.handle_reply(call_id, reply, self._clock.now())

    # Seats

    def handle_holder_changed(self, shard: ShardId, claim: ClaimRecord | None) -> None:
        """Another node holds a shard, or nobody that can be reached."""
        if claim is None:
            if self._holders.pop(shard, None) is not None:
                self.router.handle_holder_lost(shard)
            return
        self._holders[shard] = claim
        self.router.handle_holder_found(shard, self._clock.now())

    def handle_holding(self, shard: ShardId, is_holding: bool) -> None:
        """Take note that this node has begun, or ceased, to decide for a shard."""
        self.router.handle_holder_lost(shard)
        if is_holding:
            self._holders.pop(shard, None)
            # Those who wait for their turn to claim hear it sooner than they would read it.
            for member in self.seats[shard].election.members:
                self.connect_peer(member.host, member.port)
            self._tell_advisors()
            self.router.handle_holder_found(shard, self._clock.now())
        self._send_heartbeats()

    def connect_peer(self, host: str, port: int) -> None:
        """Have a stream to a node."""
        link = self.peers.link_to(host)
        if link is None:
            self.peers.connect(host, port)

    def ask_advice(self, shard: ShardId, action: AskAdvice) -> None:
        """Have an entry ask the advice service."""
        if action.advisor == self.identity.life:
            self._ports.advice.ask(
                action.step,
                action.worker_ids,
                partial(self.seats[shard].handle_advice_result, action.call_id),
            )
            return
        for link in self.peers.up_links():
            if link.identity is not None and link.identity.life == action.advisor:
                message = AdviceForward(shard, action.call_id, action.step, action.worker_ids)
                link.send(message)
                return
        result = AdviceResult(AdviceOutcome.NO_ANSWER)
        self.seats[shard].handle_advice_result(action.call_id, result)

    def wake(self, shard: ShardId, delay: float) -> None:
        """Flush a seat after a delay, or sooner if that was asked for already."""
        wake = self._wakes.get(shard)
        moment = self._network.reactor.seconds() + delay
        if wake is not None and wake.active():
            if wake.getTime() <= moment:
                return
            wake.cancel()
        self._wakes[shard] = self._network.reactor.callLater(delay, self.seats[shard].flush)

    def retry(self, delay: float, function: Callable[[], None]) -> None:
        """Call a function after a delay."""
        self._network.reactor.callLater(delay, function)

    # Configuration

    def handle_configuration(self, configuration: CellConfiguration) -> None:
        """Take a version of the configuration, unless a later one is in force."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self.routes = RouteTable(configuration.routes)
        logging.info(
            "event=configuration version=%d routes=%d",
            configuration.version,
            len(configuration.routes),
        )
        for seat in self.seats.values():
            seat.set_policy(configuration.policy)
        for listener in self._listeners:
            listener(configuration)
        for link in self.peers.up_links():
            self._offer_configuration(link)

    def _offer_configuration(self, link: PeerLink) -> None:
        known = self.configuration
        if known is not None and link.configuration_version < known.version:
            link.configuration_version = known.version
            link.send(ConfigurationCopy(known.raw))

    def _take_copy(self, link: PeerLink, message: ConfigurationCopy) -> None:
        try:
            configuration = self._ports.configuration.decode(message.raw)
        except ConfigurationError as error:
            logging.error("event=configuration_copy_unreadable error=%r", str(error))
            return
        link.configuration_version = max(link.configuration_version, configuration.version)
        self.handle_configuration(configuration)

    # Peers

    def handle_peer_up(self, link: PeerLink) -> None:
        """A peer has said who it is."""
        link.send(self._status())
        self._tell_advisors()
        assert link.identity is not None
        logging.info("event=peer_up peer=%s life=%s", link.host, link.identity.life)

    def handle_peer_lost(self, host: str, link: PeerLink | None, reason: LossReason) -> None:
        """A stream ended, or none came about."""
        logging.info("event=peer_lost peer=%s reason=%s", host, reason.value)
        if link is not None:
            self._tell_advisors()
        if self.peers.link_to(host) is not None:
            return
        for shard, seat in self.seats.items():
            claim = self._holders.get(shard)
            if claim is not None and claim.host == host:
                self.router.handle_holder_lost(shard)
            seat.election.handle_peer_lost(host, reason, self._clock.now())
            seat.carry_out_election()

    def handle_peer_message(self, link: PeerLink, message: NodeMessage) -> None:
        """A peer sent a message."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(link, message)

    def _take_status(self, link: PeerLink, message: Status) -> None:
        assert link.identity is not None
        link.can_reach_store = message.can_reach_store
        link.is_isolated = message.is_isolated
        link.wall_offset_ms = message.wall_ms - self._clock.now() * _MILLISECONDS
        if link.may_hold is not message.may_hold:
            link.may_hold = message.may_hold
            self._tell_advisors()
        link.configuration_version = max(link.configuration_version, message.configuration_version)
        self._offer_configuration(link)
        now = self._clock.now()
        claims = dict(message.claims)
        for shard, seat in self.seats.items():
            seat.election.handle_peer_status(link.identity, claims.get(shard), now)
            seat.carry_out_election()

    def _serve_call(self, link: PeerLink, message: CallForward) -> None:
        seat = self.seats.get(message.shard)
        if seat is None:
            link.send(CallAnswer(message.call_id, CallReply(code=ReplyCode.NOT_HOLDER)))
            return
        seat.handle_call(message.call, lambda reply: link.send(CallAnswer(message.call_id, reply)))

    def _serve_advice(self, link: PeerLink, message: AdviceForward) -> None:
        self._ports.advice.ask(
            message.step,
            message.worker_ids,
            lambda result: link.send(AdviceAnswer(message.shard, message.call_id, result)),
        )

    def _tell_advisors(self) -> None:
        """Let the seats know through which entries advice can be asked."""
        links = self.peers.up_links()
        lives = [link.identity.life for link in links if link.identity is not None]
        members = [link.identity for link in links if link.identity and link.may_hold]
        for seat in self.seats.values():
            if seat.is_holding:
                seat.set_advisors([self.identity.life, *lives])
                seat.election.set_members(members)
                for link in links:
                    link.send(Members(members))

    def _take_advice(self, _link: PeerLink, message: AdviceAnswer) -> None:
        self.seats[message.shard].handle_advice_result(message.call_id, message.result)

    def _take_members(self, _link: PeerLink, message: Members) -> None:
        for seat in self.seats.values():
            seat.election.set_members(message.members)

    # Time

    def time_of_day_ms(self) -> float:
        """Return the time of day on which most nodes agree; single clocks may jump."""
        steady_ms = self._clock.now() * _MILLISECONDS
        offsets = [link.wall_offset_ms for link in self.peers.up_links() if link.wall_offset_ms]
        offsets.append(self._wall_ms() - steady_ms)
        return steady_ms + sorted(offsets)[(len(offsets) - 1) // 2]

    def _tick(self) -> None:
        now = self._clock.now()
        wall_ms = self.time_of_day_ms()
        for seat in self.seats.values():
            seat.tick(wall_ms)
        self._hand_over_if_turned_away(now)
        self._note_if_nobody_reaches_store(now)
        self._set_gauges()
        self.peers.end_silent(now)
        self.store.keep(now)
        self.router.keep(now, is_cut_off=not self.store.is_reachable)
        if self.configuration is None and now >= self._seeds_at:
            self._seeds_at = now + SEED_RETRY_SECONDS
            for seed in self.settings.seeds:
                self.connect_peer(seed, self.settings.peer_port)

    def _hand_over_if_turned_away(self, now: float) -> None:
        """Leave the shards to a node that the store serves, while it does not serve this one."""
        if self.store.away_seconds() < HANDOVER_SECONDS or now < self._handover_at:
            return
        if not self.store.is_relayed():
            return
        self._handover_at = now + HANDOVER_PAUSE_SECONDS
        for seat in self.seats.values():
            if seat.is_holding:
                seat.election.rest_until(now + HANDOVER_PAUSE_SECONDS)
                seat.step_down(StepDownReason.STORE_AWAY)

    def _note_if_nobody_reaches_store(self, now: float) -> None:
        """Tell the seats while every node that could claim says that the store is away."""
        linked = {link.host for link in self.peers.up_links()}
        if self.store.is_reachable:
            self._claimants = linked
            return
        # One that was lost since may reach the store, and claim.
        self._claimants |= linked
        for host in self._claimants:
            link = self.peers.link_to(host)
            is_fresh = link is not None and now - link.heard_at < FRESH_SECONDS
            if link is None or not is_fresh or link.can_reach_store:
                return
        for seat in self.seats.values():
            seat.note_store_unreachable(now + FRESH_SECONDS)

    def _set_gauges(self) -> None:
        held = [seat.scheduler for seat in self.seats.values() if seat.is_holding]
        self.metrics.holding.set(len(held))
        is_ready = self.is_ready
        self.metrics.ready.set(is_ready)
        if is_ready is not self._was_ready:
            self._was_ready = is_ready
            logging.info("event=readiness ready=%d isolated=%d", is_ready, self.is_isolated)
        self.metrics.store.set(self.store.is_reachable)
        self.metrics.jobs.set(sum(len(item.context.book.jobs) for item in held if item))
        self.metrics.runs.set(sum(item.context.table.run_count() for item in held if item))

    def _send_heartbeats(self) -> None:
        status = self._status()
        for link in self.peers.up_links():
            link.send(status)

    def _status(self) -> Status:
        claims = []
        for shard, seat in self.seats.items():
            claim = seat.held_claim or self._holders.get(shard)
            if claim is not None:
                claims.append((shard, claim))
        version = self.configuration.version if self.configuration is not None else 0
        is_reachable = self.store.is_reachable
        may_hold = is_reachable and not self.is_stopping
        return Status(claims, version, is_reachable, may_hold, self.is_isolated, self._wall_ms())
