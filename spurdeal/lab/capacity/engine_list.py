"""The engine list's way to a dispatcher: one DNS answer with all of it, asked for five times a second."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ...net import dns
from ...net.engine_list import endpoints_from_dns
from ...net.names import QUERY_INTERVAL, SERVICE
from ..names import Endpoint, answer
from . import design
from .fit import Form
from .measure import TRIES, Refused, cpu_us, sample
from .records import Limit, Measure, Role, Sample, quantity

SIZES = (36, 100, 200, 300, 400, 600)
QUICK_SIZES = (36, 72, 100, 150, 200)
LARGEST_DATAGRAM = 65_507  # a UDP payload over IPv4
RECORDS_PER_ENGINE, RECORDS_OF_LIST = 3, 1  # SRV, A and TXT; the SOA with the serial
IDENT = 7
ASKED_PER_S = 1 / QUERY_INTERVAL
READS_PER_TRY = 5


def datagram(engines: int) -> bytes:
    """The name service's answer with so many engines."""
    listed = [
        Endpoint(f"s-{number}", f"127.9.{number // 250}.{number % 250 + 1}", 7001)
        for number in range(engines)
    ]
    return answer(dns.encode_query(IDENT, SERVICE, dns.SRV), 1, *(endpoint.record() for endpoint in listed))


def read(message: bytes) -> int:
    """How many engines the dispatcher's reader finds; raises dns.BadDatagram as the reader does."""
    found = dns.decode_response(message, IDENT, SERVICE, dns.SRV)
    assert found is not None
    return len(endpoints_from_dns(*found[1:]))


def most_in_a_datagram() -> int:
    """The longest list that one datagram holds, by halving; names are compressed as far as they can be."""
    holds, fails = 1, design.ENGINES
    while fails - holds > 1:
        middle = (holds + fails) // 2
        fits = len(datagram(middle)) <= LARGEST_DATAGRAM
        holds, fails = (middle, fails) if fits else (holds, middle)
    return holds


def readable(engines: int) -> bool:
    """Whether the dispatcher's reader finds each engine in the stand-in's answer."""
    try:
        return read(datagram(engines)) == engines
    except dns.BadDatagram:
        return False


def read_us_per_s(engines: int) -> Sample:
    """Processor time a second of reading the answers, news or none."""
    message = datagram(engines)

    def read_some() -> None:
        for _ in range(READS_PER_TRY):
            dns.decode_response(message, IDENT, SERVICE, dns.SRV)

    return sample([cpu_us(read_some) / READS_PER_TRY * ASKED_PER_S for _ in range(TRIES)])


def bytes_per_s(engines: int) -> Sample:
    """Bytes of questions and answers a second."""
    exchanged = len(datagram(engines)) + len(dns.encode_query(IDENT, SERVICE, dns.SRV))
    return Sample(exchanged * ASKED_PER_S)


def roles(sizes: Sequence[int], say: Callable[[str], None]) -> list[Role]:
    """The engine list's way."""
    say(f"engine list: {sizes} engines")
    if max(sizes) > (most := most_in_a_datagram()):
        raise Refused(f"engine list: {max(sizes)} engines, one datagram holds {most}")
    unread = [size for size in sizes if not readable(size)]
    if unread:
        raise Refused(f"engine list: {unread[0]} engines cannot be read from one answer of the stand-in")
    by_records = (dns.MAX_RECORDS - RECORDS_OF_LIST) // RECORDS_PER_ENGINE
    return [
        Role(
            "engine list",
            "engines",
            "NameService, spurdeal/net/names.py; read_answer, spurdeal/net/dns.py",
            "the serial of the list in force",
            f"{ASKED_PER_S:.0f} questions a second, each answered by the whole list in one datagram",
            (
                quantity(
                    Measure.CPU,
                    "us a second",
                    Form.LINEAR,
                    sizes,
                    [read_us_per_s(size) for size in sizes],
                    design.ENGINES,
                    design.CONTROL_CPU_US_PER_S,
                ),
                quantity(
                    Measure.BYTES,
                    "bytes a second",
                    Form.LINEAR,
                    sizes,
                    [bytes_per_s(size) for size in sizes],
                    design.ENGINES,
                    design.CONTROL_BYTES_PER_S,
                ),
            ),
            (
                Limit("engines in one datagram", most_in_a_datagram(), design.ENGINES),
                Limit("engines within MOST_RECORDS", by_records, design.ENGINES),
            ),
            ("cpu_us leaves out what applying a changed list costs: see `whole list applied`",),
        )
    ]
