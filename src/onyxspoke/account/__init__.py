"""Where the time of jobs goes, read back from the logs of all nodes."""
