"""Admission control: admits a submitted job, or refuses it with the time after which to retry."""
