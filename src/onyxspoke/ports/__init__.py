"""Interfaces through which the shell reaches the systems outside an entry."""
