"""Parsers: input split at every byte, and malformed input."""

import struct
import unittest
from unittest.mock import patch

from spurdeal.lab.name_server import answer as name_answer
from spurdeal.net import dns, http
from spurdeal.net.http import MAX_BODY_SIZE, MAX_HEAD_SIZE, BadRequest, RequestParser
from spurdeal.net.resp import MAX_PART_BYTES, MAX_PARTS, ArrayParser, BadAnswer, command
from spurdeal.net.statement import NO_GROUP, table_group

POST = b"POST /ops/report HTTP/1.1\r\nHost: o\r\nReq-Id:  9b1f \t\r\nContent-Length: 5\r\n\r\nab\r\nc"
GET = b"GET /alive HTTP/1.1\r\n\r\n"


class Http(unittest.TestCase):
    def test_every_split(self) -> None:
        text = b"\r\n" + POST + GET + POST
        for first in range(len(text) + 1):
            for second in (first, min(len(text), first + 7)):
                parser, found = RequestParser(), []
                for part in (text[:first], text[first:second], text[second:]):
                    parser.feed(part)
                    while (taken := parser.take()) is not None:
                        method, target, fields, body, keep = taken
                        found.append((method, target, bytes(fields.get(b"req-id", b"")), bytes(body), keep))
                post = (b"POST", b"/ops/report", b"9b1f", b"ab\r\nc", True)
                self.assertEqual(found, [post, (b"GET", b"/alive", b"", b"", True), post])

    def test_byte_by_byte(self) -> None:
        parser, found = RequestParser(), 0
        for place in range(len(POST)):
            parser.feed(POST[place : place + 1])
            found += parser.take() is not None
        self.assertEqual((found, parser.remaining()), (1, 0))

    def test_a_head_is_parsed_once_however_many_reads_its_body_takes(self) -> None:
        # Guards against parsing the whole head again at each piece of the body, which costs their product.
        with patch.object(http, "read_fields", wraps=http.read_fields) as read:
            parser = RequestParser()
            parser.feed(b"POST /a HTTP/1.1\r\nContent-Length: 500\r\n" + b"a:\r\n" * 1000 + b"\r\n")
            for _ in range(499):
                self.assertIsNone(parser.take())
                parser.feed(b"x")
            parser.feed(b"xGET /alive HTTP/1.1\r\n\r\n")
            taken = [parser.take(), parser.take(), parser.take()]
        self.assertEqual(
            [request and request[:2] for request in taken], [(b"POST", b"/a"), (b"GET", b"/alive"), None]
        )
        self.assertEqual(read.call_count, 2)

    def test_malformed_input(self) -> None:
        for text, status in (
            (b"GET /a\r\n\r\n", 400),
            (b"GET  / HTTP/1.1\r\n\r\n", 400),
            (b"G(T / HTTP/1.1\r\n\r\n", 400),
            (b"GET a HTTP/1.1\r\n\r\n", 400),
            (b"GET / HTTP/2\r\n\r\n", 400),
            (b"\0\1\2\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nA b: c\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nA\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nA: b\nc\r\n\r\n", 400),
            (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
            (b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
            (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
            (b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_SIZE + 1), 413),
            (b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 413),
            (b"GET / HTTP/1.1\r\nA: " + b"a" * MAX_HEAD_SIZE + b"\r\n\r\n", 431),
            (b"a" * MAX_HEAD_SIZE, 431),
            (b"GET / HTTP/1.1\r\nA:" + b" \t" * 4000 + b"\0\r\n\r\n", 400),
        ):
            with self.subTest(text[:40]):
                parser = RequestParser()
                parser.feed(text)
                with self.assertRaises(BadRequest) as caught:
                    parser.take()
                self.assertEqual(caught.exception.status, status)

    def test_the_largest_body_and_a_closing_call(self) -> None:
        parser = RequestParser()
        parser.feed(b"POST / HTTP/1.1\r\nConnection: Close\r\nContent-Length: %d\r\n\r\n" % MAX_BODY_SIZE)
        parser.feed(b"x" * MAX_BODY_SIZE)
        taken = parser.take()
        assert taken is not None
        self.assertEqual((len(taken[3]), taken[4]), (MAX_BODY_SIZE, False))


class Resp(unittest.TestCase):
    def test_every_split(self) -> None:
        words = [[b"a1", b"200", b"parts=2", b"x\ty\r\nz\n"], [b"", b"*1\r\n"], [b"\xff" * 300]]
        text = b"".join(command(*parts) for parts in words)
        for place in range(len(text) + 1):
            parser, found = ArrayParser(), []
            for part in (text[:place], text[place:]):
                parser.feed(part)
                while (taken := parser.take()) is not None:
                    found.append([bytes(part) for part in taken])
            self.assertEqual(found, words)

    def test_byte_by_byte_nothing_is_left(self) -> None:
        parser, found, text = ArrayParser(), 0, command(b"a", b"bc") * 3
        for place in range(len(text)):
            parser.feed(text[place : place + 1])
            found += parser.take() is not None
        self.assertEqual(found, 3)

    def test_malformed_input(self) -> None:
        for text in (
            b"+OK\r\n",
            b"*x\r\n",
            b"*-1\r\n",
            b"*%d\r\n" % (MAX_PARTS + 1),
            b"*1\r\n:5\r\n",
            b"*1\r\n$-1\r\n",
            b"*1\r\n$%d\r\n" % (MAX_PART_BYTES + 1),
            b"*1\r\n$2\r\nabc\r\n",
            b"*" + b"1" * 20,
            b"*1\r\n$" + b"0" * 20,
            b"* 1\r\n",
        ):
            with self.subTest(text[:30]):
                parser = ArrayParser()
                parser.feed(text)
                with self.assertRaises(BadAnswer):
                    parser.take()


class Dns(unittest.TestCase):
    ASKED = dns.encode_query(7, "_api._tcp.svc.local", dns.SRV)
    ENDPOINTS = (
        ("s-1.east.hosts", "10.1.0.9:7001", 0, "kind=std cell=2 started=0"),
        ("s-2.east.hosts", "10.1.0.8:7002", 1, "kind=std cell=3 started=9"),
    )

    def read(self, datagram: bytes, ident: int = 7) -> object:
        return dns.decode_response(datagram, ident, "_api._tcp.svc.local", dns.SRV)

    def test_compressed_or_not(self) -> None:
        wanted = (
            41,
            [(0, 40, 7001, "s-1.east.hosts"), (1, 40, 7002, "s-2.east.hosts")],
            {"s-1.east.hosts": "10.1.0.9", "s-2.east.hosts": "10.1.0.8"},
            {
                "s-1.east.hosts": ["kind=std", "cell=2", "started=0"],
                "s-2.east.hosts": ["kind=std", "cell=3", "started=9"],
            },
        )
        sizes = set()
        for compressed in (True, False):
            datagram = name_answer(self.ASKED, 41, *self.ENDPOINTS, compressed=compressed)
            sizes.add(len(datagram))
            self.assertEqual(self.read(datagram), wanted)
        self.assertEqual(len(sizes), 2)

    def test_an_answer_of_8000_bytes(self) -> None:
        endpoints = [
            (f"s-{n}.east.hosts", f"10.1.{n >> 8}.{n & 255}:7001", 0, "kind=std cell=2 started=0")
            for n in range(75)
        ]
        datagram = name_answer(self.ASKED, 41, *endpoints, compressed=False)
        self.assertGreater(len(datagram), 7800)
        answer = self.read(datagram)
        assert isinstance(answer, tuple)
        self.assertEqual(len(answer[1]), 75)

    def test_every_truncation_and_every_changed_byte(self) -> None:
        """The parser terminates on any datagram, with a result or with BadDatagram."""
        datagram = name_answer(self.ASKED, 41, *self.ENDPOINTS)
        for place in range(len(datagram)):
            if place < dns.HEADER.size:
                with self.assertRaises(dns.BadDatagram):
                    self.read(datagram[:place])
            for byte in (0x00, 0x3F, 0xC0, 0xFF):
                changed = datagram[:place] + bytes([byte]) + datagram[place + 1 :]
                for text in (datagram[:place], changed):
                    try:
                        self.read(text)
                    except dns.BadDatagram:
                        continue

    def test_foreign_refused_and_looping(self) -> None:
        datagram = name_answer(self.ASKED, 41, *self.ENDPOINTS)
        self.assertIsNone(self.read(datagram, 8))
        self.assertIsNone(self.read(self.ASKED))
        other = dns.encode_query(7, "_api._tcp.svc.locas", dns.SRV)
        self.assertIsNone(self.read(name_answer(self.ASKED, 1).replace(self.ASKED[12:-4], other[12:-4])))
        for flags in (0x8403, 0x8600):  # NXDOMAIN; truncated
            with self.assertRaises(dns.BadDatagram):
                self.read(name_answer(self.ASKED, 41, flags=flags))
        loop = struct.pack("!6H", 7, 0x8400, 1, 0, 0, 0) + struct.pack("!H", 0xC000 | 12)
        with self.assertRaises(dns.BadDatagram):
            self.read(loop + struct.pack("!HH", dns.SRV, 1))

    def test_a_long_name_is_decoded_once_however_many_records_point_to_it(self) -> None:
        # Guards against decoding all labels again for each record, which costs their product.
        name = b"\1a" * 126 + b"\0"
        head = struct.pack("!6H", 7, 0x8400, 1, 201, 0, 0) + self.ASKED[12:]
        first = b"\0" + struct.pack("!HHIH", 99, dns.IN, 0, len(name)) + name
        pointer = struct.pack("!H", 0xC000 | (len(head) + len(first) - len(name)))
        record = pointer + struct.pack("!HHIH", dns.A, dns.IN, 0, 4) + b"\1\2\3\4"
        label = dns.NameReader.label
        with patch.object(dns.NameReader, "label", autospec=True, side_effect=label) as decoded:
            found = self.read(head + first + 200 * record)
        self.assertEqual(found, (None, [], {".".join("a" * 126): "1.2.3.4"}, {}))
        self.assertLess(decoded.call_count, 2 * 126)

    def test_a_name_of_more_pointers_than_labels_is_refused(self) -> None:
        # Guards against long chains of pointers, each of which is followed again for each record.
        head = struct.pack("!6H", 7, 0x8400, 1, 2, 0, 0) + self.ASKED[12:]
        at = len(head) + 11
        for hops, refused in ((dns.MAX_POINTERS - 1, False), (dns.MAX_POINTERS, True)):
            chain = b"\0" + struct.pack("!H", 0xC000 | at)
            chain += b"".join(struct.pack("!H", 0xC000 | (at + 1 + 2 * hop)) for hop in range(hops - 1))
            first = b"\0" + struct.pack("!HHIH", 99, dns.IN, 0, len(chain)) + chain
            pointer = struct.pack("!H", 0xC000 | (at + len(chain) - 2))
            record = pointer + struct.pack("!HHIH", dns.A, dns.IN, 0, 4) + b"\1\2\3\4"
            with self.subTest(hops):
                if refused:
                    with self.assertRaises(dns.BadDatagram):
                        self.read(head + first + record)
                else:
                    self.assertIsNotNone(self.read(head + first + record))


class Statement(unittest.TestCase):
    def test_groups(self) -> None:
        for text, group in (
            ("SELECT day FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", 17),
            ("select 'from a_1.b' from c_2.d", 2),
            ("select 'it''s from a_1.b' , 1 from c_2.d", 2),
            ("select E'\\' from a_1.b' from c_2.d", 2),
            ("select $$from a_1.b$$ from c_2.d", 2),
            ("select $t$ from a_1.b $$ $t$ from c_2.d", 2),
            ("-- from a_1.b\nselect * from c_2.d", 2),
            ("/* from a_1.b /* nested */ from a_1.b */ select * from c_2.d", 2),
            ("insert into staging.x_9 select * from c_2.d", 2),
            ("insert into c_2.d select * from staging.x_9 join e_3.f on true", 2),
            ("update c_2.d set a = 1", 2),
            ("delete from c_2.d", 2),
            ("copy c_2.d from stdin", 2),
            ('select * from "my_2"."d"', 2),
            ('select * from "a_1.b", c_2.d', 2),
            ("select * from `my_2`.`d`", 2),
            ("select x_1.a from sales_2.orders x_1", 2),
            ("select f(x_1.a), (select max(y_3.a) from c_2.d y_3) from e_4.f x_1", 2),
            ("select * from plain, c_2.d", 2),
            ("select * from only c_2 . d", 2),
            ("select * from base.c_2.d", 2),
            ("truncate c_2.d", 2),
            ("call c_2.work()", 2),
            ("select * from a_b_12.d", 12),
            ("SELECT * FROM SALES_3.ORDERS", 3),
            ("select extract(day from o_1.d), (Select 1 from e_4.f) from c_2.d o_1", 4),
            ("select trim(both 'x' from o_1.d) from c_2.d where a is distinct from o_1.d", 2),
            ("delete from staging.x where extract(day from o_1.d) = any (select d from c_2.d)", 2),
            ("with w as (select * from c_2.d) select id, sum(n) from w group by id", 2),
            ("merge into c_2.d d using staging.x_9 s on d.id = s.id when matched then delete", 2),
            ("select * from staging.d", NO_GROUP),
            ("select 1", NO_GROUP),
            ("", NO_GROUP),
            ("select 'never closed from a_1.b", NO_GROUP),
            ("/* never closed from a_1.b", NO_GROUP),
            ("select * from c_2x.d", NO_GROUP),
            ("select * from c_2", NO_GROUP),
            ('select f("select" from o_1.d) from c_2.d', 2),  # a quoted keyword is a name
            ("select a from (((select b from c_2.d)))", 2),
            (")) select a from c_2.d, (e_4.f", 2),
            ("\xff\0;..,", NO_GROUP),
        ):
            with self.subTest(text):
                self.assertEqual(table_group(text.encode()), group)

    def test_long_malformed_statements_end_soon(self) -> None:
        for text in ("'" * 65535, "$a" * 32000, "/*" * 32000, '"' * 65535, "e'\\" * 20000, "(" * 65000):
            self.assertEqual(table_group(text.encode()), NO_GROUP)

    def test_a_table_behind_deep_parentheses_is_found(self) -> None:
        text = "(" * 30_000 + ")" * 30_000 + " from c_2.d"
        self.assertEqual(table_group(text.encode()), 2)
