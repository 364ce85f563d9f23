"""Jobs of several steps: their specifications, their progress and their records."""
