"""Tenants' keys, quotas and fair shares of the cell, without I/O."""
