"""Type aliases shared by all layers."""

from typing import TypeAlias

Address: TypeAlias = tuple[str, int]
"""An IP address in text form and a port."""

DataCentreName: TypeAlias = str
ServiceName: TypeAlias = str
NodeId: TypeAlias = str
"""``host:port`` of a process's peer socket; unique among running processes."""

Seconds: TypeAlias = float
Revision: TypeAlias = int
"""The order of a configuration change: of a release of the QUIC service, or of a route
table as in :mod:`bilberrypath.state.store_position`."""

Incarnation: TypeAlias = int
"""Start time of a process, in milliseconds since the Unix epoch."""
