"""Jobs of every shape, drawn from a random source."""

from __future__ import annotations

import random

from onyxspoke.core.jobs.model import StepSpec

QUEUES = ("urgent", "normal", "patient")
#: Shares of jobs and steps with a certain trait.
TWO_STEP_SHARE = 0.3
GANG_SHARE = 0.25
CHECKPOINTING_SHARE = 0.3
LABEL_SHARE = 0.1
SPREAD_SHARE = 0.1


def draw_steps(draw: random.Random) -> tuple[StepSpec, ...]:
    """Return the steps of one job; a second one waits for the first."""
    steps = [_draw_step(draw, 0)]
    if draw.random() < TWO_STEP_SHARE:
        steps.append(_draw_step(draw, 1))
    return tuple(steps)


def _draw_step(draw: random.Random, number: int) -> StepSpec:
    is_gang = draw.random() < GANG_SHARE
    return StepSpec(
        task_count=draw.randrange(1, 5),
        processors_milli=draw.randrange(500, 5_000),
        memory_mb=draw.randrange(256, 8_000),
        estimated_ms=800,
        depends_on=(0,) if number else (),
        checkpointing=draw.random() < CHECKPOINTING_SHARE,
        gang=is_gang,
        required_label="a" if draw.random() < LABEL_SHARE else "",
        spread_limit=2 if draw.random() < SPREAD_SHARE and not is_gang else 0,
    )
