"""Tests of the log: its format, its recovery from crashes and disk failures, and its error messages."""

from __future__ import annotations

import random
import select
import tempfile
import unittest
from unittest import mock

from eiderpin.durable import frames, reading
from eiderpin.durable.files import DirectoryLockedError, Files
from eiderpin.durable.frames import FormatError, Record, Tail
from eiderpin.durable.log import Log, LogNotWritableError
from eiderpin.durable.reading import LogDamagedError
from tests.disks import SimulatedDisk
from tests.standins import wait_for


def read_bodies(files: Files) -> list[bytes]:
    """The bodies of all records on this disk."""
    found: list[bytes] = []
    reading.read(files, lambda record: found.append(record.body))
    return found


class Owner:
    """Owns a log, and notes its records and which of them were reported as written or lost."""

    def __init__(self, disk: Files, segment_bytes: int = 1 << 20) -> None:
        self.state: list[bytes] = []
        self.reported: dict[bytes, bool] = {}
        self.log = Log(disk, lambda record: self.state.append(record.body), segment_bytes)

    def append(self, body: bytes) -> None:
        self.state.append(body)
        self.log.append(1, 1, body, lambda ok: self.reported.__setitem__(body, ok))
        self.log.push()

    def settle(self) -> None:
        select.select([self.log], [], [], 20)
        self.log.settle()

    def wait_reported(self, body: bytes) -> bool:
        while body not in self.reported:
            self.settle()
        return self.reported[body]

    def snapshot(self) -> list[Record]:
        return [Record(1, 1, body) for body in self.state]


class Format(unittest.TestCase):
    def make_segment(self) -> tuple[bytes, list[int]]:
        """A segment with three groups of two records, and the offsets at which its frames end."""
        data, ends = frames.pack_header(1, 0), []
        for group in range(3):
            synced = len(data)
            for i in range(2):
                data += frames.pack_frame(1, 1, b"record %d.%d" % (group, i), synced)
                ends.append(len(data))
        return data, ends

    def test_a_segment_cut_at_any_byte_gives_the_complete_records_before_the_cut(self) -> None:
        """A crash can cut the last segment anywhere; that must neither lose nor invent a record."""
        data, ends = self.make_segment()
        for cut in range(frames.HEADER_BYTES, len(data) + 1):
            scan = frames.scan_segment(data[:cut])
            self.assertEqual(len(scan.records), sum(end <= cut for end in ends))
            is_whole = cut in (frames.HEADER_BYTES, *ends)
            self.assertIs(scan.tail, Tail.WHOLE if is_whole else Tail.TORN)

    def test_every_flipped_bit_is_found_and_damage_distinguished_from_a_torn_tail(self) -> None:
        """Damage to acknowledged records must not pass for a torn tail, which is dropped without an error."""
        data, ends = self.make_segment()
        for at in range(frames.HEADER_BYTES, len(data)):
            for bit in range(8):
                bad = bytearray(data)
                bad[at] ^= 1 << bit
                scan = frames.scan_segment(bytes(bad))
                self.assertEqual(len(scan.records), sum(end <= at for end in ends))
                # No later frame states that the last group was on disk, so it counts as torn.
                self.assertIs(scan.tail, Tail.DAMAGED if at < ends[3] else Tail.TORN)

    def test_the_error_for_a_bad_header_says_what_is_wrong(self) -> None:
        """Operators have to tell a foreign file, a newer format and damage apart."""
        newer = bytearray(frames.pack_header(1, 0))
        newer[8] = 9
        cases = [
            (b"", "ends within its header"), (b"#!/bin/sh\n" * 9, "begins with"),
            (bytes(newer), "its format is 9"), (frames.pack_header(1, 0)[:-1] + b"?", "header is damaged"),
        ]  # fmt: skip
        for data, text in cases:
            with self.assertRaisesRegex(FormatError, text):
                frames.read_header(data)


class Directory(unittest.TestCase):
    def test_written_records_are_read_back_across_segments_and_a_checkpoint(self) -> None:
        """A checkpoint removes segments; a record appended in the same group after it must not go, too."""
        disk = SimulatedDisk()
        owner = Owner(disk, segment_bytes=200)
        for i in range(50):
            owner.append(b"record %d" % i)
            if i % 5 == 0:
                owner.wait_reported(b"record %d" % i)
            if i == 20:
                self.assertGreater(len(disk.names()), 1)
                owner.log.checkpoint(owner.snapshot())
                owner.append(b"after the checkpoint")  # in the same group, but not in the snapshot
        self.assertTrue(owner.wait_reported(b"record 49"))
        owner.log.close()
        self.assertEqual(read_bodies(disk), owner.state)
        self.assertGreater(min(int(name[:16]) for name in disk.names()), 1)
        again = Owner(disk)
        self.assertEqual(again.state, owner.state)
        again.log.close()

    def test_many_records_share_one_sync(self) -> None:
        """A sync for each record would bound the rate of durable jobs by the disk's latency."""
        disk = SimulatedDisk()
        owner = Owner(disk)
        before = disk.syncs
        disk.sync_allowed.clear()
        for i in range(100):
            owner.append(b"%d" % i)
        disk.sync_allowed.set()
        self.assertTrue(owner.wait_reported(b"99"))
        self.assertLessEqual(disk.syncs - before, 2)
        owner.log.close()

    def test_a_directory_has_one_owner_at_a_time(self) -> None:
        """Two processes that write one log, as during an upgrade, would damage it."""
        with tempfile.TemporaryDirectory() as folder:
            first = Owner(Files(folder))
            with self.assertRaisesRegex(DirectoryLockedError, "another process owns it"):
                Owner(Files(folder))
            first.append(b"x")
            first.log.close()
            second = Owner(Files(folder))
            self.assertEqual(second.state, [b"x"])
            second.log.close()

    def test_damage_stops_the_reading_with_its_place_and_changes_nothing(self) -> None:
        """A bit that flipped in acknowledged data must not be skipped, and the files must stay as they are
        for a repair."""
        disk = SimulatedDisk()
        owner = Owner(disk)
        for i in range(6):
            owner.append(b"record %d" % i)
            owner.wait_reported(b"record %d" % i)
        owner.log.close()
        name = reading.segment_name(1)
        disk.current_files[name].data[frames.HEADER_BYTES + 30] ^= 4
        applied: list[bytes] = []
        text = rf"{name}: damaged at byte \d+: the 1 records before it are good"
        with self.assertRaisesRegex(LogDamagedError, text):
            reading.read(disk, lambda record: applied.append(record.body))
        self.assertEqual(applied, [b"record 0"])
        before = dict(disk.current_files)
        with self.assertRaises(LogDamagedError):
            Owner(disk)
        self.assertEqual(disk.current_files, before)

    def test_a_missing_segment_is_damage(self) -> None:
        """A segment that was removed, at the start or in between, must not go unnoticed."""
        disk = SimulatedDisk()
        owner = Owner(disk, segment_bytes=100)
        for i in range(20):
            owner.append(b"record %d" % i)
            owner.wait_reported(b"record %d" % i)
        owner.log.close()
        for number in (1, 3):
            with self.subTest(number=number), mock.patch.dict(disk.current_files):
                del disk.current_files[reading.segment_name(number)]
                with self.assertRaisesRegex(
                    LogDamagedError, f"{reading.segment_name(number)}: it is missing"
                ):
                    read_bodies(disk)


class Faults(unittest.TestCase):
    def test_the_log_reports_a_full_disk_and_a_failed_sync_and_recovers(self) -> None:
        """After a failure the disk may hold records that were reported as lost; they must not reappear after
        the log is rewritten."""
        for fault in ("full", "sync"):
            with self.subTest(fault=fault):
                disk = SimulatedDisk()
                owner = Owner(disk)
                owner.append(b"good")
                self.assertTrue(owner.wait_reported(b"good"))
                disk.free_bytes, disk.sync_fails = (5, False) if fault == "full" else (None, True)
                owner.append(b"lost")
                self.assertFalse(owner.wait_reported(b"lost"))
                with self.assertRaises(LogNotWritableError):
                    owner.append(b"refused")
                owner.state = [b"good"]
                owner.log.start_rewrite(owner.snapshot())
                owner.settle()
                self.assertFalse(owner.log.finish_rewrite())
                disk.free_bytes, disk.sync_fails = None, False
                owner.log.start_rewrite(owner.snapshot())
                wait_for(owner.log.finish_rewrite, "the disk to come back")
                owner.append(b"better")
                while not owner.reported.get(b"better"):
                    owner.settle()
                # What the failed segment holds beyond its synced part was reported as lost.
                self.assertEqual(read_bodies(disk), [b"good", b"better"])
                owner.log.close()

    def test_a_crash_at_any_call_loses_no_record_reported_as_written(self) -> None:
        """The disk fails at each call in turn, and unsynced data is kept, lost or corrupted. A record that
        was reported as written must survive, and the log must remain usable."""
        calls = self.write_log(SimulatedDisk())[0].calls
        self.assertGreater(calls, 40)
        for fail_from_call in range(5, calls + 1):
            for seed in range(3):
                disk = SimulatedDisk()
                disk.fail_from_call = fail_from_call
                disk, written_count, appended = self.write_log(disk)
                after = disk.crash(random.Random(f"{fail_from_call} {seed}"))
                found = read_bodies(after)
                self.assertEqual(found, appended[: len(found)], (fail_from_call, seed))
                self.assertLessEqual(written_count, len(found), (fail_from_call, seed))
                next_owner = Owner(after)
                next_owner.append(b"more")
                self.assertTrue(next_owner.wait_reported(b"more"))
                next_owner.log.close()
                self.assertEqual(read_bodies(after), [*found, b"more"])

    def write_log(self, disk: SimulatedDisk) -> tuple[SimulatedDisk, int, list[bytes]]:
        """Write a log with several segments and a checkpoint, as far as the disk takes it.

        Returns the disk, how many records were reported as written, and all that were appended.
        """
        try:
            owner = Owner(disk, segment_bytes=120)
        except OSError:
            return disk, 0, []
        for i in range(12):
            try:
                owner.append(b"record %d" % i)
            except LogNotWritableError:
                break
            owner.wait_reported(b"record %d" % i)
            if i == 6 and owner.log.failed is None:
                owner.log.checkpoint(owner.snapshot())
        owner.log.close()
        return disk, sum(owner.reported.values()), owner.state


if __name__ == "__main__":
    unittest.main()
