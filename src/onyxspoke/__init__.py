"""onyxspoke: a cluster scheduler for unlike workloads on several hardware generations."""

__version__ = "0.1.0"
