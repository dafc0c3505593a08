"""The page of capacity figures agrees with the stored run that it is generated from."""

from __future__ import annotations

import unittest

from benchmarks.rig import ROOT
from benchmarks.scale.measurement import Run, Series, describe_machine, read_run
from benchmarks.scale.page import DISPATCHER_COUNTS, build_rows, replace_figures

PAGE = ROOT / "docs" / "CAPACITY.md"
RUN_FILE = ROOT / "docs" / "capacity" / "run.json"


class CapacityPage(unittest.TestCase):
    def test_page_shows_the_stored_run(self) -> None:
        """Guards against a page that was not regenerated after the run or the generator had changed."""
        page = PAGE.read_text()
        self.assertEqual(
            replace_figures(page, read_run(RUN_FILE)), page, "run `benchmarks.scale page --into` again"
        )

    def test_changed_figure_makes_the_page_differ(self) -> None:
        """Guards against a comparison that overlooks figures which differ between the page and the run."""
        run = read_run(RUN_FILE)
        run.get("observers.leader_share").values[-1] = [0.5, 0.5, 0.5]
        page = PAGE.read_text()
        self.assertNotEqual(replace_figures(page, run), page)

    def test_each_row_has_a_value_for_each_number_of_dispatchers(self) -> None:
        """Guards against empty cells in the table of roles."""
        for row in build_rows(read_run(RUN_FILE)):
            for dispatchers in DISPATCHER_COUNTS:
                self.assertTrue(row.value(dispatchers), row.cost)

    def test_each_point_was_measured_at_least_three_times(self) -> None:
        """Guards against a run whose points were measured too few times, or not equally often."""
        run = read_run(RUN_FILE)
        self.assertGreaterEqual(run.repeats, 3)
        for series in run.series:
            self.assertEqual({len(values) for values in series.values}, {run.repeats}, series.name)


class Fits(unittest.TestCase):
    def test_slope_is_the_median_of_the_repeats(self) -> None:
        """Guards against a fit in which one outlying repeat determines the slope."""
        series = Series("x.y_ms", "ms", "things", [1.0, 2.0, 3.0], [[1, 1, 2], [2, 3, 4], [3, 5, 6]]).fit()
        found = (series.slope, series.slope_low, series.slope_high)
        self.assertEqual([round(f, 6) for f in found], [2.0, 1.0, 2.0])
        self.assertAlmostEqual(series.at(3.0), series.intercept + 6.0)

    def test_unmeasured_series_raises_key_error(self) -> None:
        """Guards against a page with made-up figures for a series that the run lacks."""
        with self.assertRaises(KeyError):
            Run(describe_machine(), 3).get("observers.leader_share")


if __name__ == "__main__":
    unittest.main()
