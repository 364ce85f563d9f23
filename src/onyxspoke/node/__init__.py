"""The process on an entry machine that schedules jobs of several steps."""
