"""Output of releases and process status on the command line."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import evolve
from rich.console import Console
from rich.table import Table

from bilberrypath.state.route_terms import describe_terms

if TYPE_CHECKING:
    from bilberrypath.operator_client import ProcessStatus
    from bilberrypath.state.release import Release, Service

console = Console(soft_wrap=True, highlight=False)


def release_to_dict(release: Release) -> dict:
    """Return a release as a dictionary of JSON values."""
    return {
        "revision": release.revision,
        "note_id": release.note_id,
        "data_centres": [
            msgspec.to_builtins(centre)
            for _, centre in sorted(release.data_centre_by_name.items())
        ],
        "services": [_service_to_dict(service) for service in release.list_services()],
    }


def _service_to_dict(service: Service) -> dict:
    """Return a service with its terms by name, which are left out if there are none."""
    values = msgspec.to_builtins(evolve(service, terms=None))
    del values["terms"]
    if service.terms is not None:
        values["terms"] = msgspec.structs.asdict(service.terms)
    return values


def print_release(release: Release) -> None:
    """Print a release as tables."""
    console.print(f"revision {release.revision}")
    centres = Table("data centre", "state")
    for name, centre in sorted(release.data_centre_by_name.items()):
        centres.add_row(name, "out" if centre.out else "in")
    services = Table("service", "port", "data centres", "terms")
    for service in release.list_services():
        services.add_row(
            service.name,
            str(service.port),
            " ".join(service.data_centres),
            "" if service.terms is None else describe_terms(service.terms),
        )
    console.print(centres, services)


def status_to_dict(newest: int, rows: list[ProcessStatus]) -> dict:
    """Return the status of processes as a dictionary of JSON values."""
    return {
        "revision": newest,
        "processes": [
            {
                "node": row.member.node_id,
                "role": row.member.role.name.lower(),
                "data_centre": row.member.data_centre,
                "service": row.member.service,
                "incarnation": row.member.incarnation,
                "status": row.member.status.name.lower(),
                "doubt": row.member.suspicion.name.lower(),
                "revision": row.revision,
                "lags": row.is_behind,
            }
            for row in rows
        ],
    }


def print_status(newest: int, rows: list[ProcessStatus]) -> None:
    """Print the status of processes as a table."""
    behind_count = sum(row.is_behind for row in rows)
    console.print(f"revision {newest}; {len(rows)} processes, {behind_count} behind")
    table = Table("data centre", "node", "role", "service", "status", "revision")
    for row in rows:
        member = row.member
        revision = "unknown" if row.revision is None else str(row.revision)
        table.add_row(
            member.data_centre,
            member.node_id,
            member.role.name.lower(),
            member.service,
            member.status.name.lower(),
            f"{revision} (behind)" if row.is_behind else revision,
        )
    console.print(table)
