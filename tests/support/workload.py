"""Load that callers put on a deployment, and its check against the ledgers."""

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
    """A request that a caller sent, its outcome, and how long that took in seconds."""

    key: str
    path: str
    idempotent: bool
    outcome: object
    started_at: float
    seconds: float


@define
class Board:
    """A stream of numbered items that a caller reads.

    ``numbers`` are the items received and ``seen_at`` the times of their arrival.
    """

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
        return max((later - earlier for earlier, later in pairs), default=0.0)


@define
class Verdict:
    """The result of comparing callers' outcomes and streams with the ledgers.

    ``flows`` counts opened flows, ``broken`` lost flows, and ``given_up`` flows lost
    with agents of a data centre that was taken out. ``doubled`` counts requests run
    more than once and repeated stream items. ``lost`` counts requests that were
    answered but not run to their end, and missing stream items. ``wrong`` counts
    answers that belong to another request. ``lies`` counts requests that were refused
    as not run although an upstream ran them. ``overruns`` counts requests that an
    upstream received beyond its capacity. ``reasons`` counts the unanswered requests
    by outcome and reason. ``slowest`` is the longest time of a request in seconds.
    """

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
        """Return the reasons of unanswered requests and the slowest time."""
        parts = [f"{reason}:{count}" for reason, count in self.reasons.items()]
        return " ".join([*parts, f"slowest={self.slowest:.1f}s"])


@define
class Workload:
    """Streams and requests of many callers against one deployment.

    ``item_period`` is the upstreams' time between two stream items in seconds.
    """

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
        """Start callers that each read a stream."""
        for index in range(count):
            board = Board(self.make_caller(service))
            self.boards.append(board)
            self._spawn(self._read_stream(board, f"/board/{index}"))

    def start_requests(self, service, callers, pause, size=20, path="/rides"):
        """Start callers that send requests, ``pause`` seconds after each outcome."""
        for _ in range(callers):
            caller = self.make_caller(service)
            self._spawn(self._send_repeatedly(caller, pause, size, path))

    async def wait_for_boards(self):
        """Wait until every stream has received an item."""
        while not all(board.numbers for board in self.boards):
            self._raise_task_errors()
            await asyncio.sleep(0.05)

    async def wait_for_next_items(self):
        """Wait until every stream has received an item that is newer than this call."""
        now = time.time() / self.item_period
        while not all(board.numbers[-1] > now for board in self.boards):
            self._raise_task_errors()
            await asyncio.sleep(0.05)

    async def stop(self):
        """Let running requests finish for up to 20 s, cancel streams, close callers."""
        self._stopped.set()
        requests = [
            request_task
            for request_task in self._tasks
            if request_task.get_name() == "requests"
        ]
        if requests:
            await asyncio.wait(requests, timeout=20)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for caller in self.callers:
            await caller.close()

    def _raise_task_errors(self):
        for task in self._tasks:
            if task.done():
                task.result()

    def _spawn(self, coroutine):
        # stop() lets the tasks named "requests" finish and cancels the others.
        name = "requests" if "send" in coroutine.__name__ else "board"
        self._tasks.append(asyncio.create_task(coroutine, name=name))

    async def _read_stream(self, board, path):
        async for item in board.caller.stream(path):
            board.numbers.append(item.number)
            board.seen_at.append(time.monotonic())

    async def _send_repeatedly(self, caller, pause, size, path):
        while not self._stopped.is_set():
            await self.send(caller, size, path)
            await asyncio.sleep(pause)

    async def send(self, caller, size=20, path="/rides", deadline=8.0):
        """Send one request that is not idempotent; record and return its outcome."""
        key = uuid.uuid4().hex
        started_at = time.monotonic()
        outcome = await caller.request(
            "POST", f"{path}/{key}", b"z" * size, key=key, deadline=deadline
        )
        seconds = time.monotonic() - started_at
        self.sent.append(Sent(key, path, False, outcome, started_at, seconds))
        return outcome

    def judge(self, out_incarnations=frozenset()):
        """Compare the callers' outcomes with the ledgers and return a verdict.

        Flows lost with agents of ``out_incarnations`` count as given up, not broken.
        """
        ledger = self.deployment.read_ledger()
        runs, done = {}, set()
        for row in ledger:
            if row["event"] == "run":
                runs[row["key"]] = runs.get(row["key"], 0) + 1
            elif row["event"] == "done":
                done.add(row["key"])
        all_lost = [
            flow for caller in self.callers for flow in caller.counts.lost_flows
        ]
        outcomes = [sent.outcome for sent in self.sent]
        reasons = Counter(
            f"{result.kind}/{result.reason.value}"
            for result in outcomes
            if not isinstance(result, Answered)
        )
        return Verdict(
            reasons=dict(reasons),
            slowest=max((sent.seconds for sent in self.sent), default=0.0),
            flows=sum(caller.counts.flows_opened for caller in self.callers),
            broken=sum(
                lost_flow.agent_incarnation not in out_incarnations
                for lost_flow in all_lost
            ),
            given_up=sum(
                lost_flow.agent_incarnation in out_incarnations
                for lost_flow in all_lost
            ),
            requests=len(self.sent),
            answered=sum(isinstance(result, Answered) for result in outcomes),
            not_run=sum(isinstance(result, RefusedNotRun) for result in outcomes),
            unknown=sum(isinstance(result, Unknown) for result in outcomes),
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
        """Return whether the answer to a request, if it has one, belongs to it."""
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
