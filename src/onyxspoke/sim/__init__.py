"""Deterministic simulation."""
