"""The links of a run's proxy, and groups of them that faults strike."""

from __future__ import annotations

from onyxspoke.node.settings import Address
from onyxspoke.soak.events import LinkMode, StrikeLinks
from onyxspoke.soak.plan import CALLER_PORT, WORKER_PORT, SoakPlan
from onyxspoke.soak.proxy import LinkPlan

#: Share of the workers' links that a fault strikes.
STRUCK_SHARE = 0.4
#: Kinds of groups of links that a fault strikes.
LINK_GROUPS = 4


def list_links(plan: SoakPlan) -> list[LinkPlan]:
    """Return every link of the proxy."""
    links = []
    for index in range(plan.nodes):
        host = plan.node_host(index)
        for name, service in (("store", plan.store), ("advice", plan.advice)):
            links.append(LinkPlan(f"{name}-{index}", plan.seen_by(index, service), service, host))
        front = Address(host, CALLER_PORT)
        links.append(LinkPlan(f"callers-{index}", plan.caller_address(index), front))
        if plan.with_zones:
            told, own = plan.told_address(index), plan.peer_address(index)
            links.append(
                LinkPlan(_peers(index), told, own, keeps_source=True, refuses_like_target=True)
            )
    for index in range(plan.workers):
        host = plan.worker_host(index)
        inner = Address(host, plan.worker_port)
        outer = Address(host, WORKER_PORT)
        links.append(LinkPlan(_worker(index), outer, inner, keeps_source=plan.with_zones))
    return links


def choose_links(plan: SoakPlan, target: int) -> tuple[str, ...]:
    """Return the links that a fault strikes: a node's to the store, to callers, or to workers."""
    node = target // LINK_GROUPS % plan.nodes
    groups = (
        (f"store-{node}", f"advice-{node}"),
        tuple(f"store-{index}" for index in range(plan.nodes)),
        (f"callers-{node}",),
        choose_workers(plan, target),
    )
    return groups[target % LINK_GROUPS]


def choose_workers(plan: SoakPlan, target: int) -> tuple[str, ...]:
    """Return the links of some workers, from any node."""
    count = max(1, int(plan.workers * STRUCK_SHARE))
    return tuple(_worker((target + step) % plan.workers) for step in range(count))


def cut_store(index: int, seconds: float) -> list[StrikeLinks]:
    """Return what cuts one node off from the store."""
    return [StrikeLinks((f"store-{index}",), LinkMode.CUT, seconds)]


def cut_peers(plan: SoakPlan, inside: list[int], seconds: float) -> list[StrikeLinks]:
    """Return what cuts some nodes off from all others."""
    outside = [index for index in range(plan.nodes) if index not in inside]
    return [
        _cut(plan, [_peers(index) for index in inside], outside, seconds),
        _cut(plan, [_peers(index) for index in outside], inside, seconds),
    ]


def cut_zone(plan: SoakPlan, zone: int, seconds: float) -> list[StrikeLinks]:
    """Return what cuts a zone off: from other zones' nodes and workers, and from the store."""
    inside = [index for index in range(plan.nodes) if index % plan.zones == zone]
    outside = [index for index in range(plan.nodes) if index not in inside]
    own = [_worker(index) for index in range(plan.workers) if index % plan.zones == zone]
    others = [_worker(index) for index in range(plan.workers) if index % plan.zones != zone]
    strikes = cut_peers(plan, inside, seconds)
    strikes += [_cut(plan, own, outside, seconds), _cut(plan, others, inside, seconds)]
    for index in inside:
        strikes += cut_store(index, seconds)
    return strikes


def _cut(plan: SoakPlan, names: list[str], sources: list[int], seconds: float) -> StrikeLinks:
    hosts = tuple(plan.node_host(index) for index in sources)
    # Without a host the strike would meet all of them.
    return StrikeLinks(tuple(names) if hosts else (), LinkMode.CUT, seconds, hosts)


def _peers(index: int) -> str:
    return f"peers-{index}"


def _worker(index: int) -> str:
    return f"worker-{index}"
