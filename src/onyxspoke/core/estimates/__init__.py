"""How long work takes: callers' estimates, corrected by what was seen."""
