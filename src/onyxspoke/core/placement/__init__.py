"""Placement of tasks: worker capacity, the order of waiting steps, and advice from policies."""
