"""Loopback networks of runs, each of them in use by one run at a time."""

from __future__ import annotations

import socket

from onyxspoke.soak.plan import NETWORKS, choose_network

#: Held open by a run for as long as its network is in use.
LOCK_HOST = 254
LOCK_PORT = 18_199


class NetworkLock:
    """A loopback network that no other run on this machine takes before it is let go.

    Parameters
    ----------
    number : int
        The network to begin with; those that are in use are passed over.
    """

    def __init__(self, number: int) -> None:
        for step in range(NETWORKS):
            self.network = choose_network(number + step)
            self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._socket.bind((f"{self.network}.{LOCK_HOST}", LOCK_PORT))
                return
            except OSError:
                self._socket.close()
        raise OSError("every loopback network is in use")

    def release(self) -> None:
        """Let other runs take the network."""
        self._socket.close()
