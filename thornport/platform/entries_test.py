"""Worker entries; values by other writers are never taken for workers."""

import base64
import unittest

import msgspec
from returns import result

from thornport.cell.decisions import messages
from thornport.jobs import spec
from thornport.kernel import httpcalls
from thornport.platform import entries, store

ENTRY = {
    "service": "press-desk",
    "address": "10.0.0.1:8080",
    "zone": "h1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 2},
    "labels": ["a", "r1"],
    "seq": 4,
}


def decode(worker_id="i-1", **changes):
    """Decode an entry with some fields changed; an empty text removes a field."""
    changed = {key: value for key, value in (ENTRY | changes).items() if value != ""}
    return entries.decode_entry(worker_id, msgspec.json.encode(changed))


def decode_text(member):
    """Decode an entry with a member that the JSON encoder can't write, a str."""
    text = msgspec.json.encode(ENTRY).decode()
    return entries.decode_entry("i-1", (text[:-1] + "," + member + "}").encode())


class Entry(unittest.TestCase):
    """A valid worker entry."""

    def test_fields_are_decoded(self):
        wire = {
            "service": "press",
            "address": "10.0.0.9:80",
            "zone": "h1",
            "version": "v1",
            "slots": 8,
            "state": "draining",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 2},
            "labels": ["a", "r1-3"],
            "clock_ms": 5,
            "seq": 4,
            "remaining_ms": 900,
        }
        entry = entries.decode_entry("i-1", msgspec.json.encode(wire))
        self.assertEqual(entry.total, spec.Demand(16000, 32768, 2))
        self.assertEqual((entry.hall, entry.rack), ("h1", "r1-3"))
        self.assertEqual(entry.state, messages.WorkerState.DRAINING)
        self.assertEqual(entry.leaves_in_ms, 900)


class ForeignEntries(unittest.TestCase):
    """Any value that is not a worker entry raises EntryError."""

    def test_valid_entry_is_accepted(self):
        entry = decode()
        self.assertEqual(entry.total.accelerators, 2)
        self.assertEqual((entry.rack, entry.labels), ("r1", {"a", "r1"}))
        self.assertEqual(decode(more="unknown").total, entry.total)

    def test_start_time_is_a_whole_number_or_omitted(self):
        self.assertIsNone(decode().started_at_ms)
        self.assertEqual(decode(born=1_785_945_137_905).started_at_ms, 1785945137905)
        for value in (None, 1.5, 1.0, "1785945137905", True, -1, [1]):
            with self.subTest(value=value), self.assertRaises(entries.EntryError):
                decode(born=value)

    def test_each_field_is_required(self):
        for name in ENTRY:
            with self.subTest(name=name), self.assertRaises(entries.EntryError):
                decode(**{name: ""})

    def test_each_field_of_another_type_is_rejected(self):
        for name in ENTRY:
            for value in (None, 1.5, True, [1], {"a": 1}, -1 if name != "seq" else []):
                with (
                    self.subTest(name=name, value=value),
                    self.assertRaises(entries.EntryError),
                ):
                    decode(**{name: value})

    def test_unknown_state_is_rejected(self):
        with self.assertRaises(entries.EntryError):
            decode(state="resting")

    def test_invalid_address_is_rejected(self):
        for address in (
            "nowhere",
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:0",
            "host:80",
            ":1",
        ):
            with self.subTest(address=address), self.assertRaises(entries.EntryError):
                decode(address=address)

    def test_id_that_is_not_a_valid_header_is_rejected(self):
        for worker_id in ("", "i-1\r\nHost: x", "a b", "i/1"):
            with (
                self.subTest(worker_id=worker_id),
                self.assertRaises(entries.EntryError),
            ):
                decode(worker_id)

    def test_undecodable_bytes_are_rejected(self):
        deep = b'{"service":' + b"[" * 100_000
        for value in (b"", b"\xff\xfe", b"\x00", b"null", b"[]", b"{", b'"x"', deep):
            with self.subTest(value=value[:12]), self.assertRaises(entries.EntryError):
                entries.decode_entry("i-1", value)


class OddNumbers(unittest.TestCase):
    """A number beyond the bounds of its field raises EntryError."""

    # Guards against numbers that records and peer messages can't hold.
    def test_each_is_rejected_with_its_field(self):
        for digits in (20, 400, 5_000):
            for name in ("slots", "cold_remaining_ms", "remaining_ms", "born", "seq"):
                with (
                    self.subTest(name=name, digits=digits),
                    self.assertRaisesRegex(entries.EntryError, rf"\$\.{name}"),
                ):
                    decode_text(f'"{name}":' + "9" * digits)

    # Guards against capacities that records, peer messages and sums can't hold.
    def test_each_capacity_is_rejected_with_its_field(self):
        for number in ("1" + "0" * 10, "9" * 20, "9" * 400, "-1"):
            for name in ("cpu", "mem_mb", "gpu"):
                fields = {"cpu": "1", "mem_mb": "1", "gpu": "1"} | {name: number}
                body = ",".join(f'"{key}":{text}' for key, text in fields.items())
                with (
                    self.subTest(name=name, number=number[:12]),
                    self.assertRaisesRegex(entries.EntryError, rf"capacity\.{name}"),
                ):
                    decode_text(f'"capacity":{{{body}}}')

    def test_numbers_of_large_workers_are_accepted(self):
        large = {"cpu": 1_000_000, "mem_mb": 16_000_000, "gpu": 64}
        year_ms = 366 * 86_400_000
        entry = decode(
            capacity=large, slots=10_000, seq=2**40, remaining_ms=year_ms, born=2**42
        )
        self.assertEqual(entry.total, spec.Demand(*large.values()))
        self.assertEqual((entry.leaves_in_ms, entry.started_at_ms), (year_ms, 2**42))


class OddAddresses(unittest.TestCase):
    """An address other than an IPv4 number and a port raises EntryError."""

    # Guards against calls to addresses that only int() and ipaddress understand.
    def test_each_is_rejected(self):
        for address in (
            "10.0.0.1: 80",
            "10.0.0.1:80 ",
            "10.0.0.1:80\n",
            "10.0.0.1:8_0",
            "10.0.0.1:+80",
            "10.0.0.1:-80",
            "10.0.0.1:080",
            "10.0.0.1:65536",
            "10.0.0.1:\u0668\u0660",
            "10.0.0.\u0661:80",
            "[10.0.0.1]:80",
            "10.0.0.01:80",
            " 10.0.0.1:80",
            "::1:80",
            "[::1]:80",
            "fe80::1%a zone:80",
            "10.0.0.1:" + "9" * 5_000,
        ):
            with (
                self.subTest(address=address[:20]),
                self.assertRaisesRegex(entries.EntryError, "address"),
            ):
                decode(address=address)

    def test_first_and_last_port_are_accepted(self):
        for port in ("1", "65535"):
            self.assertEqual(
                decode(address=f"10.0.0.1:{port}").address, f"10.0.0.1:{port}"
            )


class OddTexts(unittest.TestCase):
    """A text beyond the bounds of its field raises EntryError."""

    # Guards against texts that make log lines and peer messages arbitrarily long.
    def test_long_texts_are_rejected_with_their_field(self):
        for name in ("service", "zone", "version", "machine", "state"):
            with (
                self.subTest(name=name),
                self.assertRaisesRegex(entries.EntryError, name),
            ):
                decode(**{name: "a" * 100_000})
        for labels in (["a"] * 100_000, ["a", "r" * 100_000]):
            with self.assertRaisesRegex(entries.EntryError, "labels"):
                decode(labels=labels)

    # Guards against line breaks and control characters in log lines and calls.
    def test_texts_that_are_not_printable_are_rejected_with_their_field(self):
        for text in ("a\nb", "a\r", "\x00", "a\x1b[2J", "a\x85b", "a\u2028b"):
            odd = dict.fromkeys(("service", "zone", "version", "machine"), text)
            for name, value in (odd | {"labels": ["a", text]}).items():
                with (
                    self.subTest(name=name, text=text),
                    self.assertRaisesRegex(entries.EntryError, name),
                ):
                    decode(**{name: value})

    def test_usual_texts_are_accepted(self):
        labels = ["a", "r1", "", "with blank", "h\u00e9"]
        entry = decode(zone="Zone 1", machine="m-1", labels=labels)
        self.assertEqual((entry.hall, entry.machine), ("Zone 1", "m-1"))
        self.assertEqual(entry.labels, frozenset(labels))

    # Guards against ids that make the header of each call arbitrarily long.
    def test_long_id_is_rejected(self):
        with self.assertRaises(entries.EntryError):
            decode("i" * 100_000)


class Reasons(unittest.TestCase):
    """The message of each error is short enough for a log line."""

    # Guards against log lines that repeat a value of another writer in full.
    def test_messages_are_bounded(self):
        long = "x\n" * 50_000
        for changes in (
            {"state": long},
            {"state": "x\n" * 128},
            {"address": long},
            {"address": "10.0.0.1:" + "9" * 4_000},
            {"address": "9" * 100_000 + ":80"},
            {"zone": long},
            {"labels": [long]},
            {"capacity": long},
        ):
            with self.assertRaises(entries.EntryError) as caught:
                decode(**changes)
            self.assertLessEqual(len(str(caught.exception)), 200)
        with self.assertRaises(entries.EntryError) as caught:
            decode(long)
        self.assertLessEqual(len(str(caught.exception)), 200)


class UndecodableValues(unittest.TestCase):
    """An undecodable value does not affect the other values of the same answer."""

    def test_page_and_watch(self):
        good = base64.b64encode(b"good").decode()
        rows = [
            {"key": "servers/a", "value": "%%%", "rev": 1},
            {"key": "servers/b", "value": good, "rev": 2},
        ]
        answer = result.Success(
            httpcalls.Answer(200, msgspec.json.encode({"items": rows, "at": 2}))
        )
        page = store.decode_body(answer, store.WirePage).map(store.decode_page).unwrap()
        self.assertEqual([item.value for item in page.items], [b"%%%", b"good"])
        events = store.WireEvents([store.WireItem(**row) for row in rows], 2)
        changes = store.decode_events(events).changes
        self.assertEqual([change.value for change in changes], [b"%%%", b"good"])


if __name__ == "__main__":
    unittest.main()
