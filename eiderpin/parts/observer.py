"""The options of a dispatcher that follows the store as an observer, without being a member of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from eiderpin.parts.store import NAME_PATTERN, parse_address

KEYS = ("follow", "name", "cluster", "region")


@dataclass(slots=True, frozen=True)
class MemberEndpoint:
    """The address at which a member serves observers, and its region, which may be empty."""

    member: str
    address: tuple[str, int]
    region: str = ""


@dataclass(slots=True, frozen=True)
class FollowOptions:
    """The observer's name, cluster and region, and the members to connect to, at least one."""

    name: str
    cluster: str
    region: str
    endpoints: tuple[MemberEndpoint, ...]


def read_options(section: dict[str, Any], default_name: str) -> FollowOptions:
    """Read a section `store` that has the key `follow`.

    Raises:
        ValueError: With the key, the value and what is expected.
    """
    for name in section:
        if name not in KEYS:
            raise ValueError(f"store.{name}: it has no place beside store.follow")
    name, cluster = section.get("name") or default_name, section.get("cluster") or "eiderpin"
    region = section.get("region") or ""
    for key, value in (("name", name), ("cluster", cluster)):
        if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
            raise ValueError(f"store.{key}: {value!r}; up to 64 letters, digits and ._- are expected")
    if not isinstance(region, str):
        raise ValueError(f"store.region: {region!r}; text is expected")
    follow = section["follow"]
    if not isinstance(follow, dict) or not follow:
        raise ValueError(
            "store.follow: an object of members and the addresses at which they serve observers is needed"
        )
    endpoints = tuple(_read_endpoint(member, value) for member, value in follow.items())
    return FollowOptions(name, cluster, region, endpoints)


def _read_endpoint(member: str, section: Any) -> MemberEndpoint:
    """Read one member: its address, or an object of `address` and `region`."""
    path = f"store.follow.{member}"
    if not NAME_PATTERN.fullmatch(member):
        raise ValueError(f"store.follow: {member!r} is no name")
    if not isinstance(section, dict):
        return MemberEndpoint(member, parse_address(section, path))
    for name in section:
        if name not in ("address", "region"):
            raise ValueError(f"{path}.{name}: there is no such setting; there are address, region")
    region = section.get("region") or ""
    if not isinstance(region, str):
        raise ValueError(f"{path}.region: {region!r}; text is expected")
    return MemberEndpoint(member, parse_address(section.get("address"), f"{path}.address"), region)
