"""Run pure cores on a virtual clock and record what they exchange.

The transcript has a line for each message, logged event and count, and is compared
with a snapshot.
"""

import heapq
import itertools
from random import Random

from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination.agent import (
    AgentCore,
    AgentSetup,
    CloseAllFlows,
    Deliver,
    OpenFlow,
)
from bilberrypath.coordination.balancer import BalancerCore, BalancerSetup
from bilberrypath.coordination.release_store import StoreUnavailable
from bilberrypath.protocol import control as ctl
from bilberrypath.protocol.frame import FlowNotFoundFrame, ForwardFrame, ReturnFrame
from bilberrypath.protocol.token import TokenCodec
from bilberrypath.state.members import Member, Role, Status
from bilberrypath.state.release import ReleaseDelta, apply_note
from tests.support.fake_store import FakeKeyValue, make_store, run_now

LINK_DELAY = 0.001  # seconds, one way between any two processes
CALLER_ADDRESS = ("127.9.9.9", 5000)
TOKEN_CODEC = TokenCodec({1: bytes(range(16))}, 1)


@define
class Process:
    """A core with its address.

    A suspended process handles nothing; its ``backlog`` keeps the events that it
    receives meanwhile. A killed process loses them.
    """

    name: str
    core: object
    address: tuple
    is_suspended: bool = False
    is_killed: bool = False
    backlog: list = Factory(list)


@define
class Session:
    """Run cores by name in virtual time and record a transcript in ``lines``.

    ``now`` is the virtual time in seconds. ``cut`` holds the (sender, receiver) pairs
    of names between which messages are lost and pulls fail; ``(name, "store")`` cuts a
    balancer off from the store. ``opened`` maps the connection ID of an accepted open
    to the agent's name and the token of the flow. ``delivered`` lists (agent, effect)
    of packets that reached their flow, and ``to_callers`` the packets sent to callers.
    With ``loses_table_pulls`` all pulls of member tables are lost. Effects and messages
    whose class is in ``quiet`` are left out of the transcript.
    """

    seed: int = 1
    now: float = 0.0
    lines: list = Factory(list)
    key_value: FakeKeyValue = Factory(FakeKeyValue)
    process_by_name: dict = Factory(dict)
    name_by_address: dict = Factory(dict)
    cut: set = Factory(set)
    opened: dict = Factory(dict)
    release: object = None
    loses_table_pulls: bool = False
    delivered: list = Factory(list)
    to_callers: list = Factory(list)
    quiet: set = field(
        factory=lambda: {
            "Heartbeat",
            "HeartbeatAck",
            "Probe",
            "ProbeAck",
            "Gossip",
            "AgentProbe",
            "AgentProbeAck",
            "ReadStore",
        }
    )
    _scheduled: list = Factory(list)
    _sequence_numbers: object = field(factory=itertools.count)
    _incarnations: object = field(factory=lambda: itertools.count(1001))

    # Processes

    def add_balancer(self, name, host, centre, seeds=(), has_store=True):
        member = self._make_member(host, Role.BALANCER, centre, "")
        setup = BalancerSetup(member, tuple((seed, 7000) for seed in seeds), has_store)
        rng = Random(f"{self.seed}/{name}")
        return self._add_process(
            name, BalancerCore(setup, TOKEN_CODEC, rng, self.now), host
        )

    def add_agent(self, name, host, centre, service, seeds):
        member = self._make_member(host, Role.AGENT, centre, service)
        setup = AgentSetup(member, tuple((seed, 7000) for seed in seeds), 3, 2000)
        core = AgentCore(setup, TOKEN_CODEC, Random(f"{self.seed}/{name}"))
        core.set_load(0, 3, 0, True)
        return self._add_process(name, core, host)

    def _make_member(self, host, role, centre, service):
        incarnation = next(self._incarnations)
        node_id = f"{host}:7000"
        return Member(node_id, role, centre, service, incarnation, 1, Status.SERVING)

    def _add_process(self, name, core, host):
        process = Process(name, core, (host, 7000))
        self.process_by_name[name] = process
        self.name_by_address[process.address] = name
        self._schedule_tick(process, 0.0)
        return process

    def core(self, name):
        return self.process_by_name[name].core

    # Faults and operator actions

    def add_remark(self, text):
        """Add a remark to the transcript."""
        self.lines.append(f"{self.now:7.3f} -- {text}")

    def kill(self, name):
        self.add_remark(f"{name} is killed")
        self.process_by_name[name].is_killed = True

    def suspend(self, name):
        self.add_remark(f"{name} is frozen")
        self.process_by_name[name].is_suspended = True

    def resume(self, name):
        """Resume a suspended process; it first handles its backlog."""
        self.add_remark(f"{name} goes on")
        process = self.process_by_name[name]
        process.is_suspended = False
        queued_events, process.backlog = process.backlog, []
        for event in queued_events:
            self._feed(process, event)
        self._schedule_tick(process, 0.0)

    def cut_link(self, left, right):
        self.add_remark(f"the link between {left} and {right} is cut")
        self.cut |= {(left, right), (right, left)}

    def restore_links(self):
        self.add_remark("all links are whole again")
        self.cut.clear()

    def record_load(self, name, connections, limit=3, healthy=True):
        """Set the load of an agent with no running requests."""
        self.core(name).set_load(connections, limit, 0, healthy)

    def accept(self, note, release):
        """Accept a note as an operator does; return the result and the new release."""
        accepted = apply_note(release, note)
        delta = ReleaseDelta(accepted.revision, accepted.digest(), note)
        result = run_now(make_store(self.key_value).accept(release, delta))
        self.add_remark(f"operator accepts {note.note_id}: {type(result).__name__}")
        return result, accepted

    def packet(self, balancer, payload, label, port=9443, caller=CALLER_ADDRESS):
        """Deliver a caller's packet to a balancer, as the fabric does."""
        self.lines.append(f"{self.now:7.3f} caller -> {balancer}: {label}")
        event = ev.PacketReceived(port, caller, payload)
        self._feed(self.process_by_name[balancer], event)

    # Time

    def run(self, seconds):
        """Advance the time and run the events that fall due."""
        end_at = self.now + seconds
        while self._scheduled and self._scheduled[0][0] <= end_at:
            self.now, _, callback = heapq.heappop(self._scheduled)
            callback()
        self.now = end_at

    def _schedule(self, delay, callback):
        due_at = self.now + delay
        heapq.heappush(
            self._scheduled, (due_at, next(self._sequence_numbers), callback)
        )

    def _schedule_tick(self, process, delay):
        def tick():
            if process.is_killed or process.is_suspended:
                return
            self._feed(process, ev.Tick())
            self._schedule_tick(process, ev.TICK_PERIOD)

        self._schedule(delay, tick)

    # Messages

    def _feed(self, process, event):
        if process.is_killed:
            return
        if process.is_suspended:
            process.backlog.append(event)
            return
        for effect in self._handle(process.core, event):
            self._perform(process, effect)

    def _handle(self, core, event):
        """Return the effects of a core for an event.

        As in the daemon, a packet whose agent is in the route cache is forwarded
        without a call of ``handle``.
        """
        if isinstance(event, ev.PacketReceived) and event.payload:
            port, payload = event.service_port, event.payload
            agent = core.find_cached_agent(port, payload, self.now)
            if agent is not None:
                frame = core.make_frame(port, event.caller, payload, ())
                return [fx.SendFrame(agent, frame)]
        return core.handle(event, self.now)

    def _perform(self, process, effect):
        self._record_effect(process, effect)
        match effect:
            case fx.SendControl(to, message):
                event = ev.ControlReceived(process.address, message)
                self._deliver(process, to, event)
            case fx.SendFrame(to, frame):
                self._deliver(process, to, ev.FrameReceived(process.address, frame))
            case fx.PullRelease(peer, known_revision):
                self._pull_release(process, peer, known_revision)
            case fx.PullTable(peer, digests):
                self._pull_table(process, peer, digests)
            case fx.ReadStore():
                self._read_store(process)
            case fx.RestoreStore(release, deltas):
                run_now(make_store(self.key_value).restore(release, deltas))
            case fx.SendToCaller():
                self.to_callers.append(effect)
            case OpenFlow(frame, connection_id):
                self._accept_open(process, frame, connection_id)
            case Deliver():
                self.delivered.append((process.name, effect))

    def _accept_open(self, process, frame, connection_id):
        token = process.core.make_token()
        process.core.flow_ids |= {connection_id, token}
        self.opened[connection_id] = (process.name, token)

    def _deliver(self, process, to, event):
        name = self.name_by_address.get(to)
        if name is None or (process.name, name) in self.cut:
            return
        target = self.process_by_name[name]
        self._schedule(LINK_DELAY, lambda: self._feed(target, event))

    def _pull_release(self, process, peer, known_revision):
        target = self._find_reachable(process, peer)
        if target is None:
            self._schedule(1.0, lambda: self._feed(process, ev.PullFailed(peer)))
            return
        deltas = target.core.releases.list_deltas_after(known_revision)
        snapshot = target.core.releases.release if deltas is None else None
        pulled = ev.ReleasePulled(peer, deltas or (), snapshot)
        self._schedule(2 * LINK_DELAY, lambda: self._feed(process, pulled))

    def _pull_table(self, process, peer, digests):
        target = self._find_reachable(process, peer)
        if target is None or self.loses_table_pulls:
            return
        members = tuple(target.core.members.table.list_differing_members(digests))
        pulled = ev.TablePulled(peer, members)
        self._schedule(2 * LINK_DELAY, lambda: self._feed(process, pulled))

    def _find_reachable(self, process, peer):
        target = self.process_by_name.get(self.name_by_address.get(peer))
        if target is None or target.is_killed or target.is_suspended:
            return None
        return None if (process.name, target.name) in self.cut else target

    def _read_store(self, process):
        if (process.name, "store") in self.cut:
            event = ev.StoreFailed()
        else:
            try:
                store = make_store(self.key_value)
                reading = run_now(store.read(process.core.releases.release))
                event = ev.StoreRead(
                    self.now,
                    reading.head,
                    reading.note_id,
                    reading.deltas,
                    reading.snapshot,
                )
            except StoreUnavailable:
                event = ev.StoreFailed()
        self._schedule(2 * LINK_DELAY, lambda: self._feed(process, event))

    # The transcript

    def transcript(self):
        """Return the transcript so far as one text."""
        return "\n".join(self.lines)

    def _record_effect(self, process, effect):
        text = self._describe(effect)
        if text is not None:
            self.lines.append(f"{self.now:7.3f} {process.name}: {text}")

    def _describe(self, effect):
        name = type(effect).__name__
        if name in self.quiet:
            return None
        match effect:
            case fx.SendControl(to, message):
                kind = type(message).__name__
                if kind in self.quiet:
                    return None
                return f"-> {self._name_address(to)} {kind}{_describe_message(message)}"
            case fx.SendFrame(to, frame):
                return f"-> {self._name_address(to)} {self._describe_frame(frame)}"
            case fx.LogStateChange(event, fields):
                fields_text = " ".join(
                    f"{key}={self._name_value(value)}" for key, value in fields.items()
                )
                return f"{event} {fields_text}"
            case fx.Count(event, reason):
                return f"counts {event} {reason}"
            case fx.PullRelease(peer, known_revision):
                return (
                    f"pulls what follows revision {known_revision} "
                    f"from {self._name_address(peer)}"
                )
            case fx.PullTable(peer, _):
                return f"pulls the table from {self._name_address(peer)}"
            case fx.SendToCaller(_, _, payload):
                return f"-> caller {len(payload)} bytes"
            case fx.RestoreStore(release, _):
                return f"restores revision {release.revision} to the store"
            case OpenFlow():
                return "takes the open"
            case Deliver():
                return "delivers a packet to its flow"
            case CloseAllFlows():
                return "gives up all flows"
            case fx.ReleaseAdopted():
                return None
        return name

    def _describe_frame(self, frame):
        match frame:
            case ForwardFrame():
                others = " ".join(
                    f"{self._name_address((other.host, other.port))}({other.load})"
                    for other in frame.other_candidates
                )
                return f"Forward hops={frame.hops} others=[{others}]"
            case ReturnFrame():
                return f"Return load={frame.load}"
            case FlowNotFoundFrame():
                return "NotMine"

    def _name_address(self, address):
        return self.name_by_address.get(address, str(address))

    def _name_value(self, value):
        if not isinstance(value, str) or ":" not in value:
            return value
        host, _, port = value.rpartition(":")
        return self._name_address((host, int(port)))


def _describe_message(message):
    match message:
        case ctl.ReleasePush():
            return f" revision={message.delta.revision}"
        case ctl.ViewPush():
            view = message.view
            return f" revision={view.revision} out={view.out}"
        case ctl.IndirectProbe():
            return ""
    return ""


def make_open(connection_id):
    """Return a QUIC Initial packet with a connection ID that the client chose."""
    length = len(connection_id).to_bytes(1, "big")
    return b"\xc0\x00\x00\x00\x01" + length + connection_id + bytes(1200)


def make_short(token):
    """Return a QUIC short-header packet of an established flow."""
    return b"\x40" + token + bytes(60)
