"""Type aliases shared by all layers."""

from typing import TypeAlias

Address: TypeAlias = tuple[str, int]
"""An IP number in text form and a port."""

DataCentreName: TypeAlias = str
ServiceName: TypeAlias = str
NodeId: TypeAlias = str
"""``host:port`` of a process's peer socket; unique while the process lives."""

Seconds: TypeAlias = float
Revision: TypeAlias = int
Incarnation: TypeAlias = int
"""Milliseconds since the epoch at the start of a process."""
