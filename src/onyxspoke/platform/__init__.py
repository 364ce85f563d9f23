"""Adapter to the institute's platform: names, formats and calls; it decides nothing."""
