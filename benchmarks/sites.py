"""Compares the decisions with simpler policies on simulated sites of many kinds, drawn by seed.

    python -m benchmarks.sites --sites N --seed S

The simpler policies are the decisions without regard to zones, shares and reports (plain (k,d)-choice), and
random choice. Printed are a line per site and, last, one JSON object. A site's scores are means over `DAYS`
days. The exit code is 1 where a rule was broken, or where a site scores less than with one of the simpler
policies by more than `MARGIN`.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

import click
import orjson

from benchmarks.site_world import Policy, Site, World
from eiderpin import interface as api
from eiderpin.decide import Dispatcher

DAYS = 3
MARGIN = 0.03  # of the score; single days of one site differ by more than that
REPEATS = (api.Repeat.FREE, api.Repeat.GUARDED, api.Repeat.SINGLE_SHOT)


class RandomChoice:
    """The simplest policy: each request goes to a random worker at once, and again only if it has not run."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        self.ready: list[str] = []  # names of the workers in service
        self.send_counts: dict[int, int] = {}  # by request
        self.in_service: dict[str, bool] = {}  # by worker

    def handle(self, now: float, events: Iterable[api.Event]) -> list[api.Action]:
        """Take events in their order; return what is to be done."""
        actions: list[api.Action] = []
        for event in events:
            if isinstance(event, api.Membership):
                self.in_service |= {
                    entry.name: entry.state is api.WorkerState.IN_SERVICE for entry in event.entries
                }
                self.ready = [name for name, ready in self.in_service.items() if ready]
            elif isinstance(event, api.Request):
                actions.append(self.place(event.id))
            elif isinstance(event, api.AttemptEnded) and not event.final:
                may_repeat = (
                    event.outcome.never_ran and self.send_counts[event.request] < self.settings.max_attempts
                )
                actions.append(self.place(event.request) if may_repeat else api.Fail(event.request))
        return actions

    def place(self, number: int) -> api.Action:
        """Send a request to a random worker, or refuse it where there is none."""
        if not self.ready:
            return api.Refuse(number)
        self.send_counts[number] = self.send_counts.get(number, 0) + 1
        return api.Send(number, self.rng.choice(self.ready))


def plain(settings: api.Settings, seed: int) -> Dispatcher:
    """Return the decisions without regard to zones, shares and reports: plain (k,d)-choice."""
    return Dispatcher(replace(settings, price_cross_zone=0.0, tenants=[], reports_in_probes=False), seed)


def draw(seed: int) -> Site:
    """Draw a site: 1 to 4 zones, 0 to 20 tenants, 1 to 40 dispatchers, 3 to 100 workers, and so on."""
    rng = random.Random(seed)
    zones = [f"z{i}" for i in range(rng.choice([1, 2, 2, 3, 4]))]
    workers = round(3 * (100 / 3) ** rng.random())
    tenants = rng.choice([0, 0, 3, 9, 20])
    late_worth = rng.choice([0.0, 0.3, 0.5, 1.0])
    repeat = rng.choice(REPEATS)
    slots, load = rng.choice([2, 4, 6]), rng.uniform(0.4, 1.2)
    classes = [
        api.RequestClass("find", 150.0, 2.5, 5000.0, 5.0, late_worth, api.Repeat.FREE),
        api.RequestClass("book", 300.0, 1.75, 7500.0, 15.0, late_worth, repeat, api.Scope.ZONE, 12_000.0),
    ]
    rate = load * workers * slots / 0.25
    shares = [rng.uniform(0.5, 2.0) for _ in range(tenants)]
    settings = api.Settings(
        classes, instances=max(1, min(40, round(workers * rng.uniform(0.1, 0.8)))),
        tenants=[api.Tenant(f"t{i}", rate * share / sum(shares), share / sum(shares))
                 for i, share in enumerate(shares)],
        over_share_worth=0.1, worth_by_work=rng.random() < 0.5, tick=4.0, max_attempts=rng.choice([2, 4]),
        parallel_attempts=True, may_cancel=True, may_probe=True, reports_in_probes=rng.random() < 0.5,
        tells_start=rng.random() < 0.7, ratings=False, answer_grace=16.0, drain_grace=500.0, cold_share=0.17,
        warm_up=rng.choice([3000.0, 12_000.0]), cold_multiple=3.0, cold_window=3000.0,
        price_cross_zone=rng.choice([0.0, 0.05, 0.16]),
    )  # fmt: skip
    return Site(
        settings, zones, workers, load, slots, rng.choice([2, 8, 40]), rng.random() < 0.5,
        rng.choice([1.0 / len(zones), 0.5, 0.8]), "t0" if tenants and rng.random() < 0.5 else None,
        rng.random() < 0.5, length=min(8000.0, 2_500_000.0 / rate),
    )  # fmt: skip


@dataclass
class SiteResult:
    """The scores of one site by each policy, and the rules that the decisions broke there."""

    seed: int
    description: str
    own_score: float
    plain_score: float
    random_score: float
    violations: list[str]

    @property
    def is_worse(self) -> bool:
        """Whether a simpler policy scores more by over `MARGIN`."""
        return self.own_score < max(self.plain_score, self.random_score) - MARGIN


def mean_score(site: Site, seed: int, make_policy: Callable[[api.Settings, int], Policy], days: int) -> float:
    """Return the mean score of so many days."""
    return sum(World(site, seed + 1000 * day, make_policy).play() for day in range(days)) / days


def play(seed: int, days: int = DAYS) -> SiteResult:
    """Play the site of this seed by each policy."""
    site = draw(seed)
    settings = site.settings
    description = (
        f"{len(site.zones)} zones, {settings.instances} dispatchers, {site.workers} workers, "
        f"{len(settings.tenants)} tenants, load {site.load:.2f}, {settings.classes[1].repeat.value}, "
        f"late {settings.classes[0].late_worth}, price {settings.price_cross_zone}, "
        f"queue {site.queue_limit}, home {site.home_share:.2f}, starts {settings.tells_start:d}, "
        f"reports {settings.reports_in_probes:d}, dies {site.has_outage:d}, flood {site.flooding_tenant}"
    )
    worlds = [World(site, seed + 1000 * day, Dispatcher) for day in range(days)]
    mean = sum(world.play() for world in worlds) / days
    return SiteResult(
        seed, description, mean, mean_score(site, seed, plain, days),
        mean_score(site, seed, RandomChoice, days),
        [line for world in worlds for line in world.violations],
    )  # fmt: skip


@click.command()
@click.option("--sites", default=40, help="How many sites to draw.")
@click.option("--seed", default=1, help="The first site's seed; each further one has the next.")
def main(sites: int, seed: int) -> None:
    """Compare three policies on simulated sites."""
    with ProcessPoolExecutor() as pool:
        results = list(pool.map(play, range(seed, seed + sites)))
    for result in results:
        mark = "BROKEN" if result.violations else "worse" if result.is_worse else ""
        print(
            f"{result.seed:5d} {result.own_score:.3f} plain {result.plain_score:.3f} "
            f"random {result.random_score:.3f} {mark:6s} {result.description}"
        )
        for line in result.violations[:3]:
            print(f"      {line}")
    count = len(results)
    print(orjson.dumps({
        "sites": count, "broken": sum(bool(result.violations) for result in results),
        "worse": [result.seed for result in results if result.is_worse],
        "ours": round(sum(result.own_score for result in results) / count, 4),
        "plain": round(sum(result.plain_score for result in results) / count, 4),
        "random": round(sum(result.random_score for result in results) / count, 4),
    }).decode())  # fmt: skip
    sys.exit(any(result.violations or result.is_worse for result in results))


if __name__ == "__main__":
    main()
