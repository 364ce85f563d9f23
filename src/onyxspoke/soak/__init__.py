"""A cell of real processes over loopback, struck by faults and audited while it runs."""
