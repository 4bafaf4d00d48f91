"""Sessions of pure cores on a virtual clock, written down message by message."""

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

DELAY = 0.001  # seconds between any two processes
CALLER = ("127.9.9.9", 5000)
CODEC = TokenCodec({1: bytes(range(16))}, 1)


@define
class Process:
    """A core with its address, and whether it is frozen or cut off."""

    name: str
    core: object
    address: tuple
    frozen: bool = False
    dead: bool = False
    backlog: list = Factory(list)


@define
class Session:
    """Drive cores by name; the transcript tells what passed between them."""

    seed: int = 1
    now: float = 0.0
    lines: list = Factory(list)
    key_value: FakeKeyValue = Factory(FakeKeyValue)
    process_by_name: dict = Factory(dict)
    name_by_address: dict = Factory(dict)
    cut: set = Factory(set)
    opened: dict = Factory(dict)
    release: object = None
    tables_away: bool = False
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
    _heap: list = Factory(list)
    _order: object = field(factory=itertools.count)
    _incarnations: object = field(factory=lambda: itertools.count(1001))

    # Processes

    def add_balancer(self, name, host, centre, seeds=(), has_store=True):
        member = self._member(host, Role.BALANCER, centre, "")
        setup = BalancerSetup(member, tuple((seed, 7000) for seed in seeds), has_store)
        rng = Random(f"{self.seed}/{name}")
        return self._add(name, BalancerCore(setup, CODEC, rng, self.now), host)

    def add_agent(self, name, host, centre, service, seeds):
        member = self._member(host, Role.AGENT, centre, service)
        setup = AgentSetup(member, tuple((seed, 7000) for seed in seeds), 3, 2000)
        core = AgentCore(setup, CODEC, Random(f"{self.seed}/{name}"))
        core.set_load(0, 3, 0, True)
        return self._add(name, core, host)

    def _member(self, host, role, centre, service):
        incarnation = next(self._incarnations)
        node_id = f"{host}:7000"
        return Member(node_id, role, centre, service, incarnation, 1, Status.SERVING)

    def _add(self, name, core, host):
        process = Process(name, core, (host, 7000))
        self.process_by_name[name] = process
        self.name_by_address[process.address] = name
        self._tick_later(process, 0.0)
        return process

    def core(self, name):
        return self.process_by_name[name].core

    # What befalls them

    def say(self, text):
        self.lines.append(f"{self.now:7.3f} -- {text}")

    def kill(self, name):
        self.say(f"{name} is killed")
        self.process_by_name[name].dead = True

    def freeze(self, name):
        self.say(f"{name} is frozen")
        self.process_by_name[name].frozen = True

    def thaw(self, name):
        self.say(f"{name} goes on")
        process = self.process_by_name[name]
        process.frozen = False
        backlog, process.backlog = process.backlog, []
        for event in backlog:
            self._feed(process, event)
        self._tick_later(process, 0.0)

    def cut_link(self, left, right):
        self.say(f"{left} and {right} are cut from each other")
        self.cut |= {(left, right), (right, left)}

    def heal(self):
        self.say("all links are whole again")
        self.cut.clear()

    def record_load(self, name, connections, limit=3, healthy=True):
        self.core(name).set_load(connections, limit, 0, healthy)

    def accept(self, note, release):
        """Accept a note as an operator does, and return the result."""
        after = apply_note(release, note)
        step = ReleaseDelta(after.revision, after.digest(), note)
        result = run_now(make_store(self.key_value).accept(release, step))
        self.say(f"operator accepts {note.note_id}: {type(result).__name__}")
        return result, after

    def packet(self, balancer, payload, label, port=9443, caller=CALLER):
        """Hand a caller's packet to a balancer, as the fabric does."""
        self.lines.append(f"{self.now:7.3f} caller -> {balancer}: {label}")
        event = ev.PacketReceived(port, caller, payload)
        self._feed(self.process_by_name[balancer], event)

    # Time

    def run(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until

    def _later(self, delay, action):
        at = self.now + delay
        heapq.heappush(self._heap, (at, next(self._order), action))

    def _tick_later(self, process, delay):
        def tick():
            if process.dead or process.frozen:
                return
            self._feed(process, ev.Tick())
            self._tick_later(process, ev.TICK_PERIOD)

        self._later(delay, tick)

    # Messages

    def _feed(self, process, event):
        if process.dead:
            return
        if process.frozen:
            process.backlog.append(event)
            return
        for effect in self._ask(process.core, event):
            self._perform(process, effect)

    def _ask(self, core, event):
        """Return what a core does with an event, by the short way if it can."""
        if isinstance(event, ev.PacketReceived) and event.payload:
            port, payload = event.service_port, event.payload
            agent = core.find_cached_agent(port, payload, self.now)
            if agent is not None:
                frame = core.make_frame(port, event.caller, payload, ())
                return [fx.SendFrame(agent, frame)]
        return core.handle(event, self.now)

    def _perform(self, process, effect):
        self._write(process, effect)
        match effect:
            case fx.SendControl(to, message):
                event = ev.ControlReceived(process.address, message)
                self._deliver(process, to, event)
            case fx.SendFrame(to, frame):
                self._deliver(process, to, ev.FrameReceived(process.address, frame))
            case fx.PullRelease(peer, have):
                self._pull_release(process, peer, have)
            case fx.PullTable(peer, digests):
                self._pull_table(process, peer, digests)
            case fx.ReadStore():
                self._read_store(process)
            case fx.RestoreStore(release):
                run_now(make_store(self.key_value).restore(release))
            case fx.SendToCaller():
                self.to_callers.append(effect)
            case OpenFlow(frame, connection_id):
                self._open(process, frame, connection_id)
            case Deliver():
                self.delivered.append((process.name, effect))

    def _open(self, process, frame, connection_id):
        token = process.core.make_token()
        process.core.flow_ids |= {connection_id, token}
        self.opened[connection_id] = (process.name, token)

    def _deliver(self, process, to, event):
        name = self.name_by_address.get(to)
        if name is None or (process.name, name) in self.cut:
            return
        target = self.process_by_name[name]
        self._later(DELAY, lambda: self._feed(target, event))

    def _pull_release(self, process, peer, have):
        target = self._reach(process, peer)
        if target is None:
            self._later(1.0, lambda: self._feed(process, ev.PullFailed(peer)))
            return
        steps = target.core.releases.list_deltas_after(have)
        whole = target.core.releases.release if steps is None else None
        answer = ev.ReleasePulled(peer, steps or (), whole)
        self._later(2 * DELAY, lambda: self._feed(process, answer))

    def _pull_table(self, process, peer, digests):
        target = self._reach(process, peer)
        if target is None or self.tables_away:
            return
        members = tuple(target.core.members.table.list_differing_members(digests))
        answer = ev.TablePulled(peer, members)
        self._later(2 * DELAY, lambda: self._feed(process, answer))

    def _reach(self, process, peer):
        target = self.process_by_name.get(self.name_by_address.get(peer))
        if target is None or target.dead or target.frozen:
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
        self._later(2 * DELAY, lambda: self._feed(process, event))

    # The transcript

    def transcript(self):
        """Return the story so far."""
        return "\n".join(self.lines)

    def _write(self, process, effect):
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
                return f"-> {self._name(to)} {kind}{_describe_message(message)}"
            case fx.SendFrame(to, frame):
                return f"-> {self._name(to)} {self._describe_frame(frame)}"
            case fx.LogStateChange(event, fields):
                shown = " ".join(
                    f"{key}={self._name_node(value)}" for key, value in fields.items()
                )
                return f"{event} {shown}"
            case fx.Count(event, reason):
                return f"counts {event} {reason}"
            case fx.PullRelease(peer, have):
                return f"pulls what follows revision {have} from {self._name(peer)}"
            case fx.PullTable(peer, _):
                return f"pulls the table from {self._name(peer)}"
            case fx.SendToCaller(_, _, payload):
                return f"-> caller {len(payload)} bytes"
            case fx.RestoreStore(release):
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
                    f"{self._name((c.host, c.port))}({c.load})"
                    for c in frame.other_candidates
                )
                return f"Forward hops={frame.hops} others=[{others}]"
            case ReturnFrame():
                return f"Return load={frame.load}"
            case FlowNotFoundFrame():
                return "NotMine"

    def _name(self, address):
        return self.name_by_address.get(address, str(address))

    def _name_node(self, value):
        if not isinstance(value, str) or ":" not in value:
            return value
        host, _, port = value.rpartition(":")
        return self._name((host, int(port)))


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
    """Return a client's first packet with an id of its own choice."""
    length = len(connection_id).to_bytes(1, "big")
    return b"\xc0\x00\x00\x00\x01" + length + connection_id + bytes(1200)


def make_short(token):
    """Return a packet of an established flow."""
    return b"\x40" + token + bytes(60)
