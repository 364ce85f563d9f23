"""Stand-in for workers: many hollow workers in one process."""
