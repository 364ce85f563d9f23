"""One holder for each shard of a cell: election, commit, recovery, orders to workers."""
