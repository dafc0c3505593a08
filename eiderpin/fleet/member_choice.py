"""Chooses the member that an observer subscribes to. Pure; times in ms.

Members of the observer's own region come first. Within each group, members are in the order of rendezvous
hashing (highest random weight; Thaler and Ravishankar, 1998): the weight is a hash of observer and member, so
observers spread evenly, and when a member fails only its own observers move. A member that failed is avoided
for a time that doubles with each further failure.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Sequence
from dataclasses import dataclass

from eiderpin.parts.observer import MemberEndpoint

FIRST_AVOID_MS = 2_000.0
MAX_AVOID_MS = 30_000.0


@dataclass(slots=True)
class _Avoidance:
    until: float
    repeats: int  # failures after the first one


def weight(observer: str, member: str) -> int:
    """The rendezvous weight of a member for an observer, 64 bits."""
    digest = hashlib.blake2b(f"{observer}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class MemberChoice:
    """The order in which one observer tries the members.

    Args:
        observer: The observer's name.
        region: The observer's region; empty: no region is preferred.
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
        self._avoided: dict[str, _Avoidance] = {}

    @property
    def first(self) -> MemberEndpoint:
        """The member to use when all of them work."""
        return self.ranked[0]

    def best(self, now: float) -> MemberEndpoint | None:
        """The highest ranked member that is not avoided now; None: all are avoided."""
        for endpoint in self.ranked:
            avoidance = self._avoided.get(endpoint.member)
            if avoidance is None or now >= avoidance.until:
                return endpoint
        return None

    def next_member(self, now: float) -> MemberEndpoint:
        """The member to try now: the best one; where all are avoided, the one whose avoidance ends first."""
        best = self.best(now)
        if best is not None:
            return best
        return min(self.ranked, key=lambda endpoint: self._avoided[endpoint.member].until)

    def avoid(self, member: str, now: float) -> None:
        """Avoid a member that has failed or cannot serve at present: for half of its bound to all of it."""
        repeats = self._avoided[member].repeats + 1 if member in self._avoided else 0
        bound = min(MAX_AVOID_MS, FIRST_AVOID_MS * 2.0**repeats)
        self._avoided[member] = _Avoidance(now + self.rng.uniform(0.5, 1.0) * bound, min(repeats, 10))

    def clear_avoidance(self, member: str) -> None:
        """Forget the failures of a member that works."""
        self._avoided.pop(member, None)
