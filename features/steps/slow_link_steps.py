"""Steps about large answers and messages on slow links."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then, when
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from onyxspoke.core.shard.election_actions import NodeIdentity
from onyxspoke.net.http_client import HttpAnswer, HttpClient, encode_request
from onyxspoke.net.stream import encode_message
from onyxspoke.node.configuration_keeper import ConfigurationKeeper
from onyxspoke.node.messages import ConfigurationCopy, Hello
from onyxspoke.node.peers import PeerLink, PeerLinks
from onyxspoke.platform.configuration import decode_configuration

PART = b"x" * 1_000
STEP_SECONDS = 0.3


class _Transport(StringTransport):
    """A transport that can be aborted."""

    was_aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802  (the interface prescribes it)
        """Do nothing; called by the protocol."""

    def abortConnection(self) -> None:  # noqa: N802
        """Note that the connection was dropped."""
        self.was_aborted = True


class _Endpoints:
    """Connects every call to a transport in memory."""

    def __init__(self) -> None:
        self.protocols: list[Any] = []

    def client(self, _host: str, _port: int) -> _Endpoints:
        return self

    def connect(self, factory: Any) -> _Endpoints:
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(_Transport())
        self.protocols.append(protocol)
        return self

    def addErrback(self, _callback: Any) -> None:
        """Never fail."""


@given("a call with {seconds:g} seconds to go, on a connection of its own")
def _call(context: Any, seconds: float) -> None:
    context.clock = Clock()
    endpoints = _Endpoints()
    client = HttpClient(context.clock, endpoints)
    context.answers = []
    request = encode_request("GET", "/", "store")
    client.call("store", 1, request, seconds, context.answers.append)
    context.connection = endpoints.protocols[0]


@when("its answer of {count:d} parts comes with {pause:g} seconds between them")
def _parts(context: Any, count: int, pause: float) -> None:
    length = count * len(PART)
    context.connection.dataReceived(f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n".encode())
    for _ in range(count):
        context.clock.advance(pause)
        if context.connection.transport.was_aborted:
            return
        context.connection.dataReceived(PART)


@when("{seconds:g} seconds pass without an answer")
def _no_answer(context: Any, seconds: float) -> None:
    context.clock.advance(seconds)


@then('the call\'s outcome is "{outcome}"')
def _call_outcome(context: Any, outcome: str) -> None:
    [answer] = context.answers
    assert isinstance(answer, HttpAnswer)
    assert (answer.status == 200) is (outcome == "answered"), answer.status


class _Network:
    def __init__(self, clock: Clock) -> None:
        self.reactor = clock


class _Listener:
    def __init__(self) -> None:
        self.lost: list[Any] = []
        self.ended: list[PeerLink] = []

    def handle_peer_up(self, link: PeerLink) -> None:
        """Do nothing."""

    def handle_peer_message(self, link: PeerLink, message: Any) -> None:
        """Do nothing."""

    def handle_peer_lost(self, host: str, link: PeerLink | None, reason: Any) -> None:
        """Note the reason."""
        self.lost.append(reason)

    def handle_stream_ended(self, link: PeerLink) -> None:
        """Note the stream."""
        self.ended.append(link)


@given("a stream to a peer that was heard just now")
def _peer(context: Any) -> None:
    context.clock = Clock()
    context.clock.advance(100.0)
    context.listener = _Listener()
    own = NodeIdentity(incarnation="own", host="own", port=1, zone="zone", weight=1.0)
    context.links = PeerLinks(_Network(context.clock), own, context.listener)
    context.stream = context.links._build_incoming()
    context.stream.makeConnection(_Transport())
    peer = NodeIdentity(incarnation="peer", host="peer", port=1, zone="zone", weight=1.0)
    context.stream.dataReceived(encode_message(Hello(peer)))


@when("for {seconds:g} seconds {count:d} bytes of a message come each 0.3 seconds")
def _bytes(context: Any, seconds: float, count: int) -> None:
    message = encode_message(ConfigurationCopy(b"x" * 100_000))
    for number in range(int(seconds / STEP_SECONDS)):
        context.clock.advance(STEP_SECONDS)
        if count:
            context.stream.dataReceived(message[number * count : (number + 1) * count])
        context.links.end_silent(context.clock.seconds())


@then("the stream is {state}")
def _stream_state(context: Any, state: str) -> None:
    assert (not context.listener.lost) is (state == "open"), context.listener.lost


class _Port:
    """Decodes copies as the platform's adapter does."""

    def watch(self, _on_configuration: Any, _on_contact: Any) -> None:
        """Report nothing."""

    def decode(self, raw: bytes) -> Any:
        return decode_configuration(raw)


class _Clock:
    def __init__(self) -> None:
        self.seconds = 50.0

    def now(self) -> float:
        return self.seconds


def _keeper(context: Any) -> ConfigurationKeeper:
    return ConfigurationKeeper(_Port(), context.keeper_clock, lambda: [])


@given("a configuration of {count:d} routes")
def _configuration(context: Any, count: int) -> None:
    routes = [
        {
            "name": f"r-{number:07x}",
            "host": f"host{number % 90}.example",
            "pathPrefix": f"/p{number * 7919 % 99991}/",
            "type": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 250,
            "service": "forms",
            "maxAttempts": 2,
            "stretch": 1.5,
        }
        for number in range(count)
    ]
    context.raw = json.dumps({"version": 7, "routes": routes, "services": []}).encode()
    context.keeper_clock = _Clock()
    context.keeper = _keeper(context)
    context.keeper.take(decode_configuration(context.raw))


@when("a peer that the store {word} is found to be behind")
def _behind(context: Any, word: str) -> None:
    context.link = PeerLink("peer", is_outgoing=False)
    context.link.can_reach_store = word == "serves"
    context.sent = []
    context.link.send = context.sent.append
    context.keeper.offer_if_behind(context.link)
    context.keeper.offer_if_behind(context.link)


@when("a second later it still is")
def _second_later(context: Any) -> None:
    context.keeper_clock.seconds += 1.1
    context.keeper.offer_if_behind(context.link)
    context.keeper.offer_if_behind(context.link)


@then("it is sent no copy")
def _no_copy(context: Any) -> None:
    assert context.sent == []


@then("it is sent one copy, of a fifth of the configuration at most")
def _small_copy(context: Any) -> None:
    [copy] = context.sent
    assert len(encode_message(copy)) * 5 <= len(context.raw)


@then("the peer reads the same configuration from it")
def _same(context: Any) -> None:
    peer = _keeper(context)
    peer.take_copy(PeerLink("holder", is_outgoing=True), context.sent[0])
    assert peer.current == context.keeper.current


@when("a copy comes that is none")
def _bad_copy(context: Any) -> None:
    link = PeerLink("peer", is_outgoing=False)
    context.keeper.take_copy(link, ConfigurationCopy(b"not compressed"))


@then("the version in force is still {version:d}")
def _version(context: Any, version: int) -> None:
    assert context.keeper.version == version
