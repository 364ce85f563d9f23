"""Deterministic simulation and scale measurements of the core."""
