"""The log: its format, its faults, and what it says of each."""

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
from tests.disks import Disk
from tests.standins import wait_for


def bodies(files: Files) -> list[bytes]:
    got: list[bytes] = []
    reading.read(files, lambda record: got.append(record.body))
    return got


class Owner:
    """Appends numbered records and keeps the books."""

    def __init__(self, disk: Files, segment_bytes: int = 1 << 20) -> None:
        self.state: list[bytes] = []
        self.told: dict[bytes, bool] = {}
        self.log = Log(disk, lambda record: self.state.append(record.body), segment_bytes)

    def append(self, body: bytes) -> None:
        self.state.append(body)
        self.log.append(1, 1, body, lambda ok: self.told.__setitem__(body, ok))
        self.log.push()

    def settle(self) -> None:
        select.select([self.log], [], [], 20)
        self.log.settle()

    def until_told(self, body: bytes) -> bool:
        while body not in self.told:
            self.settle()
        return self.told[body]

    def snapshot(self) -> list[Record]:
        return [Record(1, 1, body) for body in self.state]


class Format(unittest.TestCase):
    def segment(self) -> tuple[bytes, list[int]]:
        """Three groups of two records, and where the frames end."""
        data, ends = frames.header(1, 0), []
        for group in range(3):
            synced = len(data)
            for i in range(2):
                data += frames.frame(1, 1, b"record %d.%d" % (group, i), synced)
                ends.append(len(data))
        return data, ends

    def test_every_cut_gives_the_whole_records_before_it(self) -> None:
        data, ends = self.segment()
        for cut in range(frames.HEADER_SIZE, len(data) + 1):
            scan = frames.scan(data[:cut])
            self.assertEqual(len(scan.records), sum(end <= cut for end in ends))
            whole = cut in (frames.HEADER_SIZE, *ends)
            self.assertIs(scan.tail, Tail.WHOLE if whole else Tail.TORN)

    def test_every_flipped_bit_is_seen_and_damage_told_from_a_torn_tail(self) -> None:
        data, ends = self.segment()
        for at in range(frames.HEADER_SIZE, len(data)):
            for bit in range(8):
                bad = bytearray(data)
                bad[at] ^= 1 << bit
                scan = frames.scan(bytes(bad))
                self.assertEqual(len(scan.records), sum(end <= at for end in ends))
                # What the last group says of itself nobody after it has vouched for.
                self.assertIs(scan.tail, Tail.DAMAGED if at < ends[3] else Tail.TORN)

    def test_headers_that_are_not_ours_say_why(self) -> None:
        newer = bytearray(frames.header(1, 0))
        newer[8] = 9
        cases = [
            (b"", "ends within its header"), (b"#!/bin/sh\n" * 9, "begins with"),
            (bytes(newer), "its format is 9"), (frames.header(1, 0)[:-1] + b"?", "header is damaged"),
        ]  # fmt: skip
        for data, text in cases:
            with self.assertRaisesRegex(FormatError, text):
                frames.read_header(data)


class Directory(unittest.TestCase):
    def test_what_was_told_is_read_again_over_segments_and_checkpoints(self) -> None:
        disk = Disk()
        owner = Owner(disk, segment_bytes=200)
        for i in range(50):
            owner.append(b"record %d" % i)
            if i % 5 == 0:
                owner.until_told(b"record %d" % i)
            if i == 20:
                self.assertGreater(len(disk.names()), 1)
                owner.log.checkpoint(owner.snapshot())
                owner.append(b"after the checkpoint")  # in the same group, and not in the snapshot
        self.assertTrue(owner.until_told(b"record 49"))
        owner.log.close()
        self.assertEqual(bodies(disk), owner.state)
        self.assertGreater(min(int(name[:16]) for name in disk.names()), 1)
        again = Owner(disk)
        self.assertEqual(again.state, owner.state)
        again.log.close()

    def test_many_records_share_a_sync(self) -> None:
        disk = Disk()
        owner = Owner(disk)
        before = disk.syncs
        disk.gate.clear()
        for i in range(100):
            owner.append(b"%d" % i)
        disk.gate.set()
        self.assertTrue(owner.until_told(b"99"))
        self.assertLessEqual(disk.syncs - before, 2)
        owner.log.close()

    def test_one_owner_at_a_time(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            first = Owner(Files(folder))
            with self.assertRaisesRegex(DirectoryLockedError, "another process owns it"):
                Owner(Files(folder))
            first.append(b"x")
            first.log.close()
            second = Owner(Files(folder))
            self.assertEqual(second.state, [b"x"])
            second.log.close()

    def test_damage_stops_the_reading_and_names_the_place(self) -> None:
        disk = Disk()
        owner = Owner(disk)
        for i in range(6):
            owner.append(b"record %d" % i)
            owner.until_told(b"record %d" % i)
        owner.log.close()
        name = reading.segment_name(1)
        disk.names_now[name].data[frames.HEADER_SIZE + 30] ^= 4
        got: list[bytes] = []
        text = rf"{name}: damaged at byte \d+: the 1 records before it are good"
        with self.assertRaisesRegex(LogDamagedError, text):
            reading.read(disk, lambda record: got.append(record.body))
        self.assertEqual(got, [b"record 0"])
        before = dict(disk.names_now)
        with self.assertRaises(LogDamagedError):
            Owner(disk)
        self.assertEqual(disk.names_now, before)

    def test_a_missing_segment_is_damage(self) -> None:
        disk = Disk()
        owner = Owner(disk, segment_bytes=100)
        for i in range(20):
            owner.append(b"record %d" % i)
            owner.until_told(b"record %d" % i)
        owner.log.close()
        for number in (1, 3):
            with self.subTest(number=number), mock.patch.dict(disk.names_now):
                del disk.names_now[reading.segment_name(number)]
                with self.assertRaisesRegex(
                    LogDamagedError, f"{reading.segment_name(number)}: it is missing"
                ):
                    bodies(disk)


class Faults(unittest.TestCase):
    def test_a_full_disk_and_a_failing_sync_are_told_and_come_back(self) -> None:
        for fault in ("full", "sync"):
            with self.subTest(fault=fault):
                disk = Disk()
                owner = Owner(disk)
                owner.append(b"good")
                self.assertTrue(owner.until_told(b"good"))
                disk.room, disk.sync_fails = (5, False) if fault == "full" else (None, True)
                owner.append(b"lost")
                self.assertFalse(owner.until_told(b"lost"))
                with self.assertRaises(LogNotWritableError):
                    owner.append(b"refused")
                owner.state = [b"good"]
                owner.log.start_rewrite(owner.snapshot())
                owner.settle()
                self.assertFalse(owner.log.finish_rewrite())
                disk.room, disk.sync_fails = None, False
                owner.log.start_rewrite(owner.snapshot())
                wait_for(owner.log.finish_rewrite, "the disk to come back")
                owner.append(b"better")
                while not owner.told.get(b"better"):
                    owner.settle()
                # What the failed segment holds past its good part was never told, and does not count.
                self.assertEqual(bodies(disk), [b"good", b"better"])
                owner.log.close()

    def test_a_crash_at_any_call_loses_nothing_that_was_told(self) -> None:
        """Every place at which the disk can go, with what is unsynced kept, lost or torn."""
        calls = self.play(Disk())[0].calls
        self.assertGreater(calls, 40)
        for break_at in range(5, calls + 1):
            for seed in range(3):
                disk = Disk()
                disk.break_at = break_at
                disk, told, all_of_them = self.play(disk)
                after = disk.crash(random.Random(f"{break_at} {seed}"))
                got = bodies(after)
                self.assertEqual(got, all_of_them[: len(got)], (break_at, seed))
                self.assertLessEqual(told, len(got), (break_at, seed))
                again = Owner(after)  # and it can be gone on with
                again.append(b"more")
                self.assertTrue(again.until_told(b"more"))
                again.log.close()
                self.assertEqual(bodies(after), [*got, b"more"])

    def play(self, disk: Disk) -> tuple[Disk, int, list[bytes]]:
        """A life with segments and a checkpoint; how many records were told of."""
        try:
            owner = Owner(disk, segment_bytes=120)
        except OSError:
            return disk, 0, []
        for i in range(12):
            try:
                owner.append(b"record %d" % i)
            except LogNotWritableError:
                break
            owner.until_told(b"record %d" % i)
            if i == 6 and owner.log.failed is None:
                owner.log.checkpoint(owner.snapshot())
        owner.log.close()
        return disk, sum(owner.told.values()), owner.state


if __name__ == "__main__":
    unittest.main()
