"""Members of the store whose disks are slow: they elect a leader, and it goes on leading.

The failure: election timeouts are 0.5 to 1 s. Where a vote took longer to reach the disks, the next election
began before it was counted; a leader stepped down, as responses to its heartbeats waited for the disks.
"""

from __future__ import annotations

import pytest

from tests.store_sim import SimulatedCluster


@pytest.mark.parametrize("sync_ms", [(0.2, 4.0), (1100.0, 1300.0), (1900.0, 2100.0)])
def test_members_with_slow_disks_elect_a_leader(sync_ms: tuple[float, float]) -> None:
    """Guards against elections that are each cut off by the next one, before the votes are on disk."""
    for seed in range(8):
        world = SimulatedCluster(seed)
        for node in world.nodes.values():
            node.disk.delay_ms = sync_ms
        world.run(world.now + 180_000.0)
        leader = world.leader()
        assert leader, f"seed {seed}"
        term = world.running_member(leader).raft.term
        world.run(world.now + 60_000.0)
        assert (world.leader(), world.running_member(leader).raft.term) == (leader, term), f"seed {seed}"
