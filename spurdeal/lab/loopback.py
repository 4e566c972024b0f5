"""Loopback addresses of a run, distinct from those of other runs on the same machine."""

from __future__ import annotations

import os
from dataclasses import dataclass

FIRST_NETWORK, NETWORKS = 20, 200  # second octets of 127.0.0.0/8 that runs use


@dataclass(frozen=True, slots=True)
class Network:
    """The addresses of 127.0.0.0/8 with this second octet.

    The process that runs a laboratory check or a test module owns a network; its child processes are given
    their addresses and never derive them. Two runs share a network only if their process ids are equal modulo
    NETWORKS.
    """

    number: int

    @classmethod
    def of_this_process(cls) -> Network:
        """The network that this process owns."""
        return cls(FIRST_NETWORK + os.getpid() % NETWORKS)

    def host(self, subnet: int, host: int) -> str:
        """The address with this third and fourth octet."""
        return f"127.{self.number}.{subnet}.{host}"
