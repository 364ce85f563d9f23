"""One node: its seats in the shards, its peers, its callers' calls and its configuration."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from absl import logging
from twisted.application.internet import TimerService
from twisted.application.service import MultiService
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall

from onyxspoke.core.admission.summary_cache import AdmissionSummaryCache
from onyxspoke.core.shard.actions import RequestAdvice, StepDownReason
from onyxspoke.core.shard.call_copies import CopyTarget
from onyxspoke.core.shard.calls import Call, CallReply, QuotaCall, ReplyCode, job_id_of
from onyxspoke.core.shard.election_actions import ConnectionLossReason, NodeIdentity
from onyxspoke.core.shard.layout import FIRST_SHARD, CellLayout
from onyxspoke.core.shard.log_records import ClaimRecord, ShardId
from onyxspoke.core.shard.orders import AdviceResult
from onyxspoke.core.shard.store_budget import compute_store_pacing
from onyxspoke.net.network import Network
from onyxspoke.net.stream import encode_message
from onyxspoke.node.admission_news import AdmissionNews, ShardSummary
from onyxspoke.node.advice_exchange import AdviceExchange
from onyxspoke.node.agreed_time import agreed_time_ms
from onyxspoke.node.call_checks import CallChecks
from onyxspoke.node.call_gate import CallGate
from onyxspoke.node.call_route import CallRoute
from onyxspoke.node.call_router import CallRouter, OnReply
from onyxspoke.node.configuration_keeper import ConfigurationKeeper
from onyxspoke.node.directory_hub import DirectoryHub
from onyxspoke.node.heartbeat import HEARTBEAT_SECONDS, HeartbeatSchedule
from onyxspoke.node.key_gate import KeyGate
from onyxspoke.node.layout_planner import LayoutPlanner
from onyxspoke.node.loop_watch import LoopWatch
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
from onyxspoke.node.node_ports import NodePorts
from onyxspoke.node.peers import PeerLink, PeerLinks
from onyxspoke.node.resettlement import STEADY_SECONDS, has_larger_peer
from onyxspoke.node.seat import ShardSeat
from onyxspoke.node.settings import NodeSettings
from onyxspoke.node.shard_handover import ShardHandover
from onyxspoke.node.store_gateway import StoreGateway
from onyxspoke.node.store_watch import HANDOVER_PAUSE_SECONDS, StoreWatch
from onyxspoke.node.succession import Succession, choose_successors, tell_successors
from onyxspoke.ports.clock import Clock
from onyxspoke.ports.configuration import CellConfiguration

TICK_SECONDS = 0.02
#: Between two looks at what changes slowly: silent peers, the store, time of day, gauges.
ROUND_SECONDS = 0.1
SEED_RETRY_SECONDS = 1.0
#: How long a node leaves a shard to others for each one that it holds.
HELD_HANDICAP_SECONDS = 0.15
#: A peer that the store serves may itself be so far behind the newest configuration, in seconds.
PEER_PROOF_SECONDS = 1.6
#: A request for a part of a quota is given up after so long, in seconds.
QUOTA_SECONDS = 0.8
_MILLISECONDS = 1_000.0


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
        self.layout: CellLayout | None = None
        self.metrics = NodeMetrics()
        self._network = network
        self._clock = clock
        self._wall_ms = wall_ms
        self._draw = draw
        self._ports = ports
        self.peers = PeerLinks(network, identity, self, settings.peer_address)
        self.configurations = ConfigurationKeeper(ports.configuration, clock, self.peers.up_links)
        self.configurations.listen(self._set_policy)
        self.store = StoreGateway(ports.store, clock, self.peers.up_links)
        self.summary_cache = AdmissionSummaryCache(
            settings.shard_options.load.summary_trust_seconds
        )
        self.router = CallRouter(self._find_route, self.summary_cache)
        self.keys = KeyGate(
            self.configurations, clock, self.retry, settings.key_trust_seconds, self.metrics
        )
        self._gate = CallGate(self.router, lambda: self.layout, clock, self.metrics)
        self._call_checks = CallChecks()
        self._store_watch = StoreWatch(self.store, self.peers)
        self._directory = DirectoryHub(ports.directory, clock)
        self._planner = LayoutPlanner(settings, self._directory, clock)
        self._advice = AdviceExchange(ports.advice, identity.incarnation, self.peers)
        self._succession = Succession()
        self.seats: dict[ShardId, ShardSeat] = {FIRST_SHARD: self._make_seat(FIRST_SHARD)}
        self._handover = ShardHandover(self.peers, self.seats)
        self._wakes: dict[ShardId, IDelayedCall] = {}
        self._holders: dict[ShardId, ClaimRecord] = {}
        self._seeds_at = 0.0
        self._was_ready = False
        self._round_at = 0.0
        self._told_reachable = False
        #: The time of day on which most nodes agree, less steady time, in milliseconds.
        self._time_offset_ms = 0.0
        self._schedule = HeartbeatSchedule()
        self._admission_news = AdmissionNews()
        self._handlers: dict[type[NodeMessage], Callable[[PeerLink, Any], None]] = {
            Status: self._take_status,
            CallForward: self._serve_call,
            CallAnswer: lambda _link, message: self._take_reply(message.call_id, message.reply),
            AdviceForward: self._advice.serve,
            AdviceAnswer: self._advice.take,
            ConfigurationCopy: self.configurations.take_copy,
            Members: self._take_members,
            AppendRelay: self.store.serve_append,
            NewestRelay: self.store.serve_read,
            AppendRelayAnswer: lambda _link, message: self.store.handle_relay_answer(message),
            NewestRelayAnswer: lambda _link, message: self.store.handle_relay_answer(message),
        }
        self._next_tick: IDelayedCall | None = None
        self._loop_watch = LoopWatch(self.metrics)
        beat = TimerService(HEARTBEAT_SECONDS, self._beat)
        beat.clock = network.reactor
        beat.setServiceParent(self)
        self.peers.setServiceParent(self)

    # Life

    def listen(self) -> Deferred[Any]:
        """Open the server socket for peers."""
        return self.peers.listen()

    def startService(self) -> None:
        """Begin to take part; called by Twisted."""
        self.configurations.watch(self.store.note_contact)
        for seat in list(self.seats.values()):
            seat.start()
        super().startService()
        self._tick()

    def stopService(self) -> Any:
        """Take no more part; called by Twisted."""
        self._cancel_tick()
        return super().stopService()

    def begin_stop(self) -> None:
        """Hand the shards over; calls are still carried.

        A shard that no other node can take over, because all of them stop, is kept.
        """
        self._handover.begin()
        self._send_heartbeats()
        self._handover.update(self._clock.now())
        self._send_heartbeats()

    def refuse_calls(self) -> None:
        """Refuse new calls, and those that no holder has seen; claim no shard any more."""
        self.keys.close()
        self.router.close(self._clock.now())
        self._handover.close(self._clock.now())

    def answer_calls(self) -> None:
        """Answer every call that no holder has replied to, and give all shards up."""
        self.router.answer_all(self._clock.now())
        self._handover.give_up_all()

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._handover.has_begun

    @property
    def is_needed(self) -> bool:
        """Whether callers depend on a shard that this node holds while it stops."""
        return self._handover.is_needed(self._clock.now())

    @property
    def held_shard_count(self) -> int:
        """How many shards this node decides for."""
        return len(self._held_shards())

    def _set_policy(self, configuration: CellConfiguration) -> None:
        for seat in self.seats.values():
            seat.set_policy(configuration.policy)

    @property
    def configuration(self) -> CellConfiguration | None:
        """The version of the configuration in force, if any is known."""
        return self.configurations.current

    @property
    def is_ready(self) -> bool:
        """Whether callers can be served here, in half of the shards at least."""
        if self.is_stopping or self.configuration is None or self.layout is None:
            return False
        served = sum(self._is_served(shard) for shard in self.seats)
        return served * 2 >= len(self.seats)

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
        return self._store_watch.is_isolated

    # Layout

    def handle_layout(self, layout: CellLayout) -> None:
        """The store holds the cell's layout, or a peer tells it."""
        if self.layout is not None:
            return
        self.layout = layout
        logging.info("event=layout shards=%d", layout.shard_count)
        self._directory.set_layout(layout)
        for shard in layout.shards():
            if shard not in self.seats:
                seat = self.seats[shard] = self._make_seat(shard)
                if self.configuration is not None:
                    seat.set_policy(self.configuration.policy)
        for seat in self.seats.values():
            seat.set_shard_count(layout.shard_count)
        if self.seats[FIRST_SHARD].is_holding:
            self._name_first_holders(layout)
        self._set_pacing()
        for shard in layout.shards():
            if shard != FIRST_SHARD:
                self.seats[shard].start()

    def _plan_layout_if_new(self) -> None:
        """Lay a new cell out, as the holder of its first shard."""
        seat = self.seats[FIRST_SHARD]
        if self.layout is None and seat.is_holding:
            layout = self._planner.plan()
            if layout is not None:
                seat.plan_layout(layout)

    def _name_first_holders(self, layout: CellLayout) -> None:
        """Tell the peers who is to claim each shard of a new cell."""
        links = self.peers.up_links()
        self._schedule.node_count = len(links) + 1
        # With the layout, so that the peers know of the shards.
        self._send_heartbeats()
        for shard in layout.shards():
            if shard != FIRST_SHARD:
                successors = choose_successors(shard, links)
                self.seats[shard].election.set_successors(successors)
                tell_successors(links, Members(shard, successors, len(links) + 1))

    def _set_pacing(self) -> None:
        """Have the seats keep to what the store takes from a cell of this size."""
        shard_count = self.layout.shard_count if self.layout is not None else 1
        pacing = compute_store_pacing(
            self.settings.store_budget, self._schedule.node_count, shard_count
        )
        for seat in self.seats.values():
            seat.set_pacing(pacing)

    def _make_seat(self, shard: ShardId) -> ShardSeat:
        return ShardSeat(
            shard,
            self.identity,
            self.settings.shard_options,
            self._clock,
            self._draw,
            self.store,
            self._ports.orders,
            self._directory.of_shard(shard),
            self,
            self.metrics,
            self._load_delay_seconds,
        )

    def _load_delay_seconds(self) -> float:
        """Return how long to leave a shard to nodes that hold fewer."""
        return HELD_HANDICAP_SECONDS * len(self._held_shards())

    def _held_shards(self) -> list[ShardId]:
        return [shard for shard, seat in self.seats.items() if seat.is_holding]

    # Calls

    def submit_call(self, job_id: str, call: Call, on_reply: OnReply, seconds: float) -> None:
        """Carry a client's call to the holder of the job's shard."""
        self._handover.note_call(self._clock.now())
        self._gate.submit(job_id, call, on_reply, seconds)

    @property
    def open_call_count(self) -> int:
        """How many callers' calls are not answered yet."""
        return len(self.router) + len(self.keys)

    @property
    def undecided_call_count(self) -> int:
        """How many calls, also of other nodes' callers, wait for a decision of this node."""
        return sum(seat.open_call_count for seat in self.seats.values())

    def claim_of(self, shard: ShardId) -> ClaimRecord | None:
        """Return the claim of a shard's holder: this node's own, or that of one it can reach."""
        return self.seats[shard].held_claim or self._holders.get(shard)

    def _find_route(self, shard: ShardId) -> CallRoute | None:
        """Return the way to a shard's holder, if one is known and can be reached."""
        seat = self.seats[shard]
        claim = seat.held_claim
        if claim is not None:
            target = CopyTarget(claim.token, claim.incarnation, is_checked=True)
            return CallRoute(target, seat, self._serve_self(seat))
        claim = self._holders.get(shard)
        link = self.peers.link_to(claim.host) if claim is not None else None
        if claim is None or link is None or link.identity is None:
            return None
        token = claim.token

        def send(copy: int, call: Call) -> None:
            link.send(CallForward(shard, copy, call, token))

        target = CopyTarget(token, link.identity.incarnation, link.checks_calls)
        return CallRoute(target, link, send)

    def _serve_self(self, seat: ShardSeat) -> Callable[[int, Call], None]:
        return lambda copy, call: seat.handle_call(call, partial(self._take_reply, copy))

    def _take_reply(self, copy: int, reply: CallReply) -> None:
        self.router.handle_reply(copy, reply, self._clock.now())

    # Seats

    def handle_holder_changed(self, shard: ShardId, claim: ClaimRecord | None) -> None:
        """Another node holds a shard, or nobody that can be reached."""
        if claim is None:
            if self._next_tick is not None:
                self._tick_in(TICK_SECONDS)
            if self._holders.pop(shard, None) is not None:
                self.router.handle_holder_lost(shard)
            return
        self._holders[shard] = claim
        self.summary_cache.note_holder(shard, claim.token)
        self._schedule.note_claim_changed(shard, self._clock.now())
        self.router.handle_holder_found(shard, self._clock.now())

    def handle_holding(self, shard: ShardId, is_holding: bool) -> None:
        """Take note that this node has begun, or ceased, to decide for a shard."""
        if not is_holding:
            self.router.handle_path_lost(self.seats[shard])
        self.router.handle_holder_lost(shard)
        if is_holding:
            self._holders.pop(shard, None)
            claim = self.seats[shard].held_claim
            if claim is not None:
                self.summary_cache.note_holder(shard, claim.token)
            # Those who wait for their turn to claim hear it sooner than they would read it.
            for member in self.seats[shard].election.successors:
                self.connect_peer(member.host, member.port)
            self._note_peers_changed()
            self.router.handle_holder_found(shard, self._clock.now())
        self._send_heartbeats()

    def connect_peer(self, host: str, port: int) -> None:
        """Have a stream to a node."""
        link = self.peers.link_to(host)
        if link is None:
            self.peers.connect(host, port)

    def ask_advice(
        self, shard: ShardId, action: RequestAdvice, on_result: Callable[[AdviceResult], None]
    ) -> None:
        """Have an entry ask the advice service."""
        self._advice.ask(shard, action, on_result)

    def ask_quota(self, home: ShardId, call: QuotaCall, on_reply: OnReply) -> None:
        """Ask the holder of a tenant's home shard for a part of its quota."""
        now = self._clock.now()
        self.router.submit(home, call, on_reply, now, now + QUOTA_SECONDS)

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

    # Peers

    def handle_peer_up(self, link: PeerLink) -> None:
        """A peer has said who it is."""
        # The next one, which tells the true interval, follows soon.
        link.send(self.heartbeat(HEARTBEAT_SECONDS, is_first=True))
        self._note_peers_changed()
        assert link.identity is not None
        logging.info("event=peer_up peer=%s life=%s", link.host, link.identity.incarnation)

    def handle_peer_lost(
        self, host: str, link: PeerLink | None, reason: ConnectionLossReason
    ) -> None:
        """A stream ended, or none came about."""
        logging.info("event=peer_lost peer=%s reason=%s", host, reason.value)
        if link is not None:
            self._note_peers_changed()
            self.handle_stream_ended(link)
        if self.peers.link_to(host) is not None:
            return
        for seat in list(self.seats.values()):
            seat.election.handle_peer_lost(host, reason, self._clock.now())
            seat.carry_out_election()

    def handle_stream_ended(self, link: PeerLink) -> None:
        """Send elsewhere, or again, what was asked on a stream that is lost.

        Its answers come on no other stream, also where there is another one to the same node.
        """
        self._advice.handle_link_lost(link)
        self.router.handle_path_lost(link)

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
        link.note_interval(message.interval_seconds)
        if message.shard_count:
            self.handle_layout(CellLayout(message.shard_count))
        if link.may_hold is not message.may_hold:
            link.may_hold = message.may_hold
            self._note_peers_changed()
            self._handover.update(self._clock.now())
        link.configuration_version = max(link.configuration_version, message.configuration_version)
        self.configurations.offer_if_behind(link)
        now = self._clock.now()
        if message.can_reach_store and message.configuration_version <= self.configurations.version:
            self.configurations.note_proof(now - PEER_PROOF_SECONDS)
        for shard, summary in message.summaries:
            if shard in self.seats:
                self.summary_cache.update(shard, summary, now)
        claims = dict(message.claims)
        for shard, seat in list(self.seats.items()):
            claim = claims.get(shard)
            if claim is not None or seat.election.is_held_by(link.host):
                seat.election.handle_peer_status(
                    link.identity, claim, now, message.interval_seconds, link.opened_at
                )
                seat.carry_out_election()

    def _serve_call(self, link: PeerLink, message: CallForward) -> None:
        seat = self.seats.get(message.shard)
        if seat is None or not self._check_call(link, message, seat.held_claim):
            link.send(CallAnswer(message.call_id, CallReply(code=ReplyCode.NOT_HOLDER)))
            return
        self._handover.note_call(self._clock.now())
        seat.handle_call(message.call, lambda reply: link.send(CallAnswer(message.call_id, reply)))

    def _check_call(self, link: PeerLink, message: CallForward, held: ClaimRecord | None) -> bool:
        """Return whether a forwarded call may be decided about here."""
        assert link.identity is not None
        incarnation = link.identity.incarnation
        held_token = held.token if held is not None else None
        fault = self._call_checks.handle_call(incarnation, message, held_token)
        if fault is not None and held is not None:
            logging.info(
                "event=call_copy_rejected shard=%d copy=%d entry=%s job=%s token=%d held=%d"
                " reason=%s",
                message.shard,
                message.call_id,
                incarnation,
                job_id_of(message.call),
                message.token,
                held.token,
                fault.value,
            )
        return fault is None

    def _note_peers_changed(self) -> None:
        """Let the seats know through which nodes advice can be asked."""
        self._succession.note_change()
        held = self._held_shards()
        if held:
            advisors = self._advice.advisors()
            for shard in held:
                self.seats[shard].set_advice_entries(advisors)

    def _take_members(self, _link: PeerLink, message: Members) -> None:
        if message.node_count != self._schedule.node_count:
            self._schedule.node_count = message.node_count
            self._set_pacing()
        seat = self.seats.get(message.shard)
        if seat is not None:
            seat.election.set_successors(message.members)

    # Time

    def now(self) -> float:
        """Return the node's steady time, in seconds."""
        return self._clock.now()

    def time_of_day_ms(self) -> float:
        """Return the time of day on which most nodes agree; single clocks may jump."""
        return agreed_time_ms(self._clock.now(), self._wall_ms(), self.peers.up_links())

    def _tick(self) -> None:
        now = self._clock.now()
        self._loop_watch.note_tick(now)
        # First, so that a fault below ends one tick and not all.
        self._tick_in(TICK_SECONDS)
        if now >= self._round_at:
            self._round_at = now + ROUND_SECONDS
            self._keep_slowly(now)
        if self._schedule.take_news(now) and self._held_shards():
            self._send_heartbeats()
        wall_ms = now * _MILLISECONDS + self._time_offset_ms
        for seat in list(self.seats.values()):
            if not seat.is_quiet(now):
                seat.tick(wall_ms)
        self.store.keep(now)
        self.router.keep(now, is_cut_off=not self.store.is_reachable)
        if self._is_quiet(now):
            self._tick_in(min(ROUND_SECONDS, TICK_SECONDS * len(self.seats)))

    def _is_quiet(self, now: float) -> bool:
        """Return whether the passing of time changes nothing, so that ticks may be rarer."""
        return not len(self.router) and all(seat.is_quiet(now) for seat in self.seats.values())

    def _tick_in(self, seconds: float) -> None:
        self._cancel_tick()
        self._loop_watch.expect_tick(self._clock.now() + seconds)
        self._next_tick = self._network.reactor.callLater(seconds, self._tick)

    def _cancel_tick(self) -> None:
        if self._next_tick is not None and self._next_tick.active():
            self._next_tick.cancel()
        self._next_tick = None

    def _keep_slowly(self, now: float) -> None:
        """Look at everything that need not be looked at on every tick."""
        self._time_offset_ms = self.time_of_day_ms() - now * _MILLISECONDS
        self._plan_layout_if_new()
        self._follow_store(now)
        self._leave_to_larger(now)
        self._handover.update(now)
        self._set_gauges()
        self.peers.end_silent(now)
        if self.configuration is None and now >= self._seeds_at:
            self._seeds_at = now + SEED_RETRY_SECONDS
            for seed in self.settings.seeds:
                self.connect_peer(seed, self.settings.peer_port)

    def _follow_store(self, now: float) -> None:
        """Let the seats know what follows from whether the store can be reached."""
        if self.store.is_reachable is not self._told_reachable:
            self._send_heartbeats()
        if self._store_watch.take_handover(now):
            for seat in self.seats.values():
                if seat.is_holding:
                    seat.election.defer_claims_until(now + HANDOVER_PAUSE_SECONDS)
                    seat.step_down(StepDownReason.STORE_UNREACHABLE)
        self._store_watch.note_peers()

    def _leave_to_larger(self, now: float) -> None:
        """Leave the shards that were held for a while to a much larger node, if one is there."""
        seats = [
            seat
            for seat in self.seats.values()
            if seat.is_holding and now - seat.held_since >= STEADY_SECONDS
        ]
        if not seats or not self.store.is_reachable:
            return
        if has_larger_peer(self.identity.weight, self.peers.up_links(), now):
            for seat in seats:
                seat.election.defer_claims_until(now + HANDOVER_PAUSE_SECONDS)
                seat.step_down(StepDownReason.LARGER_NODE)

    def _set_gauges(self) -> None:
        held = [seat.scheduler for seat in self.seats.values() if seat.is_holding]
        self.metrics.holding.set(len(held))
        is_ready = self.is_ready
        self.metrics.ready.set(is_ready)
        if is_ready is not self._was_ready:
            self._was_ready = is_ready
            logging.info("event=readiness ready=%d isolated=%d", is_ready, self.is_isolated)
        self.metrics.store.set(self.store.is_reachable)
        self.metrics.jobs.set(sum(len(item.context.job_registry.jobs) for item in held if item))
        self.metrics.runs.set(sum(item.context.table.run_count() for item in held if item))

    # Heartbeats

    def _beat(self) -> None:
        now = self._clock.now()
        self._send_heartbeats(self._schedule.select_due(self.peers.all_up_links(), now))
        links = self.peers.up_links()
        for message, receivers in self._succession.take_news(self._held_shards(), links):
            self.seats[message.shard].election.set_successors(message.members)
            tell_successors(receivers, message)

    def _send_heartbeats(self, links: list[PeerLink] | None = None) -> None:
        """Send heartbeats, by default on every stream, because one that is silent is ended."""
        now = self._clock.now()
        held = self._held_shards()
        successors = {
            node.incarnation for shard in held for node in self.seats[shard].election.successors
        }
        receivers = self.peers.all_up_links() if links is None else links
        self._gather_summaries(now)
        encoded: dict[tuple[float, bool], bytes] = {}
        for link in receivers:
            assert link.identity is not None
            interval = self._schedule.interval(bool(held), link.identity.incarnation in successors)
            summaries = self._admission_news.take_for(link, now)
            kind = (interval, bool(summaries))
            if kind not in encoded:
                encoded[kind] = encode_message(self.heartbeat(interval, summaries=summaries))
            link.heartbeat_due_at = now + interval
            link.send_encoded(encoded[kind])

    def _gather_summaries(self, now: float) -> None:
        """Ask the schedulers of the shards that are held which queues are closed."""
        sources = [
            (shard, seat.scheduler.admission_summary)
            for shard, seat in self.seats.items()
            if seat.is_holding and seat.scheduler is not None
        ]
        self._admission_news.gather(sources, len(self.peers.all_up_links()), now)

    def heartbeat(
        self,
        interval_seconds: float,
        is_first: bool = False,
        summaries: Sequence[ShardSummary] = (),
    ) -> Status:
        """Return what a peer is told now; the first time it is all that this node knows.

        Parameters
        ----------
        interval_seconds : float
            When the next one comes, at the latest.
        summaries : sequence of tuple
            Closed queues of the shards held here, where they are told.
        """
        claims = {}
        for shard in self.seats:
            claim = self.claim_of(shard)
            if claim is not None:
                claims[shard] = claim
        is_reachable = self._told_reachable = self.store.is_reachable
        now = self._clock.now()
        return Status(
            claims=self._schedule.select_claims(claims, self._held_shards(), is_first, now),
            shard_count=self.layout.shard_count if self.layout is not None else 0,
            interval_seconds=interval_seconds,
            configuration_version=self.configurations.version,
            can_reach_store=is_reachable,
            may_hold=is_reachable and not self.is_stopping,
            is_isolated=self.is_isolated,
            wall_ms=self._wall_ms(),
            summaries=tuple(summaries),
        )

    def heartbeat_interval(self) -> float:
        """Return how often heartbeats go out to a peer that is not to take over."""
        return self._schedule.interval(bool(self._held_shards()), is_successor=False)
