"""Delivery of the engine list to a dispatcher: one DNS response holds all of it, five queries a second."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ...net import dns
from ...net.engine_list import endpoints_from_dns
from ...net.names import QUERY_INTERVAL, SERVICE
from ..name_server import Endpoint, answer
from . import design
from .fit import Form
from .measure import REPETITIONS, MeasurementRefused, cpu_us, sample
from .records import Limit, Measure, Role, Sample, quantity

SIZES = (36, 100, 200, 300, 400, 600)
QUICK_SIZES = (36, 72, 100, 150, 200)
LARGEST_DATAGRAM = 65_507  # a UDP payload over IPv4
RECORDS_PER_ENGINE, RECORDS_OF_LIST = 3, 1  # SRV, A and TXT; the SOA record with the serial number
QUERY_ID = 7
QUERIES_PER_S = 1 / QUERY_INTERVAL
READS_PER_REPETITION = 5


def encode_list_response(engines: int) -> bytes:
    """Encode the name service's response with a list of this many engines."""
    listed = [
        Endpoint(f"s-{number}", f"127.9.{number // 250}.{number % 250 + 1}", 7001)
        for number in range(engines)
    ]
    return answer(
        dns.encode_query(QUERY_ID, SERVICE, dns.SRV), 1, *(endpoint.record() for endpoint in listed)
    )


def count_decoded_engines(message: bytes) -> int:
    """Decode a response as the dispatcher does and return its number of engines.

    Raises dns.BadDatagram for a malformed response.
    """
    decoded = dns.decode_response(message, QUERY_ID, SERVICE, dns.SRV)
    assert decoded is not None
    return len(endpoints_from_dns(*decoded[1:]))


def max_engines_in_datagram() -> int:
    """Return the length of the longest list that fits in a datagram, by binary search.

    Names are compressed as far as DNS allows.
    """
    fitting, too_many = 1, design.ENGINES
    while too_many - fitting > 1:
        midpoint = (fitting + too_many) // 2
        fits_in_datagram = len(encode_list_response(midpoint)) <= LARGEST_DATAGRAM
        fitting, too_many = (midpoint, too_many) if fits_in_datagram else (fitting, midpoint)
    return fitting


def readable(engines: int) -> bool:
    """Return whether the dispatcher decodes every engine of the response."""
    try:
        return count_decoded_engines(encode_list_response(engines)) == engines
    except dns.BadDatagram:
        return False


def decode_us_per_s(engines: int) -> Sample:
    """Measure the CPU time per second of decoding responses, whether or not the list has changed."""
    message = encode_list_response(engines)

    def decode_repeatedly() -> None:
        for _ in range(READS_PER_REPETITION):
            dns.decode_response(message, QUERY_ID, SERVICE, dns.SRV)

    return sample(
        [cpu_us(decode_repeatedly) / READS_PER_REPETITION * QUERIES_PER_S for _ in range(REPETITIONS)]
    )


def bytes_per_s(engines: int) -> Sample:
    """Return the bytes of queries and responses per second."""
    exchanged = len(encode_list_response(engines)) + len(dns.encode_query(QUERY_ID, SERVICE, dns.SRV))
    return Sample(exchanged * QUERIES_PER_S)


def roles(sizes: Sequence[int], report_progress: Callable[[str], None]) -> list[Role]:
    """Measure the delivery of the engine list."""
    report_progress(f"engine list: {sizes} engines")
    if max(sizes) > (most := max_engines_in_datagram()):
        raise MeasurementRefused(f"engine list: {max(sizes)} engines, a datagram holds at most {most}")
    unreadable = [size for size in sizes if not readable(size)]
    if unreadable:
        raise MeasurementRefused(f"engine list: {unreadable[0]} engines cannot be decoded from one response")
    by_records = (dns.MAX_RECORDS - RECORDS_OF_LIST) // RECORDS_PER_ENGINE
    return [
        Role(
            "engine list",
            "engines",
            "NameService, spurdeal/net/names.py; read_answer, spurdeal/net/dns.py",
            "the serial of the list in force",
            f"{QUERIES_PER_S:.0f} questions a second, each answered by the whole list in one datagram",
            (
                quantity(
                    Measure.CPU,
                    "us a second",
                    Form.LINEAR,
                    sizes,
                    [decode_us_per_s(size) for size in sizes],
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
                Limit("engines in one datagram", max_engines_in_datagram(), design.ENGINES),
                Limit("engines within MOST_RECORDS", by_records, design.ENGINES),
            ),
            ("cpu_us leaves out what applying a changed list costs: see `whole list applied`",),
        )
    ]
