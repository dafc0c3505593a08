"""The page of figures is the one that the kept run gives."""

from __future__ import annotations

import unittest

from benchmarks.rig import ROOT
from benchmarks.scale.measurement import Run, Series, read_run, this_machine
from benchmarks.scale.page import FLEETS, replaced, rows

PAGE = ROOT / "docs" / "CAPACITY.md"
KEPT = ROOT / "docs" / "capacity" / "run.json"


class CapacityPage(unittest.TestCase):
    def test_the_page_shows_the_kept_run(self) -> None:
        page = PAGE.read_text()
        self.assertEqual(replaced(page, read_run(KEPT)), page, "run `benchmarks.scale page --into` again")

    def test_a_figure_that_was_changed_by_hand_is_noticed(self) -> None:
        run = read_run(KEPT)
        run.get("observers.leader_share").values[-1] = [0.5, 0.5, 0.5]
        page = PAGE.read_text()
        self.assertNotEqual(replaced(page, run), page)

    def test_each_row_has_a_value_for_each_fleet(self) -> None:
        for row in rows(read_run(KEPT)):
            for dispatchers in FLEETS:
                self.assertTrue(row.value(dispatchers), row.cost)

    def test_each_point_was_repeated(self) -> None:
        run = read_run(KEPT)
        self.assertGreaterEqual(run.repeats, 3)
        for series in run.series:
            self.assertEqual({len(values) for values in series.values}, {run.repeats}, series.name)


class Fits(unittest.TestCase):
    def test_a_slope_is_the_median_of_the_repeats(self) -> None:
        series = Series("x.y_ms", "ms", "things", [1.0, 2.0, 3.0], [[1, 1, 2], [2, 3, 4], [3, 5, 6]]).fit()
        found = (series.slope, series.slope_low, series.slope_high)
        self.assertEqual([round(f, 6) for f in found], [2.0, 1.0, 2.0])
        self.assertAlmostEqual(series.at(3.0), series.intercept + 6.0)

    def test_a_series_that_was_not_measured_is_named(self) -> None:
        with self.assertRaises(KeyError):
            Run(this_machine(), 3).get("observers.leader_share")


if __name__ == "__main__":
    unittest.main()
