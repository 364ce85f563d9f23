"""Steps about entries that go by the holders' summaries of closed queues."""

from __future__ import annotations

import math
import re
from collections import Counter
from itertools import pairwise
from typing import Any
from unittest import mock

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from onyxspoke.core.admission.board import AdmissionBoard
from onyxspoke.core.admission.summary import (
    AdmissionSummary,
    QueueNotice,
    bound_summary,
    size_of_summary,
)
from onyxspoke.core.jobs.model import JobSpec, StepSpec
from onyxspoke.core.shard.calls import CallReply, ReplyCode, SubmitCall
from onyxspoke.core.shard.log_records import ClaimRecord, ShardId
from onyxspoke.core.shard.scheduler import ShardScheduler
from onyxspoke.kit.jobs.audit import JobAudit
from onyxspoke.kit.jobs.workers import WorkOptions
from onyxspoke.net.stream import encode_message
from onyxspoke.node.admission_news import AdmissionNews
from onyxspoke.node.heartbeat import HEARTBEAT_SECONDS, HeartbeatSchedule
from onyxspoke.node.messages import Status
from onyxspoke.node.peers import PeerLink
from onyxspoke.sim.explore_jobs import make_options, play
from onyxspoke.sim.job_cluster import ClusterOptions, JobCluster, SimulatedNode

SETTLE_SECONDS = 3.0
#: The span in which an entry waits for the next holder, and two ticks of a node.
REFUSED_FROM, REFUSED_BY = 0.5, 0.54
#: For how long callers wait by default.
PATIENCE_SECONDS = 3.0
TRUST_SECONDS = 5.0
JOB = "00000000000000aa"
_WORDS = re.compile(
    r"token (?P<token>\d+) at (?P<at>\S+?)(?: of age (?P<age>[^ ,]+))?(?P<other> of another shard)?"
    r"(?:, (?P<queue>\w+) closed (?P<closed>[^ ,]+))?(?: for (?P<tenant>\w+))?"
)


def _close(holder: SimulatedNode, shard: ShardId, queue: str, seconds: float) -> None:
    """Have a holder tell that a queue is closed until so many seconds from now."""
    scheduler = holder.node.seats[shard].scheduler
    until = holder.process.reactor.seconds() + seconds

    def summarise(now: float) -> AdmissionSummary:
        notice = QueueNotice(queue=queue, closed_seconds=until - now)
        return AdmissionSummary(token=scheduler.context.token, notices=(notice,))

    scheduler.admission_summary = summarise


def _start(context: Any, options: ClusterOptions) -> None:
    context.cluster = JobCluster(options)
    context.cluster.start()
    context.cluster.run(SETTLE_SECONDS)


@given("a cluster whose holder has closed nothing")
def _open_cluster(context: Any) -> None:
    work = WorkOptions(seed=3)
    _start(context, ClusterOptions(seed=3, nodes=4, with_advice=False, work=work))
    context.holder = context.cluster.holder()
    context.entry = next(
        node for node in context.cluster.nodes.values() if node is not context.holder
    )


@given('a cluster whose holder has closed "{queue}" for {seconds:g} seconds')
def _closed_cluster(context: Any, queue: str, seconds: float) -> None:
    _open_cluster(context)
    _close(context.holder, 0, queue, seconds + HEARTBEAT_SECONDS)
    context.cluster.run(HEARTBEAT_SECONDS)


@given('a cluster of three shards of which the holder of one has closed "{queue}" for 4 seconds')
def _closed_shard(context: Any, queue: str) -> None:
    _start(context, make_options(4, WorkOptions(seed=4), shards=3))
    nodes = context.cluster.nodes.values()
    held = {
        shard: node for node in nodes for shard, seat in node.node.seats.items() if seat.is_holding
    }
    # The first whose shards others hold, with an entry that holds nothing or another's.
    context.closed_shard, context.holder = next(iter(held.items()))
    context.entry = next(
        node
        for node in nodes
        if node is not context.holder and not node.node.seats[context.closed_shard].is_holding
    )
    context.lost_shards = {shard for shard, node in held.items() if node is context.holder}
    _close(context.holder, context.closed_shard, queue, 4 + HEARTBEAT_SECONDS)
    context.cluster.run(HEARTBEAT_SECONDS)


def _hand_in(context: Any, count: int, queue: str, patience: float = PATIENCE_SECONDS) -> None:
    """Hand jobs in at an entry, and gather each reply with its seconds."""
    cluster = context.cluster
    context.replies = {}
    policy = cluster.configuration.configuration.policy.queues[queue]
    context.since = cluster.time.now()
    for number in range(count):
        job_id = f"{0xAD000000 + number:016x}"
        step = StepSpec(task_count=1, processors_milli=100, memory_mb=64, estimated_ms=200)
        job = JobSpec(job_id=job_id, queue=policy, payload="x", steps=(step,))

        def take(reply: CallReply | None, job_id: str = job_id) -> None:
            context.replies[job_id] = (reply, cluster.time.now() - context.since)

        cluster.call(context.entry, job_id, SubmitCall(job), take, patience)


@when('{count:d} jobs for "{queue}" come at another entry')
def _come(context: Any, count: int, queue: str) -> None:
    _hand_in(context, count, queue)
    context.cluster.run(4.0)


@when(
    'the holder is killed, another takes over, and {count:d} jobs for "{queue}" come at another'
    " entry"
)
def _take_over_and_come(context: Any, count: int, queue: str) -> None:
    _take_over(context)
    _come(context, count, queue)


def _take_over(context: Any) -> None:
    """Kill the holder, and wait until the others have heard of the next one."""
    cluster = context.cluster
    cluster.kill_node(context.holder.name)
    for _ in range(200):
        cluster.run(0.01)
        if cluster.holder() is not None:
            break
    context.holder = cluster.holder()
    assert context.holder is not None
    others = [node for node in cluster.nodes.values() if node is not context.holder]
    context.entry = next(node for node in others if node.is_up)
    cluster.run(0.02)


@when(
    "the holder is killed, the next one too, the one after needs {seconds:g} seconds, and"
    ' {count:d} jobs for "{queue}" come at another entry'
)
def _both_killed(context: Any, seconds: float, count: int, queue: str) -> None:
    _take_over(context)
    _change_and_come(context, "killed", seconds, count, queue)


@when("an entry forgets what it was told")
def _forget(context: Any) -> None:
    node = context.entry.node
    node.router._board = node.board = AdmissionBoard(TRUST_SECONDS)


@when(
    "an entry is cut off from everything for {seconds:g} seconds, and"
    ' {count:d} jobs for "{queue}" come there'
)
def _cut_and_come(context: Any, seconds: float, count: int, queue: str) -> None:
    cluster = context.cluster
    others = [node.host for node in cluster.nodes.values() if node is not context.entry]
    cluster.cut(context.entry.host, [*others, "store"])
    cluster.run(seconds)
    _come(context, count, queue)


@when(
    "the holder is {ended}, the next one needs {seconds:g} seconds, and {count:d} jobs for"
    ' "{queue}" come elsewhere'
)
@when(
    "that holder is {ended}, the next one needs {seconds:g} seconds, and {count:d} jobs for"
    ' "{queue}" come elsewhere'
)
def _change_and_come(context: Any, ended: str, seconds: float, count: int, queue: str) -> None:
    _change_holder(context, ended, seconds)
    _come(context, count, queue)


@when(
    "the holder is {ended}, the next one needs {seconds:g} seconds, and {count:d} jobs for"
    ' "{queue}" come elsewhere for {patience:g} seconds'
)
def _change_and_come_briefly(
    context: Any, ended: str, seconds: float, count: int, queue: str, patience: float
) -> None:
    _change_holder(context, ended, seconds)
    _hand_in(context, count, queue, patience=patience)
    context.cluster.run(4.0)


def _change_holder(context: Any, ended: str, seconds: float) -> None:
    """End a holder; nobody else claims its shards for a while."""
    cluster = context.cluster
    elections = [
        seat.election
        for node in cluster.nodes.values()
        if node is not context.holder
        for seat in node.node.seats.values()
    ]

    def let_claim() -> None:
        for election in elections:
            election.rest_until(cluster.time.now())
            # Those who rest look again rarely.
            election._due_at = cluster.time.now()

    for election in elections:
        election.rest_until(math.inf)
    cluster.time.schedule(seconds, let_claim)
    if ended == "killed":
        cluster.kill_node(context.holder.name)
    else:
        assert ended == "stopped as planned", ended
        context.holder.process.run(context.holder.node.begin_stop)
    # The end of its connections, or its word, has to arrive.
    cluster.run(0.002)


@when("its holder opens every queue")
def _open(context: Any) -> None:
    scheduler = context.holder.node.seats[0].scheduler
    token = scheduler.context.token
    scheduler.admission_summary = lambda _now: AdmissionSummary(token=token)


@then("the other entries know of no closed queue after {seconds:g} seconds")
def _know_open(context: Any, seconds: float) -> None:
    cluster = context.cluster
    others = [node for node in cluster.nodes.values() if node is not context.holder]

    def closed() -> list[Any]:
        now = cluster.time.now()
        return [found for node in others for found in node.node.board.closed_queues(0, now)]

    assert len(closed()) == len(others)
    cluster.run(seconds)
    assert not closed()


def _refusals(context: Any, reason: str) -> list[tuple[CallReply, float]]:
    found = list(context.replies.values())
    assert found
    for reply, _seconds in found:
        assert reply is not None and reply.code is ReplyCode.REFUSED, found
        assert reply.reason == reason, found
    return found


@then('all of them are refused as "{reason}" after half a second')
def _refused_after_span(context: Any, reason: str) -> None:
    times = [seconds for _reply, seconds in _refusals(context, reason)]
    assert all(REFUSED_FROM < seconds <= REFUSED_BY for seconds in times), times


@then('all of them are refused as "{reason}" by {most:g} seconds')
def _refused_by(context: Any, reason: str, most: float) -> None:
    times = [seconds for _reply, seconds in _refusals(context, reason)]
    assert all(seconds <= most + 0.02 for seconds in times), times


@then('all of them are refused as "{reason}" after a quarter of a second')
def _refused_later(context: Any, reason: str) -> None:
    times = [seconds for _reply, seconds in _refusals(context, reason)]
    assert all(0.25 <= seconds < 0.35 for seconds in times), times


@then("they are told {least:g} seconds at least to come back, spread over {span:g} seconds or more")
def _told(context: Any, least: float, span: float) -> None:
    told = [reply.retry_after_seconds for reply, _seconds in context.replies.values()]
    assert min(told) >= least, told
    assert max(told) - min(told) >= span, told


@then("they are told exactly 1 second to come back")
def _told_default(context: Any) -> None:
    assert all(reply.retry_after_seconds == 1.0 for reply, _ in context.replies.values())


@then("none of them ever runs")
def _none_runs(context: Any) -> None:
    context.cluster.run(6.0)
    assert context.cluster.audit.counts["starts"] == 0, context.cluster.audit.counts


@then("all of them are accepted")
def _accepted(context: Any) -> None:
    codes = {reply and reply.code for reply, _seconds in context.replies.values()}
    assert codes == {ReplyCode.OK}, context.replies


@then("all of them are accepted, after {least:g} to {most:g} seconds")
def _accepted_within(context: Any, least: float, most: float) -> None:
    _accepted(context)
    times = [seconds for _reply, seconds in context.replies.values()]
    # They come a moment after the end of the holder.
    assert least - 0.002 < min(times) and max(times) <= most, times


@then("the jobs of its closed shard are refused after half a second and the others are not")
def _by_shard(context: Any) -> None:
    layout = context.entry.node.layout
    seen = set()
    for job_id, (reply, seconds) in context.replies.items():
        shard = layout.shard_of_job(job_id)
        seen.add(shard)
        if shard == context.closed_shard:
            assert (reply.code, reply.reason) == (ReplyCode.REFUSED, "queue_closed"), reply
            assert REFUSED_FROM < seconds <= REFUSED_BY
        else:
            assert reply.code is ReplyCode.OK, (shard, reply)
    assert len(seen) == 3


# Explorations

ALL_QUEUES = ("urgent", "normal", "patient")


def _all_closed(scheduler: ShardScheduler, _now: float) -> AdmissionSummary:
    notices = tuple(QueueNotice(queue=queue, closed_seconds=3.0) for queue in ALL_QUEUES)
    return AdmissionSummary(token=scheduler.context.token, notices=notices)


@when(
    "seeds {first:d} to {last:d} are played with one shard and {more:d} to {most:d} with three,"
    " every queue closed by word"
)
def _explore(context: Any, first: int, last: int, more: int, most: int) -> None:
    context.reasons = Counter()
    heard = JobAudit.handle_submit_reply

    def take(audit: JobAudit, job_id: str, reply: CallReply | None) -> None:
        if reply is not None and reply.code is ReplyCode.REFUSED:
            context.reasons[reply.reason] += 1
        heard(audit, job_id, reply)

    with (
        mock.patch.object(ShardScheduler, "admission_summary", _all_closed),
        mock.patch.object(JobAudit, "handle_submit_reply", take),
    ):
        context.reports = [play(seed) for seed in range(first, last + 1)]
        context.reports += [play(seed, shards=3) for seed in range(more, most + 1)]


@then("no job that only was refused ever ran, and none was doubled or lost")
def _no_findings(context: Any) -> None:
    assert not [finding for report in context.reports for finding in report.findings]


@then('some jobs were refused as "{reason}"')
def _some_refused(context: Any, reason: str) -> None:
    assert context.reasons[reason] > 0, context.reasons


# The board alone


@given("a board that trusts for {seconds:g} seconds")
def _board(context: Any, seconds: float) -> None:
    context.board = AdmissionBoard(seconds)
    context.tenant = ""


@when("it hears {words}")
def _hears(context: Any, words: str) -> None:
    for part in words.split("; "):
        if part.startswith("claim "):
            context.board.note_holder(0, int(part.split()[1]))
        elif part.startswith("asks as "):
            context.tenant = part.split()[2]
        elif part != "nothing":
            _hear_summary(context.board, _WORDS.fullmatch(part).groupdict())


def _hear_summary(board: AdmissionBoard, words: dict[str, str | None]) -> None:
    notices = ()
    if words["queue"]:
        tenants = (words["tenant"],) if words["tenant"] else ()
        closed = float(words["closed"])
        notices = (QueueNotice(queue=words["queue"], closed_seconds=closed, tenants=tenants),)
    summary = AdmissionSummary(
        token=int(words["token"]), age_seconds=float(words["age"] or 0), notices=notices
    )
    board.take(1 if words["other"] else 0, summary, float(words["at"]))


@then('at {now:g} seconds a job of "{queue}" is let through')
def _let_through(context: Any, now: float, queue: str) -> None:
    assert context.board.decide(0, queue, context.tenant, JOB, now) is None


@then('at {now:g} seconds a job of "{queue}" is refused for {seconds:g}')
def _refused_for(context: Any, now: float, queue: str, seconds: float) -> None:
    told = [
        context.board.decide(0, queue, context.tenant, f"{number:016x}", now)
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
        board = AdmissionBoard(TRUST_SECONDS)
        for kind, token, at, age, closed in sorted(words, key=lambda word: word[2]):
            if kind == "claim":
                board.note_holder(0, token)
            else:
                notice = QueueNotice(queue="normal", closed_seconds=closed)
                board.take(0, AdmissionSummary(token=token, age_seconds=age, notices=(notice,)), at)
        told = board.decide(0, "normal", "", JOB, 10.0)
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
    "claims": [(0, ClaimRecord(life="a.1", host="a", port=1, token=7))],
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
                size = sum(size_of_summary(summary) for _shard, summary in summaries)
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
    kept = bound_summary(context.summary)
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
        cut = bound_summary(AdmissionSummary(token=7, notices=notices), most)
        assert size_of_summary(cut) <= most
        left_out = list(notices)
        for notice in cut.notices:
            left_out.remove(notice)
        for notice in left_out:
            longer = [kept for kept in cut.notices if kept.closed_seconds >= notice.closed_seconds]
            whole = AdmissionSummary(token=7, notices=(*longer, notice))
            # The head of the array is counted at its longest.
            assert size_of_summary(whole) + 4 > most

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
