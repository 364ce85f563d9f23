"""Scheduling decisions: events in, typed actions out; no I/O, clock or random source."""
