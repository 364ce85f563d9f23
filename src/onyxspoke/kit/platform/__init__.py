"""Stand-in for the platform: append-only log and machine list."""
