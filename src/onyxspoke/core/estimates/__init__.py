"""Expected task durations: callers' estimates, corrected by observed durations."""
