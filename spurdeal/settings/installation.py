"""What an operator's file may say: every key with its type, default and meaning.

`spurdeal keys` prints them.
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
    """An IP address and a port as 127.0.0.1:7112 or [::1]:7112."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is no address with a port, as 127.0.0.1:7112")
    return ip_address(host.strip("[]")), int(port)


SocketAddress = Annotated[tuple[Address, int], BeforeValidator(socket_address)]


class Part(BaseModel):
    """A part of the file: keys that are not known are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class Track(Part):
    """A condition that lowers a group's priority while it holds."""

    condition: Literal["list_stale", "no_engine", "shut_out", "stopping"] = Field(
        description="list_stale: no answer of the name service for stale_after; no_engine: none is ready; "
        "shut_out: the fleet's lease is not held; stopping: a planned stop has begun"
    )
    lowers: int = Field(ge=1, le=254, description="by how much the priority is lowered; it stays 1 at least")


class Announce(Part):
    """Tells a switch that an address is here, as a gratuitous ARP would."""

    kind: Literal["announce"] = Field(description="a switch is told where the address is")
    switch: SocketAddress = Field(description="where announcements go, by UDP")


class Listen(Part):
    """Listens on the group's addresses in the process itself, and leaves them."""

    kind: Literal["listen"] = Field(description="this process listens on the address itself")
    port: int = Field(ge=1, le=65535, description="the port that clients connect to")


class Command(Part):
    """Runs an operator's command, as a plain list of arguments: no shell reads it."""

    kind: Literal["command"] = Field(description="an operator's command takes and leaves it")
    take: list[str] = Field(min_length=1, description="run when an address is taken; {address} is replaced")
    leave: list[str] = Field(min_length=1, description="run when it is left; {address} is replaced")
    within: Duration = Field(2000.0, description="ended after so long, and counted")


class Group(Part):
    """One virtual router: addresses that one dispatcher holds at a time."""

    group: int = Field(ge=1, le=255, description="the VRID")
    priority: int = Field(ge=1, le=255, description="who is preferred; 255 owns the addresses")
    interval: Duration = Field(1000.0, ge=10, le=40_950, description="between advertisements, in whole 10ms")
    addresses: list[Address] = Field(min_length=1, max_length=255, description="of one kind, IPv4 or IPv6")
    preempt: bool = Field(True, description="a higher priority takes the address back")
    preempt_delay: Duration = Field(0.0, description="how long a lower one is heard before that")
    accept: bool = Field(True, description="Accept_Mode: calls to the addresses are answered while held")
    tracks: list[Track] = Field(default_factory=list, description="conditions that lower the priority")

    @model_validator(mode="after")
    def one_kind(self) -> Group:
        """Addresses of one kind, and an interval that an advertisement can tell."""
        if len({address.version for address in self.addresses}) != 1:
            raise ValueError("addresses are of both kinds; one group holds one kind")
        if self.interval % 10:
            raise ValueError(f"interval {self.interval} ms is no whole number of 10ms")
        return self


class Peer(Part):
    """Another dispatcher of the installation."""

    name: Name = Field(description="its name, as its own file says")
    adverts: SocketAddress = Field(description="where it listens for advertisements")
    handover: SocketAddress = Field(description="where it listens for handover")


class Vrrp(Part):
    """Who holds which addresses."""

    listen: SocketAddress = Field(description="where advertisements of the peers arrive, by UDP")
    groups: list[Group] = Field(min_length=1, max_length=64, description="the virtual routers")
    bundles: list[list[int]] = Field(default_factory=list, description="groups that move together")
    holder: Annotated[Announce | Listen | Command, Field(discriminator="kind")] = Field(
        description="how an address is held: announce, listen or command"
    )
    stale_after: Duration = Field(3000.0, description="the list of engines is stale after so long")
    bar: Duration = Field(10_000.0, description="so long a returning one waits for list and handover")

    @model_validator(mode="after")
    def bundles_are_known(self) -> Vrrp:
        """Each group once, and each in one bundle at most."""
        numbers = [group.group for group in self.groups]
        if len(set(numbers)) != len(numbers):
            raise ValueError("a group is told twice")
        bundled = [number for bundle in self.bundles for number in bundle]
        if len(set(bundled)) != len(bundled) or not set(bundled) <= set(numbers):
            raise ValueError("bundles name groups that are not told, or one twice")
        return self


class Key(Part):
    """A key that seals datagrams between dispatchers."""

    id: int = Field(ge=0, le=255, description="the same at all dispatchers")
    hex: str | None = Field(None, pattern=r"^([0-9a-fA-F]{2}){16,64}$", description="16 to 64 bytes")
    file: str | None = Field(None, description="a file that holds the hex digits, instead")

    @model_validator(mode="after")
    def one_source(self) -> Key:
        """Digits here or in a file, not both."""
        if (self.hex is None) == (self.file is None):
            raise ValueError("a key has either hex or file")
        return self


class HandoverPart(Part):
    """What dispatchers tell each other."""

    listen: SocketAddress = Field(description="where handover of the peers arrives, by UDP")
    keys: list[Key] = Field(
        min_length=1,
        max_length=2,
        description="the first seals; both open, so that keys can change in service",
    )
    every: Duration = Field(100.0, ge=10, le=10_000, description="between two datagrams to each peer")
    ahead: bool = Field(False, description="irreversible ones are told to the peers before they are sent")
    ahead_wait: Duration = Field(50.0, ge=5, le=1000, description="the longest wait for the peers' answers")
    alone: Literal["refuse", "send"] = Field(
        "refuse", description="irreversible ones while a peer is away: shed, or sent after alone_after"
    )
    alone_after: Duration = Field(3000.0, description="with send, a peer silent for so long is away")
    marks: int = Field(100_000, ge=100, le=5_000_000, description="most ids kept; then they are shed")
    keep: Duration = Field(60_000.0, description="an id is kept for so long after its submission's expiry")


class TenurePart(Part):
    """Which part of cold engines' budgets each dispatcher uses."""

    on: bool = Field(True, description="off: each uses 1/N always, as without peers; for comparison")
    lease: Duration = Field(1000.0, ge=100, le=60_000, description="how long a lent part may be used")


class LedgerPart(Part):
    """The durable ledger of requests that must not run twice."""

    path: str = Field(min_length=1, description="a folder of its own, on a disk that outlives the process")
    flush: Literal["always", "turn", "never"] = Field(
        "turn", description="always: on the disk before it is sent; turn: within 50ms; never: when it likes"
    )
    keep: Duration = Field(60_000.0, description="an id is kept for so long after its submission's expiry")
    ids: int = Field(1_000_000, ge=100, le=20_000_000, description="most ids kept; then they are shed")
    bytes: int = Field(268_435_456, ge=65_536, description="most bytes of the log; then they are shed")


class TlsPart(Part):
    """Certificate and key, read again at SIGHUP."""

    certificate: str = Field(description="a PEM file with the chain")
    key: str = Field(description="a PEM file with the private key")


class ExtprocPart(Part):
    """The external processor: other proxies ask per request."""

    listen: SocketAddress = Field(description="where callers connect, by gRPC over HTTP/2")
    tls: TlsPart | None = Field(None, description="certificate and key; absent: plain text")
    message_timeout: Duration = Field(200.0, ge=5, description="that of the callers")
    most_timeout: Duration = Field(0.0, description="their max_message_timeout; without: none")
    margin: Duration = Field(20.0, ge=1, description="an answer leaves so long before their time is up")
    use_within: Duration = Field(150.0, ge=10, description="an answer leaves so long before that")
    id_header: str = Field("req-id", pattern=r"^[a-z0-9-]{1,64}$", description="the header that holds the id")
    proof_header: str = Field(
        "x-never-ran",
        pattern=r"^[a-z0-9-]{1,64}$",
        description="on a response: whoever wrote it knows that nothing ran",
    )
    connections: int = Field(64, ge=1, le=4096, description="most connections of callers")
    calls: int = Field(2048, ge=1, le=100_000, description="most calls in hand")
    calls_each: int = Field(512, ge=1, le=100_000, description="most calls in hand on one connection")
    message: int = Field(65_536, ge=1024, le=4_194_304, description="bytes of the largest message")
    idle: Duration = Field(60_000.0, description="a connection without a call is closed after so long")

    @model_validator(mode="after")
    def times_agree(self) -> ExtprocPart:
        """An answer can leave before the callers' time is up."""
        if self.margin >= self.message_timeout:
            raise ValueError("margin is not under message_timeout: no answer would be in time")
        return self


class Seed(Part):
    """A dispatcher that a new one asks first."""

    name: Name = Field(description="its name, as its own file says")
    at: SocketAddress = Field(description="where it is reached by the fleet")


class AuditPart(Part):
    """The audit: what was decided under which versions."""

    path: str = Field(min_length=1, description="a folder of its own, on a disk that outlives the process")
    bytes: int = Field(268_435_456, ge=131_072, description="most bytes of the folder; the oldest files go")
    page: Duration = Field(100.0, ge=10, le=60_000, description="a page is sealed, and told, so often")


class FleetPart(Part):
    """The fleet: who is in it, who acts on which versions, what one that is behind may do."""

    listen: SocketAddress = Field(description="where the others' datagrams arrive, by UDP")
    advertise: SocketAddress | None = Field(None, description="where they send them, if not to listen")
    keys: list[Key] = Field(
        min_length=1,
        max_length=2,
        description="the first seals; both open, so that keys can change in service",
    )
    seeds: list[Seed] = Field(
        default_factory=list, max_length=32, description="whom a new one asks; one that lives is enough"
    )
    period: Duration = Field(200.0, ge=50, le=10_000, description="between two probes")
    lease: Duration = Field(
        1500.0, ge=300, le=60_000, description="so long an answer of a lease grantor counts"
    )
    part: float = Field(0.34, gt=0.0, le=1.0, description="of the lease grantors: so many must answer")
    forget: Duration = Field(600_000.0, description="one that is gone counts to the fleet for so long")
    behind_for: Duration = Field(2000.0, description="so long behind the newest list, and it has lapsed")
    shut_after: Duration = Field(4000.0, description="so long lapsed with no way back, and it is shut out")
    most_shut: float = Field(0.34, ge=0.0, le=1.0, description="of the fleet: no more are shut out as behind")
    clock_off: Duration = Field(2000.0, description="Unix time so far off the others', and it has lapsed")
    revision: int = Field(0, ge=0, le=1 << 48, description="of this file and the configuration, as you count")
    audit: AuditPart | None = Field(None, description="the audit log; absent: none")
    clock_file: str | None = Field(None, description="for tests: a file with ms that Unix time is off by")

    @model_validator(mode="after")
    def times_agree(self) -> FleetPart:
        """A lease outlasts probes, and nothing is told twice."""
        if self.lease < 3 * self.period:
            raise ValueError("lease is under three times period: it would end between two probes")
        if len({key.id for key in self.keys}) != len(self.keys):
            raise ValueError("two keys have one id")
        if len({seed.name for seed in self.seeds}) != len(self.seeds):
            raise ValueError("two seeds have one name")
        return self


class Installation(Part):
    """The whole file."""

    name: Name = Field(description="this dispatcher's name among its peers")
    peers: list[Peer] = Field(default_factory=list, max_length=8, description="the other dispatchers")
    vrrp: Vrrp | None = Field(None, description="who holds which addresses; absent: nobody")
    ledger: LedgerPart | None = Field(None, description="a durable ledger; absent: none")
    extproc: ExtprocPart | None = Field(None, description="the external processor; absent: none")
    fleet: FleetPart | None = Field(None, description="the fleet; absent: none")
    handover: HandoverPart | None = Field(None, description="what they tell each other; absent: nothing")
    tenure: TenurePart = Field(TenurePart.model_construct(), description="parts of cold engines' budgets")

    @model_validator(mode="after")
    def parts_agree(self) -> Installation:
        """What the parts say of each other."""
        names = [peer.name for peer in self.peers] + [self.name]
        if len(set(names)) != len(names):
            raise ValueError("two dispatchers have one name")
        if (self.vrrp is None) != (not self.peers) or (self.handover is not None and self.vrrp is None):
            raise ValueError("vrrp and peers are told together, and handover with them")
        if self.handover is not None and self.tenure.on and self.tenure.lease < 3 * self.handover.every:
            raise ValueError("tenure.lease is under three times handover.every: loans would end in between")
        if len({key.id for key in self.handover.keys} if self.handover else [0]) != (
            len(self.handover.keys) if self.handover else 1
        ):
            raise ValueError("two keys have one id")
        return self
