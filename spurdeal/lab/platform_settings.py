"""The platform's configuration of a dispatcher in the lab's experiments."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

OBJECTIVES = {"lookup": 800, "load": 1500}  # ms
DIAL_TIMEOUT, MAX_RETRY_AFTER = 250, 500  # ms
MEMORY_MB = 192


@dataclass(frozen=True)
class Platform:
    """The settings that an experiment chooses. Times in ms.

    Attributes:
        balancers: The number of dispatchers.
        wait: Each workload's deadline.
        window: In which the budget of a cold engine is counted.
        index: The dispatcher's index, left out of the configuration where None.
        sockets: The limit of open sockets.
        extra: More entries of the section of that name.
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
        """The whole configuration, ready for JSON.

        Args:
            name: The dispatcher's name.
            listen: Its address for clients, with the port.
            nameserver: The name service's address, with the port.
            seed: The seed of its random choices, in hexadecimal digits.
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
        """The deployment's settings: workloads, limits and the parameters of the rules."""
        index = {} if self.index is None else {"index": self.index}
        lookup = {"name": "lookup", "aim": OBJECTIVES["lookup"], "deadline": self.wait, "late_worth": 0.5}
        load = {"name": "load", "aim": OBJECTIVES["load"], "deadline": self.wait, "effect": "once"}
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
