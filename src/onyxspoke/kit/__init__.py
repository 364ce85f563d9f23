"""Records that the parts of the rehearsal kit share."""
