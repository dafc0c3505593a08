"""The decisions on simulated sites of many kinds (`benchmarks/sites.py`).

No rule may be broken on any site, and over all sites the decisions must score more than without regard to
zones, shares and reports. `python -m benchmarks.sites` plays more sites and names each that scores less.
"""

from __future__ import annotations

from benchmarks.site_world import World
from benchmarks.sites import RandomChoice, draw, plain
from eiderpin import interface as api
from eiderpin.decide import Dispatcher

SEEDS = range(1, 5)


def test_no_rule_is_broken_on_any_site_and_the_total_score_beats_plain_and_random_choice() -> None:
    """A change to the decisions may break a rule, or cost more than it gains, on other kinds of site."""
    own_score = plain_score = random_score = 0.0
    for seed in SEEDS:
        world = World(draw(seed), seed, Dispatcher)
        own_score += world.play()
        assert world.violations == [], seed
        plain_score += World(draw(seed), seed, plain).play()
        random_score += World(draw(seed), seed, RandomChoice).play()
    assert own_score > plain_score > random_score


def test_the_simulated_site_reports_each_rule_that_a_policy_breaks() -> None:
    """The test above would pass with any policy if the site's own records missed what a policy breaks."""

    class SendsTwice(RandomChoice):
        def handle(self, now: float, events: object) -> list[api.Action]:
            actions = super().handle(now, events)  # type: ignore[arg-type]
            return actions + [action for action in actions if isinstance(action, api.Send)]

    class NeverActs(RandomChoice):
        def handle(self, now: float, events: object) -> list[api.Action]:
            return []

    class RefusesWhatItSends(RandomChoice):
        def handle(self, now: float, events: object) -> list[api.Action]:
            actions = super().handle(now, events)  # type: ignore[arg-type]
            return actions + [api.Refuse(sent.request) for sent in actions if isinstance(sent, api.Send)]

    def violations(policy: type[RandomChoice], seed: int) -> str:
        world = World(draw(seed), seed, policy)
        world.play()
        return " ".join(world.violations)

    single_shot = next(
        seed for seed in range(1, 99)
        if draw(seed).settings.classes[1].repeat is api.Repeat.SINGLE_SHOT
    )  # fmt: skip
    guarded = next(
        seed for seed in range(1, 99)
        if draw(seed).settings.classes[1].repeat is api.Repeat.GUARDED and len(draw(seed).zones) > 1
    )  # fmt: skip
    assert "may run twice" in violations(SendsTwice, single_shot)
    assert "out of its zone or window" in violations(SendsTwice, guarded)
    assert "was not answered in time" in violations(NeverActs, single_shot)
    assert "was refused as harmless" in violations(RefusesWhatItSends, single_shot)
