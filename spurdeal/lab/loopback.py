"""Loopback addresses of a run, told apart from those of other runs on the same machine."""

from __future__ import annotations

import os
from dataclasses import dataclass

FIRST_NETWORK, NETWORKS = 20, 200  # second octets of 127.0.0.0/8 that runs use


@dataclass(frozen=True, slots=True)
class Network:
    """The addresses of 127.0.0.0/8 with this second octet.

    The process that runs a proof or a test module owns a network; processes that it starts are told their
    addresses and never derive them. Two runs share a network only where their process ids are equal modulo
    NETWORKS.
    """

    number: int

    @classmethod
    def of_this_process(cls) -> Network:
        """The one that this process owns."""
        return cls(FIRST_NETWORK + os.getpid() % NETWORKS)

    def host(self, subnet: int, host: int) -> str:
        """An address, by its third and its fourth octet."""
        return f"127.{self.number}.{subnet}.{host}"
