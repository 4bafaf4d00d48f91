"""A watch of the route tables that running processes have in force."""

from attrs import Factory, define

from bilberrypath.state.route_delta import NO_TABLE_DIGEST, RouteTableReply
from bilberrypath.state.routes import RouteTable
from bilberrypath.state.store_position import make_revision
from bilberrypath.transport.bulk_calls import CallFailed, RoutesRequest, call_bulk
from tests.support.flow_processes import PEER_PORT


@define(eq=False)
class RevisionWatch:
    """Check that no process returns to an older table.

    ``record`` is called with a kind and a text for each that does. ``newest_by_pid``
    has the version and the revision of the newest table seen at each process.
    """

    deployment: object
    record: object
    newest_by_pid: dict = Factory(dict)

    async def check_all(self):
        """Request the table of each process once."""
        for host, process in list(self.deployment.process_by_host.items()):
            await self._check(host, process.pid)

    def has_reached_all(self, key):
        """Return whether every process was seen with the last change of a key."""
        store = self.deployment.store
        revision = make_revision(store.epoch, store.items[key]["revision"])
        pids = [p.pid for p in self.deployment.process_by_host.values()]
        return all(self.newest_by_pid.get(pid, (0, 0))[1] >= revision for pid in pids)

    async def check_all_have(self, version):
        """Check that each process that answers has a version of the configuration."""
        await self.check_all()
        for host, process in self.deployment.process_by_host.items():
            found = self.newest_by_pid.get(process.pid, (version, 0))[0]
            if found != version:
                self.record("config", f"{host} has version {found}, expected {version}")

    async def _check(self, host, pid):
        try:
            request = RoutesRequest(NO_TABLE_DIGEST)
            reply = await call_bulk((host, PEER_PORT), request, RouteTableReply)
        except CallFailed:
            return
        process = self.deployment.process_by_host.get(host)
        if process is None or process.pid != pid:
            return
        table = reply.snapshot or RouteTable()
        before = self.newest_by_pid.get(pid, (0, 0))
        newest = (table.version, table.revision)
        if newest < before:
            self.record("config", f"{host} reverted from {before} to {newest}")
        self.newest_by_pid[pid] = max(before, newest)
