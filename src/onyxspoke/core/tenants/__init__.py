"""Who a job is run for: keys, quotas and shares of the cell, without I/O."""
