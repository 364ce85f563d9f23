"""The holder of a shard: election, committing state, recovery and orders to workers."""
