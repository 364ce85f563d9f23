"""Steps about the summaries of closed queues: what a board makes of them, bytes, versions."""

from __future__ import annotations

import re
from itertools import pairwise
from typing import Any

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from onyxspoke.core.admission.summary import (
    AdmissionSummary,
    QueueNotice,
    summary_size_bytes,
    truncate_summary,
)
from onyxspoke.core.admission.summary_cache import AdmissionSummaryCache
from onyxspoke.core.shard.log_records import ClaimRecord, ShardId
from onyxspoke.net.stream import encode_message
from onyxspoke.node.admission_news import AdmissionNews
from onyxspoke.node.heartbeat import HEARTBEAT_SECONDS, HeartbeatSchedule
from onyxspoke.node.messages import Status
from onyxspoke.node.peers import PeerLink

TRUST_SECONDS = 5.0
JOB = "00000000000000aa"
_WORDS = re.compile(
    r"token (?P<token>\d+) at (?P<at>\S+?)(?: of age (?P<age>[^ ,]+))?(?P<other> of another shard)?"
    r"(?:, (?P<queue>\w+) closed (?P<closed>[^ ,]+))?(?: for (?P<tenant>\w+))?"
)


# The board alone


@given("a board that trusts for {seconds:g} seconds")
def _summary_cache(context: Any, seconds: float) -> None:
    context.summary_cache = AdmissionSummaryCache(seconds)
    context.tenant = ""


@when("it hears {words}")
def _hears(context: Any, words: str) -> None:
    for part in words.split("; "):
        if part.startswith("claim "):
            context.summary_cache.note_holder(0, int(part.split()[1]))
        elif part.startswith("asks as "):
            context.tenant = part.split()[2]
        elif part != "nothing":
            _hear_summary(context.summary_cache, _WORDS.fullmatch(part).groupdict())


def _hear_summary(summary_cache: AdmissionSummaryCache, words: dict[str, str | None]) -> None:
    notices = ()
    if words["queue"]:
        tenants = (words["tenant"],) if words["tenant"] else ()
        closed = float(words["closed"])
        notices = (QueueNotice(queue=words["queue"], closed_seconds=closed, tenants=tenants),)
    summary = AdmissionSummary(
        token=int(words["token"]), age_seconds=float(words["age"] or 0), notices=notices
    )
    summary_cache.update(1 if words["other"] else 0, summary, float(words["at"]))


@then('at {now:g} seconds a job of "{queue}" is let through')
def _let_through(context: Any, now: float, queue: str) -> None:
    assert context.summary_cache.decide(0, queue, context.tenant, JOB, now) is None


@then('at {now:g} seconds a job of "{queue}" is refused for {seconds:g}')
def _refused_for(context: Any, now: float, queue: str, seconds: float) -> None:
    told = [
        context.summary_cache.decide(0, queue, context.tenant, f"{number:016x}", now)
        for number in range(200)
    ]
    assert min(told) >= seconds
    assert max(told) <= seconds + max(1.0, seconds)
    assert max(told) - min(told) >= 0.9 * max(1.0, seconds)


_moments = st.floats(0.0, 10.0)
_words = st.lists(
    st.one_of(
        st.tuples(st.just("claim"), st.integers(1, 3), _moments, _moments, _moments),
        st.tuples(st.just("summary"), st.integers(1, 3), _moments, _moments, _moments),
    ),
    max_size=12,
)


@when("summaries and claims of any order, age and token are heard")
def _any_order(context: Any) -> None:
    @settings(max_examples=300, derandomize=True, deadline=None)
    @for_all(_words)
    def check(words: list[tuple[str, int, float, float, float]]) -> None:
        summary_cache = AdmissionSummaryCache(TRUST_SECONDS)
        for kind, token, at, age, closed in sorted(words, key=lambda word: word[2]):
            if kind == "claim":
                summary_cache.note_holder(0, token)
            else:
                notice = QueueNotice(queue="normal", closed_seconds=closed)
                summary_cache.update(
                    0, AdmissionSummary(token=token, age_seconds=age, notices=(notice,)), at
                )
        told = summary_cache.decide(0, "normal", "", JOB, 10.0)
        rest = _newest_rest(words)
        assert (told is None) == (rest is None), (told, rest)
        assert told is None or rest <= told <= rest + max(1.0, rest)

    context.check = check


def _newest_rest(words: list[tuple[str, int, float, float, float]]) -> float | None:
    """Return for how long the queue is closed at 10 seconds, worked out from all words at once."""
    newest = max((token for _kind, token, *_ in words), default=0)
    ours = [
        (at - age, at, closed)
        for kind, token, at, age, closed in words
        if kind == "summary" and token == newest
    ]
    if not ours:
        return None
    made_at, _at, closed = max(ours, key=lambda item: item[:2])
    rest = closed - (10.0 - made_at)
    return rest if rest > 0 and 10.0 - made_at < TRUST_SECONDS else None


@then(
    "a board never refuses but by the newest word of the newest holder, nor for less than it says"
)
def _checked(context: Any) -> None:
    context.check()


# On the wire


#: The heartbeat as the version before knows it.
_FormerStatus = msgspec.defstruct(
    "FormerStatus",
    [
        ("claims", list[tuple[ShardId, ClaimRecord]]),
        ("shard_count", int),
        ("interval_seconds", float),
        ("configuration_version", int),
        ("can_reach_store", bool),
        ("may_hold", bool),
        ("is_isolated", bool),
        ("wall_ms", float),
    ],
    frozen=True,
    array_like=True,
    tag="Status",
)
_FIELDS: dict[str, Any] = {
    "claims": [(0, ClaimRecord(incarnation="a.1", host="a", port=1, token=7))],
    "shard_count": 1,
    "interval_seconds": 0.2,
    "configuration_version": 3,
    "can_reach_store": True,
    "may_hold": True,
    "is_isolated": False,
    "wall_ms": 5.0,
}


@when("a heartbeat with a summary is read by a node that knows none, and one without by this one")
def _across_versions(context: Any) -> None:
    notice = QueueNotice(queue="normal", closed_seconds=2.0)
    told = Status(**_FIELDS, summaries=((0, AdmissionSummary(token=7, notices=(notice,))),))
    former = _FormerStatus(**_FIELDS)
    context.read_by_former = _convert(encode_message(told), _FormerStatus)
    context.read_by_us = _convert(encode_message(former), Status)
    assert _convert(encode_message(told), Status) == told


def _convert(data: bytes, kind: type) -> Any:
    """Read a message as a stream does: decoded first, then given its type."""
    return msgspec.convert(msgspec.msgpack.decode(data), kind)


@then("both have read the rest of it")
def _both_read(context: Any) -> None:
    assert context.read_by_former == _FormerStatus(**_FIELDS)
    assert context.read_by_us == Status(**_FIELDS)
    assert context.read_by_us.summaries == ()


@given(
    "a holder with {peers:d} peers that has closed {queues:d} queues for {tenants:d} tenants each"
)
@given(
    "a holder of {shards:d} shards with {peers:d} peers that has closed {queues:d} queues for"
    " {tenants:d} tenants each"
)
def _telling_holder(context: Any, peers: int, queues: int, tenants: int, shards: int = 1) -> None:
    context.shards = shards
    context.links = [PeerLink(f"host-{number}", is_outgoing=True) for number in range(peers)]
    names = tuple(f"tenant-{number}" for number in range(tenants))
    context.summary = AdmissionSummary(
        token=12_345,
        notices=tuple(
            QueueNotice(queue=f"some-queue-{number}", closed_seconds=2.5, tenants=names)
            for number in range(queues)
        ),
    )


@when("it beats for {seconds:d} seconds")
def _beats(context: Any, seconds: int) -> None:
    news = AdmissionNews()
    schedule = HeartbeatSchedule()
    schedule.node_count = len(context.links) + 1
    context.seconds = seconds
    context.told = []
    context.since = 100.0
    for beat in range(int(seconds / HEARTBEAT_SECONDS)):
        now = context.since + beat * HEARTBEAT_SECONDS
        sources = [(shard, lambda _now: context.summary) for shard in range(context.shards)]
        news.gather(sources, len(context.links), now)
        for link in schedule.select_due(context.links, now):
            link.heartbeat_due_at = now + schedule.interval(True, is_successor=False)
            summaries = news.take_for(link, now)
            if summaries:
                size = sum(summary_size_bytes(summary) for _shard, summary in summaries)
                context.told.append((now, link, size))


@then("it has told {most:d} bytes a second at most, and {more:d} more at once")
def _told_bytes(context: Any, most: int, more: int) -> None:
    since = context.told[0][0]
    total = 0
    for now, _link, size in context.told:
        total += size
        assert total <= most * (now - since) + more, (now, total)


@then("each summary has {most:d} bytes at most")
def _summary_bytes(context: Any, most: int) -> None:
    assert max(size for _now, _link, size in context.told) <= most
    kept = truncate_summary(context.summary)
    assert kept.notices == context.summary.notices[: len(kept.notices)]


@then("each peer has heard of it within {first:g} seconds, and then every {pause:g} seconds")
def _heard(context: Any, first: float, pause: float) -> None:
    by_link: dict[str, list[float]] = {link.host: [] for link in context.links}
    for now, link, _size in context.told:
        by_link[link.host].append(now)
    for moments in by_link.values():
        assert moments and moments[0] <= context.since + first + 0.01, moments
        gaps = [after - before for before, after in pairwise(moments)]
        assert max(gaps) <= pause + 0.01, max(gaps)


_names = st.text(max_size=40)
_notices = st.lists(
    st.builds(
        QueueNotice,
        queue=_names,
        closed_seconds=st.floats(0.0, 30.0),
        tenants=st.lists(_names, max_size=40).map(tuple),
    ),
    max_size=40,
).map(tuple)


@when("summaries of any queues and tenants are cut to any length")
def _cut_any(context: Any) -> None:
    @settings(max_examples=200, derandomize=True, deadline=None)
    @for_all(_notices, st.integers(64, 1_024))
    def check(notices: tuple[QueueNotice, ...], most: int) -> None:
        cut = truncate_summary(AdmissionSummary(token=7, notices=notices), most)
        assert summary_size_bytes(cut) <= most
        left_out = list(notices)
        for notice in cut.notices:
            left_out.remove(notice)
        for notice in left_out:
            longer = [kept for kept in cut.notices if kept.closed_seconds >= notice.closed_seconds]
            whole = AdmissionSummary(token=7, notices=(*longer, notice))
            # The head of the array is counted at its longest.
            assert summary_size_bytes(whole) + 4 > most

    context.check = check


@then(
    "each has that many bytes at most, and every queue that is left out was closed for no longer"
    " or took more"
)
def _cut_checked(context: Any) -> None:
    context.check()


@then("it has told nothing")
def _told_nothing(context: Any) -> None:
    assert context.told == []
