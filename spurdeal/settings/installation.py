"""The model of the settings file: every key with its type, default and description.

`spurdeal keys` prints them. Durations are ms.
"""

from __future__ import annotations

from ipaddress import IPv4Address, IPv6Address, ip_address
from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

from .units import Duration

MAX_PORT = 65_535

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,32}$")]
Address = IPv4Address | IPv6Address


def socket_address(text: object) -> tuple[Address, int]:
    """Parse an IP address and a port, such as 127.0.0.1:7112 or [::1]:7112.

    Raises:
        ValueError: The address is invalid, or the port is not in 1 to 65535.
    """
    host, colon, port = str(text).rpartition(":")
    if not colon or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is no address with a port, as 127.0.0.1:7112")
    return ip_address(host.strip("[]")), int(port)


SocketAddress = Annotated[tuple[Address, int], BeforeValidator(socket_address)]


class Section(BaseModel):
    """Base of all sections of the file; unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class Track(Section):
    """A condition that lowers a group's priority while it holds."""

    condition: Literal["list_stale", "no_engine", "shut_out", "stopping"] = Field(
        description="list_stale: no answer of the name service for stale_after; no_engine: no ready engine; "
        "shut_out: the fleet's standing is not CURRENT or BEHIND; "
        "stopping: accepted, but without effect, as a graceful shutdown resigns all groups"
    )
    lowers: int = Field(ge=1, le=254, description="how much the priority is lowered, down to 1 at least")


class Announce(Section):
    """Holds an address by announcing it to a switch, like a gratuitous ARP."""

    kind: Literal["announce"] = Field(description="announce the address to a switch")
    switch: SocketAddress = Field(description="the switch's address for announcements, by UDP")


class Listen(Section):
    """Holds an address by listening on it in this process."""

    kind: Literal["listen"] = Field(description="this process listens on the address itself")
    port: int = Field(ge=1, le=65535, description="the port that clients connect to")


class Command(Section):
    """Holds an address by running a command, given as an argument list without a shell."""

    kind: Literal["command"] = Field(description="run a command to take and release the address")
    take: list[str] = Field(min_length=1, description="run when an address is taken; {address} is replaced")
    leave: list[str] = Field(min_length=1, description="run when it is released; {address} is replaced")
    within: Duration = Field(2000.0, description="the command is killed after this time, and counted")


class Group(Section):
    """A virtual router (VRRP): addresses that one dispatcher holds at a time."""

    group: int = Field(ge=1, le=255, description="the VRID")
    priority: int = Field(ge=1, le=255, description="the highest is preferred; 255: the address owner")
    interval: Duration = Field(
        1000.0, ge=10, le=40_950, description="between advertisements, a multiple of 10ms"
    )
    addresses: list[Address] = Field(min_length=1, max_length=255, description="all IPv4 or all IPv6")
    preempt: bool = Field(True, description="a higher priority takes the address back")
    preempt_delay: Duration = Field(0.0, description="how long a lower priority is heard before that")
    accept: bool = Field(
        True, description="Accept_Mode: connections to the addresses are accepted while held"
    )
    tracks: list[Track] = Field(default_factory=list, description="conditions that lower the priority")

    @model_validator(mode="after")
    def one_kind(self) -> Group:
        """Check that the addresses are of one IP version, and that the interval can be advertised."""
        if len({address.version for address in self.addresses}) != 1:
            raise ValueError("addresses are of both kinds, IPv4 and IPv6; a group holds one kind")
        if self.interval % 10:
            raise ValueError(f"interval {self.interval} ms is no whole number of 10ms")
        return self


class Peer(Section):
    """Another dispatcher of the installation."""

    name: Name = Field(description="its name, as its own file says")
    adverts: SocketAddress = Field(description="where it listens for advertisements")
    handover: SocketAddress = Field(description="where it listens for handover")


class Vrrp(Section):
    """VRRP: which dispatcher holds which addresses."""

    listen: SocketAddress = Field(description="address for the peers' advertisements, by UDP")
    groups: list[Group] = Field(min_length=1, max_length=64, description="the virtual routers")
    bundles: list[list[int]] = Field(default_factory=list, description="groups that move together")
    holder: Annotated[Announce | Listen | Command, Field(discriminator="kind")] = Field(
        description="how an address is held: announce, listen or command"
    )
    stale_after: Duration = Field(3000.0, description="the list of engines is stale after this time")
    bar: Duration = Field(
        10_000.0,
        description="initial sync: how long a dispatcher that starts waits for its list and the peers' "
        "state before it takes addresses back",
    )

    @model_validator(mode="after")
    def bundles_are_known(self) -> Vrrp:
        """Check that each group is defined once and is in one bundle at most."""
        numbers = [group.group for group in self.groups]
        if len(set(numbers)) != len(numbers):
            raise ValueError("a group is defined twice")
        bundled = [number for bundle in self.bundles for number in bundle]
        if len(set(bundled)) != len(bundled) or not set(bundled) <= set(numbers):
            raise ValueError("bundles name an undefined group, or a group twice")
        return self


class Key(Section):
    """A shared key that authenticates datagrams between dispatchers."""

    id: int = Field(
        ge=0,
        le=255,
        description="the same at all dispatchers; in a fleet the signing key's is the keys' version: "
        "a new key needs a higher one",
    )
    hex: str | None = Field(None, pattern=r"^([0-9a-fA-F]{2}){16,64}$", description="16 to 64 bytes")
    file: str | None = Field(None, description="a file that holds the hex digits, instead")

    @model_validator(mode="after")
    def one_source(self) -> Key:
        """Check that the key is given either here or in a file."""
        if (self.hex is None) == (self.file is None):
            raise ValueError("a key has either hex or file")
        return self


class HandoverSection(Section):
    """Handover: the state that dispatchers share with their peers."""

    listen: SocketAddress = Field(description="address for the peers' handover datagrams, by UDP")
    keys: list[Key] = Field(
        min_length=1,
        max_length=2,
        description="the first signs, both verify: keys can be rotated in service",
    )
    every: Duration = Field(100.0, ge=10, le=10_000, description="between two datagrams to each peer")
    ahead: bool = Field(
        False,
        description="announcement: non-idempotent requests are announced to the peers before they are sent",
    )
    ahead_wait: Duration = Field(50.0, ge=5, le=1000, description="the longest wait for the peers' answers")
    alone: Literal["refuse", "send"] = Field(
        "refuse",
        description="policy without a peer: non-idempotent requests are shed, or sent after alone_after",
    )
    alone_after: Duration = Field(
        3000.0, description="with alone: send, a silent peer need not reply after this time"
    )
    marks: int = Field(
        100_000,
        ge=100,
        le=5_000_000,
        description="idempotency records: most ids kept; at the limit non-idempotent requests are shed",
    )
    keep: Duration = Field(60_000.0, description="how long an id is kept after its request's deadline")


class TenureSection(Section):
    """Loans of budget shares: which share of cold engines' budgets each dispatcher uses."""

    on: bool = Field(True, description="off: each always uses 1/N, as without peers; for comparison")
    lease: Duration = Field(1000.0, ge=100, le=60_000, description="how long a lent share may be used")


class LedgerSection(Section):
    """The durable ledger of requests that must not run twice."""

    path: str = Field(min_length=1, description="a separate directory on persistent storage")
    flush: Literal["always", "turn", "never"] = Field(
        "turn",
        description="always: synced before the request is sent; turn: within 50ms; never: left to the system",
    )
    keep: Duration = Field(60_000.0, description="how long an id is kept after its request's deadline")
    ids: int = Field(
        1_000_000,
        ge=100,
        le=20_000_000,
        description="most ids kept; at the limit non-idempotent requests are shed",
    )
    bytes: int = Field(
        268_435_456,
        ge=65_536,
        description="most bytes of the log; at the limit non-idempotent requests are shed",
    )


class TlsSection(Section):
    """TLS certificate and key, reloaded at SIGHUP."""

    certificate: str = Field(description="a PEM file with the certificate chain")
    key: str = Field(description="a PEM file with the private key")


class ExtprocSection(Section):
    """The external processor: other proxies ask where and when to send each request."""

    listen: SocketAddress = Field(description="where callers connect, by gRPC over HTTP/2")
    tls: TlsSection | None = Field(None, description="certificate and key; absent: plain text")
    message_timeout: Duration = Field(200.0, ge=5, description="the callers' message timeout")
    most_timeout: Duration = Field(0.0, description="the callers' max_message_timeout; 0: none")
    margin: Duration = Field(
        20.0, ge=1, description="a response is sent this long before the callers' timeout"
    )
    use_within: Duration = Field(
        150.0, ge=10, description="the caller must not use a grant after this time; it is told so"
    )
    id_header: str = Field("req-id", pattern=r"^[a-z0-9-]{1,64}$", description="the header that holds the id")
    proof_header: str = Field(
        "x-never-ran",
        pattern=r"^[a-z0-9-]{1,64}$",
        description="on a response: its sender asserts that nothing ran",
    )
    connections: int = Field(64, ge=1, le=4096, description="most connections of callers")
    calls: int = Field(2048, ge=1, le=100_000, description="most open calls")
    calls_each: int = Field(512, ge=1, le=100_000, description="most open calls on one connection")
    message: int = Field(65_536, ge=1024, le=4_194_304, description="bytes of the largest message")
    idle: Duration = Field(60_000.0, description="a connection without a call is closed after this time")

    @model_validator(mode="after")
    def times_agree(self) -> ExtprocSection:
        """Check that a response can be sent before the callers' timeout."""
        if self.margin >= self.message_timeout:
            raise ValueError("margin must be below message_timeout, or no response would be in time")
        return self


class Seed(Section):
    """A member that a joining dispatcher contacts first."""

    name: Name = Field(description="its name, as its own file says")
    at: SocketAddress = Field(description="its address for the fleet's datagrams")


class AuditSection(Section):
    """The audit log: which decisions were made under which versions."""

    path: str = Field(min_length=1, description="a separate directory on persistent storage")
    bytes: int = Field(
        268_435_456, ge=131_072, description="most bytes of the directory; the oldest files are deleted"
    )
    page: Duration = Field(
        100.0, ge=10, le=60_000, description="how often a page of the log is sealed and announced"
    )


class FleetSection(Section):
    """The fleet: its membership, and what a member with outdated versions may do."""

    listen: SocketAddress = Field(description="address for the members' datagrams, by UDP")
    advertise: SocketAddress | None = Field(
        None, description="the address that members send to, if not listen"
    )
    keys: list[Key] = Field(
        min_length=1,
        max_length=2,
        description="the first signs, both verify: keys can be rotated in service",
    )
    seeds: list[Seed] = Field(
        default_factory=list,
        max_length=32,
        description="members to contact when joining; one live seed is enough",
    )
    period: Duration = Field(200.0, ge=50, le=10_000, description="between two probes")
    lease: Duration = Field(
        1500.0, ge=300, le=60_000, description="how long a lease grantor's answer is valid"
    )
    part: float = Field(
        0.34,
        gt=0.0,
        le=1.0,
        description="fraction of the k grantors, rounded up to w, whose grants keep a lease; "
        "k - w + 1 acquire one",
    )
    forget: Duration = Field(
        600_000.0, description="how long a member that is gone or has left stays in the table"
    )
    behind_for: Duration = Field(
        2000.0, description="a member lapses after being behind the newest list for this time"
    )
    shut_after: Duration = Field(
        4000.0, description="a member is shut out after being lapsed for this time without recovery"
    )
    most_shut: float = Field(
        0.34, ge=0.0, le=1.0, description="largest fraction of the fleet that is shut out for being behind"
    )
    clock_off: Duration = Field(
        2000.0, description="a member lapses if its Unix time differs from the others' by more"
    )
    revision: int = Field(
        0, ge=0, le=1 << 48, description="the operator's version number of this file and the configuration"
    )
    audit: AuditSection | None = Field(None, description="the audit log; absent: none")
    clock_file: str | None = Field(None, description="for tests: a file with an offset to Unix time, in ms")

    @model_validator(mode="after")
    def times_agree(self) -> FleetSection:
        """Check that a lease outlasts probes, and that key ids and seed names are unique."""
        if self.lease < 3 * self.period:
            raise ValueError("lease must be at least three times period, or it would end between two probes")
        if len({key.id for key in self.keys}) != len(self.keys):
            raise ValueError("two keys have the same id")
        if len({seed.name for seed in self.seeds}) != len(self.seeds):
            raise ValueError("two seeds have the same name")
        return self


class Installation(Section):
    """The settings file of one dispatcher."""

    name: Name = Field(description="this dispatcher's name among its peers")
    peers: list[Peer] = Field(default_factory=list, max_length=8, description="the other dispatchers")
    vrrp: Vrrp | None = Field(None, description="virtual addresses; absent: none")
    ledger: LedgerSection | None = Field(None, description="a durable ledger; absent: none")
    extproc: ExtprocSection | None = Field(None, description="the external processor; absent: none")
    fleet: FleetSection | None = Field(None, description="the fleet; absent: none")
    handover: HandoverSection | None = Field(None, description="state shared with the peers; absent: none")
    tenure: TenureSection = Field(
        TenureSection.model_construct(), description="loans of shares of cold engines' budgets"
    )

    @model_validator(mode="after")
    def sections_agree(self) -> Installation:
        """Check what the sections require of each other."""
        names = [peer.name for peer in self.peers] + [self.name]
        if len(set(names)) != len(names):
            raise ValueError("two dispatchers have one name")
        if (self.vrrp is None) != (not self.peers) or (self.handover is not None and self.vrrp is None):
            raise ValueError("vrrp and peers need each other, and handover needs both")
        if self.handover is not None and self.tenure.on and self.tenure.lease < 3 * self.handover.every:
            raise ValueError(
                "tenure.lease must be at least three times handover.every: loans would end too early"
            )
        if len({key.id for key in self.handover.keys} if self.handover else [0]) != (
            len(self.handover.keys) if self.handover else 1
        ):
            raise ValueError("two keys have the same id")
        return self
