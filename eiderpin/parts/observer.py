"""What the configuration says of following the store without being a member of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from eiderpin.parts.store import NAME_PATTERN, parse_address

SETTINGS = ("follow", "name", "cluster", "region")


@dataclass(slots=True, frozen=True)
class MemberEndpoint:
    """Where a member serves observers. `region` may be empty."""

    member: str
    address: tuple[str, int]
    region: str = ""


@dataclass(slots=True, frozen=True)
class FollowOptions:
    """`endpoints`: where members serve observers; at least one."""

    name: str
    cluster: str
    region: str
    endpoints: tuple[MemberEndpoint, ...]


def read_options(said: dict[str, Any], default_name: str) -> FollowOptions:
    """The `store` part of a configuration that has `follow`.

    Raises:
        ValueError: With the field, the value and what is expected.
    """
    for name in said:
        if name not in SETTINGS:
            raise ValueError(f"store.{name}: it has no place beside store.follow")
    name, cluster = said.get("name") or default_name, said.get("cluster") or "eiderpin"
    region = said.get("region") or ""
    for what, value in (("name", name), ("cluster", cluster)):
        if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
            raise ValueError(f"store.{what}: {value!r}; up to 64 letters, digits and ._- are expected")
    if not isinstance(region, str):
        raise ValueError(f"store.region: {region!r}; text is expected")
    follow = said["follow"]
    if not isinstance(follow, dict) or not follow:
        raise ValueError("store.follow: an object of members and where they serve observers is needed")
    endpoints = tuple(_endpoint(member, at) for member, at in follow.items())
    return FollowOptions(name, cluster, region, endpoints)


def _endpoint(member: str, said: Any) -> MemberEndpoint:
    """One member: its address, or an object of `address` and `region`."""
    where = f"store.follow.{member}"
    if not NAME_PATTERN.fullmatch(member):
        raise ValueError(f"store.follow: {member!r} is no name")
    if not isinstance(said, dict):
        return MemberEndpoint(member, parse_address(said, where))
    for name in said:
        if name not in ("address", "region"):
            raise ValueError(f"{where}.{name}: there is no such setting; there are address, region")
    region = said.get("region") or ""
    if not isinstance(region, str):
        raise ValueError(f"{where}.region: {region!r}; text is expected")
    return MemberEndpoint(member, parse_address(said.get("address"), f"{where}.address"), region)
