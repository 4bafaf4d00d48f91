"""Callers' work on a deployment, and what the ledgers say of it."""

import asyncio
import time
import uuid
from collections import Counter

from attrs import Factory, define

from bilberrypath import (
    Answered,
    Caller,
    CallerOptions,
    RefusedNotRun,
    Unknown,
)
from tests.standins.upstream import ITEM_PERIOD


@define
class Sent:
    """A request that a caller made, with its outcome."""

    key: str
    path: str
    idempotent: bool
    outcome: object
    started_at: float
    seconds: float


@define
class Board:
    """A stream that a caller holds."""

    caller: Caller
    numbers: list = Factory(list)
    seen_at: list = Factory(list)

    @property
    def lost_items(self):
        if not self.numbers:
            return 0
        return self.numbers[-1] - self.numbers[0] + 1 - len(set(self.numbers))

    @property
    def doubled_items(self):
        return len(self.numbers) - len(set(self.numbers))

    @property
    def longest_gap(self):
        pairs = zip(self.seen_at, self.seen_at[1:], strict=False)
        return max((after - before for before, after in pairs), default=0.0)


@define
class Verdict:
    """What callers and ledgers together say of a run."""

    flows: int
    broken: int
    requests: int
    answered: int
    not_run: int
    unknown: int
    doubled: int
    lost: int
    wrong: int
    lies: int
    overruns: int
    given_up: int
    reasons: dict
    slowest: float

    @property
    def is_clean(self):
        return not (self.broken or self.doubled or self.lost or self.wrong or self.lies)

    def __str__(self):
        return (
            f"flows={self.flows} broken={self.broken} requests={self.requests} "
            f"answered={self.answered} not_run={self.not_run} "
            f"unknown={self.unknown} doubled={self.doubled} lost={self.lost}"
        )

    def explain(self):
        """Return the reasons of what was not answered."""
        shown = [f"{reason}:{count}" for reason, count in self.reasons.items()]
        return " ".join([*shown, f"slowest={self.slowest:.1f}s"])


@define
class Workload:
    """Boards, bookings and photos against one deployment."""

    deployment: object
    boards: list = Factory(list)
    sent: list = Factory(list)
    callers: list = Factory(list)
    item_period: float = ITEM_PERIOD
    lost_items_allowed: int = 0
    _tasks: list = Factory(list)
    _stopped: object = Factory(asyncio.Event)

    def make_caller(self, service):
        options = CallerOptions(
            self.deployment.address(service), self.deployment.authorities
        )
        caller = Caller(options)
        self.callers.append(caller)
        return caller

    def start_boards(self, service, count):
        for index in range(count):
            board = Board(self.make_caller(service))
            self.boards.append(board)
            self._spawn(self._watch(board, f"/board/{index}"))

    def start_requests(self, service, callers, pause, size=20, path="/rides"):
        for _ in range(callers):
            caller = self.make_caller(service)
            self._spawn(self._send_for_ever(caller, pause, size, path))

    async def wait_for_boards(self):
        """Wait until every board shows something."""
        while not all(board.numbers for board in self.boards):
            self._raise_failed()
            await asyncio.sleep(0.05)

    async def wait_for_next_items(self):
        """Wait until every board shows something newer than now."""
        now = time.time() / self.item_period
        while not all(board.numbers[-1] > now for board in self.boards):
            self._raise_failed()
            await asyncio.sleep(0.05)

    async def stop(self):
        """End requests between two of them, and boards at once."""
        self._stopped.set()
        requests = [t for t in self._tasks if t.get_name() == "requests"]
        if requests:
            await asyncio.wait(requests, timeout=20)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for caller in self.callers:
            await caller.close()

    def _raise_failed(self):
        for task in self._tasks:
            if task.done():
                task.result()

    def _spawn(self, work):
        name = "requests" if "send" in work.__name__ else "board"
        self._tasks.append(asyncio.create_task(work, name=name))

    async def _watch(self, board, path):
        async for item in board.caller.stream(path):
            board.numbers.append(item.number)
            board.seen_at.append(time.monotonic())

    async def _send_for_ever(self, caller, pause, size, path):
        while not self._stopped.is_set():
            await self.send(caller, size, path)
            await asyncio.sleep(pause)

    async def send(self, caller, size=20, path="/rides", deadline=8.0):
        """Send one non-idempotent request and keep its outcome."""
        key = uuid.uuid4().hex
        started_at = time.monotonic()
        outcome = await caller.request(
            "POST", f"{path}/{key}", b"z" * size, key=key, deadline=deadline
        )
        seconds = time.monotonic() - started_at
        self.sent.append(Sent(key, path, False, outcome, started_at, seconds))
        return outcome

    def judge(self, left_incarnations=frozenset()):
        """Compare what callers were told with what the ledgers hold."""
        ledger = self.deployment.read_ledger()
        runs, done = {}, set()
        for row in ledger:
            if row["event"] == "run":
                runs[row["key"]] = runs.get(row["key"], 0) + 1
            elif row["event"] == "done":
                done.add(row["key"])
        lost = [flow for c in self.callers for flow in c.counts.lost_flows]
        outcomes = [sent.outcome for sent in self.sent]
        reasons = Counter(
            f"{o.kind}/{o.reason.value}"
            for o in outcomes
            if not isinstance(o, Answered)
        )
        return Verdict(
            reasons=dict(reasons),
            slowest=max((sent.seconds for sent in self.sent), default=0.0),
            flows=sum(c.counts.flows_opened for c in self.callers),
            broken=sum(f.agent_incarnation not in left_incarnations for f in lost),
            given_up=sum(f.agent_incarnation in left_incarnations for f in lost),
            requests=len(self.sent),
            answered=sum(isinstance(o, Answered) for o in outcomes),
            not_run=sum(isinstance(o, RefusedNotRun) for o in outcomes),
            unknown=sum(isinstance(o, Unknown) for o in outcomes),
            doubled=sum(runs.get(sent.key, 0) > 1 for sent in self.sent)
            + sum(board.doubled_items for board in self.boards),
            lost=sum(
                isinstance(sent.outcome, Answered) and sent.key not in done
                for sent in self.sent
            )
            + sum(board.lost_items for board in self.boards),
            wrong=sum(not self._is_own_answer(sent) for sent in self.sent),
            lies=sum(
                isinstance(sent.outcome, RefusedNotRun) and sent.key in runs
                for sent in self.sent
            ),
            overruns=sum(row["event"] == "overrun" for row in ledger),
        )

    def _is_own_answer(self, sent):
        if not isinstance(sent.outcome, Answered):
            return True
        if sent.path.startswith("/echo"):
            return set(sent.outcome.body) <= {ord("x")}
        return sent.key.encode() in sent.outcome.body


def list_incarnations(status, data_centre):
    """Return the incarnations of a data centre's agents."""
    return {
        row["incarnation"]
        for row in status["processes"]
        if row["data_centre"] == data_centre and row["role"] == "agent"
    }
