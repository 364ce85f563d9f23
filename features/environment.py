"""Hooks of the test run: seeds are fixed and hypothesis is derandomized."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")
