"""Jobs of several steps: what callers hand in, how far each is, what outlives a process."""
