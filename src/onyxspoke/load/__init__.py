"""Load generation, recording and auditing."""
