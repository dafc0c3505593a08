"""Whether samples of held memory grow by more than their noise."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

NOISE_ERRORS = 4.0  # standard errors within which two means count as equal


@dataclass(frozen=True)
class Sample:
    """The memory that is held after so many jobs have ended."""

    jobs: int
    held_bytes: int


@dataclass(frozen=True)
class Trend:
    """The means of the held bytes in the halves of a run, and by how much they may differ by chance."""

    first_half: float
    second_half: float
    noise: float
    jobs_between: float  # from the middle of the first half to that of the second

    @property
    def bytes_per_job(self) -> float:
        """The growth for each job that has ended."""
        return (self.second_half - self.first_half) / self.jobs_between

    @property
    def grows(self) -> bool:
        """Whether the growth is more than noise."""
        return self.second_half - self.first_half > self.noise


def find_trend(samples: Sequence[Sample]) -> Trend:
    """Compare the halves of a run; they need two samples each."""
    middle = len(samples) // 2
    halves = samples[:middle], samples[middle:]
    means = [statistics.fmean(sample.held_bytes for sample in half) for half in halves]
    jobs = [statistics.fmean(sample.jobs for sample in half) for half in halves]
    variances = [statistics.variance([s.held_bytes for s in half]) / len(half) for half in halves]
    return Trend(means[0], means[1], NOISE_ERRORS * math.sqrt(sum(variances)), jobs[1] - jobs[0])
