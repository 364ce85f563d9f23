"""Stand-ins behind the ports of a node: a store, workers, an advice service; in virtual time."""
