"""What the platform tells a dispatcher in the laboratory's proofs: its configuration."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

AIMS = {"lookup": 800, "load": 1500}  # ms
DIAL_TIMEOUT, MAX_RETRY_AFTER = 250, 500  # ms
MEMORY_MB = 192


@dataclass(frozen=True)
class Platform:
    """The common part of the configuration. Times in ms.

    Attributes:
        wait: Each workload's deadline.
        index: Which of the balancers it is, where that is told.
    """

    balancers: int
    wait: float
    cores: int
    drain_grace: float
    cold_for: float
    cold_share: float
    fall_multiple: float
    window: float
    index: int | None = None
    sockets: int = 1024
    extra: Mapping[str, Any] = field(default_factory=dict)

    def configuration(
        self, name: str, listen: str, seed: str, nameserver: str, known: Mapping[str, Any]
    ) -> dict[str, Any]:
        """The whole, ready for JSON.

        Args:
            name: Of the dispatcher.
            listen: Its address for clients, with the port.
            nameserver: The name service's address, with the port.
            seed: Of its chance, in hexadecimal digits.
            known: The list of engines that it starts with.
        """
        return {
            "name": name,
            "listen": listen,
            "seed": seed,
            "limits": {"sockets": self.sockets, "memory_mb": MEMORY_MB},
            "nameserver": nameserver,
            "known": known,
            "settings": self.settings(),
        }

    def settings(self) -> dict[str, Any]:
        """The site: workloads, limits and the rules' figures."""
        index = {} if self.index is None else {"index": self.index}
        lookup = {"name": "lookup", "aim": AIMS["lookup"], "deadline": self.wait, "late_worth": 0.5}
        load = {"name": "load", "aim": AIMS["load"], "deadline": self.wait, "effect": "once"}
        return {
            "balancers": self.balancers,
            **index,
            "zones": ["east"],
            "models": ["std"],
            "grades": [lookup, load | {"late_worth": 0.5}],
            "extra": {"cpu_of_kind": [self.cores], **self.extra},
            "limits": {
                "cancelling": True,
                "dial_timeout": DIAL_TIMEOUT,
                "send_cap": 3,
                "retry_after": True,
                "max_retry_after": MAX_RETRY_AFTER,
                "streams_per_conn": 4,
            },
            "rules": {
                "drain_grace": self.drain_grace,
                "cold": self.cold_for,
                "cold_share": self.cold_share,
                "fall_multiple": self.fall_multiple,
                "tip_after": self.window,
            },
        }
