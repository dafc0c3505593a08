"""Which member an observer subscribes to. Pure; times in ms.

Members of the observer's own region come first, each group in the order of rendezvous hashing (highest
random weight; Thaler and Ravishankar, 1998): the weight is a hash of observer and member, so observers spread
evenly, and when a member goes only its own observers move. A member that failed is avoided for a while, for
longer each time that it fails again.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Sequence
from dataclasses import dataclass

from eiderpin.parts.observer import MemberEndpoint

AVOID_FIRST = 2_000.0
MAX_AVOID_MS = 30_000.0


@dataclass(slots=True)
class _Avoided:
    until: float
    times: int


def weight(observer: str, member: str) -> int:
    """The rendezvous weight of a member for an observer, 64 bits."""
    digest = hashlib.blake2b(f"{observer}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class MemberChoice:
    """The order in which one observer tries the members.

    Args:
        observer: The observer's name.
        region: Its region; empty: none is preferred.
        endpoints: The members; at least one.
        rng: Spreads how long a member is avoided.
    """

    def __init__(
        self, observer: str, region: str, endpoints: Sequence[MemberEndpoint], rng: random.Random
    ) -> None:
        """Rank the members; none is avoided yet."""
        self.rng = rng
        self.ranked = sorted(
            endpoints, key=lambda e: (bool(region) and e.region != region, -weight(observer, e.member))
        )
        self._avoided: dict[str, _Avoided] = {}

    @property
    def first(self) -> MemberEndpoint:
        """The member to be at when all are well."""
        return self.ranked[0]

    def best(self, now: float) -> MemberEndpoint | None:
        """The first member that is not avoided now; None: all are."""
        for endpoint in self.ranked:
            avoided = self._avoided.get(endpoint.member)
            if avoided is None or now >= avoided.until:
                return endpoint
        return None

    def next_member(self, now: float) -> MemberEndpoint:
        """The member to try now: the best, or the one whose time is over soonest."""
        best = self.best(now)
        if best is not None:
            return best
        return min(self.ranked, key=lambda endpoint: self._avoided[endpoint.member].until)

    def avoid(self, member: str, now: float) -> None:
        """A member has failed, or is of no use for the time being."""
        times = self._avoided[member].times + 1 if member in self._avoided else 0
        bound = min(MAX_AVOID_MS, AVOID_FIRST * 2.0**times)
        self._avoided[member] = _Avoided(now + self.rng.uniform(0.5, 1.0) * bound, min(times, 10))

    def clear_avoidance(self, member: str) -> None:
        """A member serves us well: what was held against it is forgotten."""
        self._avoided.pop(member, None)
