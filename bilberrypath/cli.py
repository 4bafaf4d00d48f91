"""The command line: daemons, releases and calls.

Exit codes: 0 done; 1 faults in a file or note; 2 wrong usage; 3 conflict with
another note; 4 unknown yet; 5 the platform's service or the system can't be
reached; 6 a request did not run; 7 a request may have run.
"""

from __future__ import annotations

import asyncio
import getpass
import sys
from importlib.metadata import version
from pathlib import Path

import defopt
import msgspec
from rich.console import Console

from bilberrypath.cli_report import (
    list_release,
    list_status,
    out,
    say_release,
    say_status,
)
from bilberrypath.coordination.release_store import (
    Accepted,
    Conflict,
    StoreBehind,
    StoreUnavailable,
    UnknownYet,
)
from bilberrypath.flow_cli import flow, process
from bilberrypath.operator_client import (
    NoteRefused,
    OperatorClient,
    name_note,
)
from bilberrypath.protocol.outcome import Answered, Outcome, RefusedNotRun
from bilberrypath.settings import (
    SettingsError,
    load_agent_settings,
    load_balancer_settings,
    load_operator_settings,
)
from bilberrypath.settings import check_settings as list_settings_faults
from bilberrypath.state.release import Note
from bilberrypath.state.release_notes import (
    TEMPLATE,
    NoteFaults,
    describe_note,
    parse_note,
)

EXIT_DONE = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN_YET = 4
EXIT_UNREACHABLE = 5
EXIT_NOT_RUN = 6
EXIT_UNKNOWN = 7
_err = Console(stderr=True, soft_wrap=True, highlight=False)


def balancer(*, settings: str) -> int:
    """Run a balancer.

    :param settings: INI file with the sections node, keys, store and balancer
    """
    from bilberrypath.transport.balancer_daemon import BalancerDaemon
    from bilberrypath.transport.telemetry import configure_logs

    configure_logs()
    loaded = load_balancer_settings(settings)

    async def run() -> None:
        await BalancerDaemon(loaded).run()

    asyncio.run(run())
    return EXIT_DONE


def agent(*, settings: str) -> int:
    """Run the agent beside an upstream.

    :param settings: INI file with the sections node, keys, store and agent
    """
    from bilberrypath.transport.agent_daemon import AgentDaemon
    from bilberrypath.transport.telemetry import configure_logs

    configure_logs()
    loaded = load_agent_settings(settings)

    async def run() -> None:
        await AgentDaemon(loaded).run()

    asyncio.run(run())
    return EXIT_DONE


def check_settings(file: str) -> int:
    """Report every fault of a settings file at once.

    :param file: INI file of a balancer, an agent or an operator
    """
    faults = list_settings_faults(file)
    for fault in faults:
        out.print(str(fault), markup=False)
    if not faults:
        out.print(f"{file}: no faults", markup=False)
    return EXIT_FAULTS if faults else EXIT_DONE


def draft() -> int:
    """Print an empty release note to fill in."""
    print(TEMPLATE, end="")
    return EXIT_DONE


def check(note: str, *, settings: str) -> int:
    """Explain every fault of a release note, and what it would do.

    :param note: file of the release note
    :param settings: INI file with the sections store, keys and operator
    """
    parsed = _read_note(note)
    if isinstance(parsed, NoteFaults):
        return _say_faults(parsed.faults)

    async def run(client: OperatorClient) -> int:
        release, faults = await client.check(parsed)
        if faults:
            return _say_faults(tuple(faults))
        out.print(f"would follow revision {release.revision}:")
        _say_note(parsed)
        return EXIT_DONE

    return _run_operator(settings, run)


def accept(
    note: str,
    *,
    settings: str,
    note_id: str = "",
    patience: float = 5.0,
    json: bool = False,
) -> int:
    """Accept a release note: make it the state everywhere.

    :param note: file of the release note
    :param settings: INI file with the sections store, keys and operator
    :param note_id: id of an earlier try whose result was unknown
    :param patience: seconds to go on asking when no answer comes
    :param json: print the result for scripts
    """
    parsed = _read_note(note)
    if isinstance(parsed, NoteFaults):
        return _say_faults(parsed.faults)
    named = name_note(parsed, note_id)

    async def run(client: OperatorClient) -> int:
        result = await client.accept(named, patience)
        return _say_accept(result, named, json)

    return _run_operator(settings, run)


def show(*, settings: str, json: bool = False) -> int:
    """Show the services and data centres of the release in force.

    :param settings: INI file with the sections store, keys and operator
    :param json: print for scripts
    """

    async def run(client: OperatorClient) -> int:
        release = await client.open_store().read_whole()
        _print_json(list_release(release)) if json else say_release(release)
        return EXIT_DONE

    return _run_operator(settings, run)


def history(*, settings: str, last: int = 10, json: bool = False) -> int:
    """Show the release notes accepted last.

    :param settings: INI file with the sections store, keys and operator
    :param last: how many notes to show
    :param json: print for scripts
    """

    async def run(client: OperatorClient) -> int:
        store = client.open_store()
        newest = (await store.read_whole()).revision
        steps = await store.read_steps(max(1, newest - last + 1), newest)
        if json:
            _print_json([msgspec.to_builtins(step) for step in steps])
            return EXIT_DONE
        for step in steps:
            out.print(f"revision {step.revision} by {step.note.author or 'unknown'}")
            _say_note(step.note)
        return EXIT_DONE

    return _run_operator(settings, run)


def status(*, settings: str, json: bool = False) -> int:
    """Show the revision in force at each process, and who lags.

    :param settings: INI file with the sections store, keys and operator
    :param json: print for scripts
    """

    async def run(client: OperatorClient) -> int:
        newest, rows = await client.read_status()
        if not rows:
            _err.print("no balancer of the settings answered; see [operator] balancers")
            return EXIT_UNREACHABLE
        _print_json(list_status(newest, rows)) if json else say_status(newest, rows)
        return EXIT_DONE

    return _run_operator(settings, run)


def call(
    address: str,
    path: str,
    *,
    method: str = "GET",
    data: str = "",
    key: str = "",
    deadline: float = 10.0,
    authorities: str = "",
    server_name: str = "localhost",
    stream: bool = False,
    items: int = 0,
) -> int:
    """Send a request to a service, or follow a stream.

    :param address: HOST:PORT of the service
    :param path: path of the request
    :param method: HTTP method; POST is not idempotent
    :param data: body of the request, or @FILE
    :param key: idempotency key; one is made if empty
    :param deadline: seconds within which an answer is of use
    :param authorities: PEM file of the authorities to trust
    :param server_name: name that the agents' certificate must bear
    :param stream: follow the path as a stream
    :param items: end a stream after so many items; 0 goes on
    """
    from bilberrypath.caller.caller import Caller, CallerOptions

    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        _err.print(f"address {address!r}: expected HOST:PORT", markup=False)
        return EXIT_USAGE
    options = CallerOptions((host, int(port)), authorities or None, server_name)
    body = Path(data[1:]).read_bytes() if data.startswith("@") else data.encode()

    async def run() -> int:
        caller = Caller(options)
        try:
            if stream:
                return await _follow(caller, path, items)
            outcome = await caller.request(
                method, path, body, key=key, deadline=deadline
            )
            return _say_outcome(outcome)
        finally:
            await caller.close()

    return asyncio.run(run())


async def _follow(caller, path: str, items: int) -> int:
    seen = 0
    async for item in caller.stream(path):
        print(item.number, item.data, flush=True)
        seen += 1
        if seen == items:
            break
    return EXIT_DONE


def _say_outcome(outcome: Outcome) -> int:
    if isinstance(outcome, Answered):
        sys.stdout.buffer.write(outcome.body)
        sys.stdout.buffer.flush()
        return EXIT_DONE
    _err.print(f"{outcome.kind}: {outcome.reason.value}", markup=False)
    return EXIT_NOT_RUN if isinstance(outcome, RefusedNotRun) else EXIT_UNKNOWN


def _run_operator(settings: str, run) -> int:
    loaded = load_operator_settings(settings)

    async def run_and_close() -> int:
        client = OperatorClient(loaded)
        try:
            return await run(client)
        finally:
            await client.close()

    try:
        return asyncio.run(run_and_close())
    except StoreUnavailable as error:
        _err.print(
            f"the platform's service did not answer ({error}); "
            "nothing was changed, try again",
            markup=False,
        )
        return EXIT_UNREACHABLE


def _read_note(path: str) -> Note | NoteFaults:
    try:
        text = Path(path).read_text()
    except OSError as error:
        return NoteFaults((f"{path}: {error.strerror}",))
    return parse_note(text, author=getpass.getuser())


def _say_faults(faults: tuple[str, ...]) -> int:
    for fault in faults:
        _err.print(fault, markup=False)
    return EXIT_FAULTS


def _say_note(note: Note) -> None:
    for line in describe_note(note):
        out.print(f"  {line}", markup=False)


def _say_accept(result, note: Note, as_json: bool) -> int:
    if isinstance(result, NoteRefused):
        return _say_faults(result.faults)
    if isinstance(result, Accepted):
        text, code = f"accepted as revision {result.revision}", EXIT_DONE
    elif isinstance(result, Conflict):
        text = f"conflict: revision {result.revision} holds another note; not accepted"
        code = EXIT_CONFLICT
    elif isinstance(result, StoreBehind):
        text = (
            f"not accepted: the platform's service holds revision {result.head}, "
            "older than the one in force; it is being restored, try again"
        )
        code = EXIT_UNREACHABLE
    else:
        text, code = _describe_unknown(result, note)
    if as_json:
        kind = type(result).__name__.lower()
        _print_json({"result": kind, "note_id": note.note_id, "text": text})
        return code
    out.print(text, markup=False)
    if isinstance(result, Conflict) and result.step is not None:
        out.print(f"the other note, by {result.step.note.author or 'unknown'}:")
        _say_note(result.step.note)
    return code


def _describe_unknown(result: UnknownYet, note: Note) -> tuple[str, int]:
    if not result.note_id:
        text = "not accepted: the platform's service did not answer; try again"
        return text, EXIT_UNREACHABLE
    text = (
        "unknown yet: the platform's service did not say whether the note took "
        f"effect; ask again with --note-id {note.note_id}"
    )
    return text, EXIT_UNKNOWN_YET


def _print_json(value: object) -> None:
    print(msgspec.json.encode(value).decode())


def main(arguments: list[str] | None = None) -> None:
    """Run the command line."""
    commands = {
        "balancer": balancer,
        "agent": agent,
        "check-settings": check_settings,
        "release": {
            "draft": draft,
            "check": check,
            "accept": accept,
            "show": show,
            "history": history,
            "status": status,
        },
        "call": call,
        "flow": {"status": process, "find": flow},
    }
    try:
        code = defopt.run(
            commands, argv=arguments, version=version("bilberrypath"), short={}
        )
    except SettingsError as error:
        _err.print(str(error), markup=False)
        code = EXIT_FAULTS
    sys.exit(code)
