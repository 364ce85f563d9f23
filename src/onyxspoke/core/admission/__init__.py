"""Whether a job that is handed in is taken, or refused at once with when to come back."""
