"""Runs a node from a checkout; ``onyxspoke-node`` is the same where the package is installed."""

from onyxspoke.cli.node import main

if __name__ == "__main__":
    main()
