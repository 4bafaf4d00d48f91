"""What the choice of an agent for an open takes into account besides the peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from bilberrypath.load.pressure import compute_spillover_load

if TYPE_CHECKING:
    from collections.abc import Container

    from bilberrypath.load.pressure import ServicePressure
    from bilberrypath.types import DataCentreName, NodeId

DISTANCE_PENALTY = 0.35  # of the slots; extra gain required between data centres


@frozen
class OwnLoad:
    """The busy flows, slots, utilization and data centre of this agent."""

    busy_count: int
    slots: int
    utilization: float
    data_centre: DataCentreName


@frozen
class PlacementConstraints:
    """The client's data centre, and the agents and data centres to exclude.

    ``pressure`` is that of the service, or None if the route states no terms or
    spillover is off. With it, an open leaves its client's data centre only if no
    upstream there has room, and the compared load is the utilization.
    """

    client_data_centre: DataCentreName
    excluded_ids: Container[NodeId]
    excluded_data_centres: Container[DataCentreName]
    pressure: ServicePressure | None = None

    def is_near(self, data_centre: DataCentreName) -> bool:
        """Return whether a data centre is the client's, or the client's is unknown."""
        return self.client_data_centre in ("", data_centre)

    def compute_score(self, load: float, data_centre: DataCentreName) -> float:
        """Return the value by which agents are compared; the lowest is the best."""
        if self.pressure is None:
            penalty = compute_distance_penalty(data_centre, self.client_data_centre)
            return load + penalty
        is_near_full = self.client_data_centre in self.pressure.full_data_centres
        return compute_spillover_load(load, self.is_near(data_centre), is_near_full)


def compute_distance_penalty(
    data_centre: DataCentreName, client_data_centre: DataCentreName
) -> float:
    """Return the utilization added to an agent outside the client's data centre.

    A flow that stays in its client's data centre survives a network partition between
    data centres, and its traffic costs less. An empty client data centre is unknown
    and adds nothing.
    """
    return 0.0 if client_data_centre in ("", data_centre) else DISTANCE_PENALTY
