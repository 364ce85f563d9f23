"""The links of a run's proxy, and groups of them that faults strike."""

from __future__ import annotations

from onyxspoke.node.settings import Address
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
    for index in range(plan.workers):
        host = plan.worker_host(index)
        inner = Address(host, plan.worker_port)
        links.append(LinkPlan(f"worker-{index}", Address(host, WORKER_PORT), inner))
    return links


def choose_links(plan: SoakPlan, target: int) -> tuple[str, ...]:
    """Return the links that a fault strikes: a node's to the store, to callers, or to workers."""
    node = target // LINK_GROUPS % plan.nodes
    count = max(1, int(plan.workers * STRUCK_SHARE))
    groups = (
        (f"store-{node}", f"advice-{node}"),
        tuple(f"store-{index}" for index in range(plan.nodes)),
        (f"callers-{node}",),
        tuple(f"worker-{(target + step) % plan.workers}" for step in range(count)),
    )
    return groups[target % LINK_GROUPS]
