"""The command line: run daemons, manage releases and call services.

Exit codes: 0 success; 1 errors in a settings file or note; 2 wrong usage; 3 conflict
with another note; 4 unknown whether a note was accepted; 5 release store, balancer or
agent unreachable; 6 request not run; 7 request may have run. The release store is the
platform's key-value service.
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
    console,
    print_release,
    print_status,
    release_to_dict,
    status_to_dict,
)
from bilberrypath.coordination.release_store import (
    Accepted,
    Conflict,
    StoreBehind,
    StoreUnavailable,
    UnknownYet,
)
from bilberrypath.flow_cli import FLOW_COMMANDS
from bilberrypath.operator_client import NoteRejected, OperatorClient, with_note_id
from bilberrypath.protocol.outcome import Answered, Outcome, RefusedNotRun
from bilberrypath.settings import (
    SettingsError,
    load_agent_settings,
    load_balancer_settings,
    load_operator_settings,
)
from bilberrypath.settings import check_settings as list_settings_errors
from bilberrypath.state.release import ReleaseNote
from bilberrypath.state.release_notes import (
    NOTE_TEMPLATE,
    NoteErrors,
    format_note,
    parse_note,
)

EXIT_DONE = 0
EXIT_INVALID_INPUT = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN_YET = 4
EXIT_UNREACHABLE = 5
EXIT_NOT_RUN = 6
EXIT_UNKNOWN = 7
_stderr = Console(stderr=True, soft_wrap=True, highlight=False)


def balancer(*, settings: str) -> int:
    """Run a balancer.

    :param settings: INI file with the sections node, keys, store and balancer
    """
    from bilberrypath.transport.balancer_daemon import BalancerDaemon
    from bilberrypath.transport.telemetry import configure_logging

    configure_logging()
    loaded = load_balancer_settings(settings)

    async def run() -> None:
        await BalancerDaemon(loaded).run()

    asyncio.run(run())
    return EXIT_DONE


def agent(*, settings: str) -> int:
    """Run the agent of an upstream.

    :param settings: INI file with the sections node, keys, store and agent
    """
    from bilberrypath.transport.agent_daemon import AgentDaemon
    from bilberrypath.transport.telemetry import configure_logging

    configure_logging()
    loaded = load_agent_settings(settings)

    async def run() -> None:
        await AgentDaemon(loaded).run()

    asyncio.run(run())
    return EXIT_DONE


def check_settings(file: str) -> int:
    """Check a settings file and print all of its errors.

    :param file: INI file of a balancer, an agent or an operator
    """
    errors = list_settings_errors(file)
    for error in errors:
        console.print(str(error), markup=False)
    if not errors:
        console.print(f"{file}: no errors", markup=False)
    return EXIT_INVALID_INPUT if errors else EXIT_DONE


def draft() -> int:
    """Print a template of a release note."""
    print(NOTE_TEMPLATE, end="")
    return EXIT_DONE


def check(note: str, *, settings: str) -> int:
    """Check a release note; print its errors, or the changes it would make.

    :param note: file of the release note
    :param settings: INI file with the sections store, keys and operator
    """
    parsed = _read_note(note)
    if isinstance(parsed, NoteErrors):
        return _print_errors(parsed.errors)

    async def run(client: OperatorClient) -> int:
        release, note_errors = await client.check(parsed)
        if note_errors:
            return _print_errors(tuple(note_errors))
        console.print(f"changes that would be made to revision {release.revision}:")
        _print_note(parsed)
        return EXIT_DONE

    return _run_operator_command(settings, run)


def accept(
    note: str,
    *,
    settings: str,
    note_id: str = "",
    patience: float = 5.0,
    json: bool = False,
) -> int:
    """Accept a release note, which puts it in force at every process.

    :param note: file of the release note
    :param settings: INI file with the sections store, keys and operator
    :param note_id: id of an earlier attempt whose result is unknown
    :param patience: seconds to keep checking a note whose result is unknown
    :param json: print the result as JSON
    """
    parsed = _read_note(note)
    if isinstance(parsed, NoteErrors):
        return _print_errors(parsed.errors)
    release_note = with_note_id(parsed, note_id)

    async def run(client: OperatorClient) -> int:
        result = await client.accept(release_note, patience)
        return _print_accept_result(result, release_note, json)

    return _run_operator_command(settings, run)


def show(*, settings: str, json: bool = False) -> int:
    """Show the services and data centres of the newest release in the store.

    :param settings: INI file with the sections store, keys and operator
    :param json: print JSON
    """

    async def run(client: OperatorClient) -> int:
        release = await client.open_store().read_snapshot()
        _print_json(release_to_dict(release)) if json else print_release(release)
        return EXIT_DONE

    return _run_operator_command(settings, run)


def history(*, settings: str, last: int = 10, json: bool = False) -> int:
    """Show the most recently accepted release notes.

    :param settings: INI file with the sections store, keys and operator
    :param last: number of notes to show
    :param json: print JSON
    """

    async def run(client: OperatorClient) -> int:
        store = client.open_store()
        head = (await store.read_snapshot()).revision
        deltas = await store.read_deltas(max(1, head - last + 1), head)
        if json:
            _print_json([msgspec.to_builtins(delta) for delta in deltas])
            return EXIT_DONE
        for delta in deltas:
            console.print(
                f"revision {delta.revision} by {delta.note.author or 'unknown'}"
            )
            _print_note(delta.note)
        return EXIT_DONE

    return _run_operator_command(settings, run)


def status(*, settings: str, json: bool = False) -> int:
    """Show the revision in force at each process, and which processes are behind.

    :param settings: INI file with the sections store, keys and operator
    :param json: print JSON
    """

    async def run(client: OperatorClient) -> int:
        head, rows = await client.fetch_status()
        if not rows:
            _stderr.print("no balancer answered; check balancers in section operator")
            return EXIT_UNREACHABLE
        _print_json(status_to_dict(head, rows)) if json else print_status(head, rows)
        return EXIT_DONE

    return _run_operator_command(settings, run)


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
    :param key: idempotency key; generated if empty
    :param deadline: seconds after which an answer is no longer useful
    :param authorities: PEM file of the certificate authorities to trust
    :param server_name: name that the agents' certificate must contain
    :param stream: follow the path as a stream
    :param items: number of stream items after which to stop; 0 for no limit
    """
    from bilberrypath.caller.caller import Caller, CallerOptions

    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        _stderr.print(f"address {address!r}: expected HOST:PORT", markup=False)
        return EXIT_USAGE
    options = CallerOptions((host, int(port)), authorities or None, server_name)
    body = Path(data[1:]).read_bytes() if data.startswith("@") else data.encode()

    async def run() -> int:
        caller = Caller(options)
        try:
            if stream:
                return await _follow_stream(caller, path, items)
            reply = await caller.request(method, path, body, key=key, deadline=deadline)
            return _print_outcome(reply)
        finally:
            await caller.close()

    return asyncio.run(run())


async def _follow_stream(caller, path: str, items: int) -> int:
    count = 0
    async for item in caller.stream(path):
        print(item.number, item.data, flush=True)
        count += 1
        if count == items:
            break
    return EXIT_DONE


def _print_outcome(outcome: Outcome) -> int:
    if isinstance(outcome, Answered):
        sys.stdout.buffer.write(outcome.body)
        sys.stdout.buffer.flush()
        return EXIT_DONE
    _stderr.print(f"{outcome.kind}: {outcome.reason.value}", markup=False)
    return EXIT_NOT_RUN if isinstance(outcome, RefusedNotRun) else EXIT_UNKNOWN


def _run_operator_command(settings: str, run) -> int:
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
        # Only reads get here: OperatorClient.accept() catches the error of a write.
        _stderr.print(
            f"cannot read the release store ({error}); nothing was changed, try again",
            markup=False,
        )
        return EXIT_UNREACHABLE


def _read_note(path: str) -> ReleaseNote | NoteErrors:
    try:
        text = Path(path).read_text()
    except OSError as error:
        return NoteErrors((f"{path}: {error.strerror}",))
    return parse_note(text, author=getpass.getuser())


def _print_errors(errors: tuple[str, ...]) -> int:
    for error in errors:
        _stderr.print(error, markup=False)
    return EXIT_INVALID_INPUT


def _print_note(note: ReleaseNote) -> None:
    for line in format_note(note):
        console.print(f"  {line}", markup=False)


def _print_accept_result(result, note: ReleaseNote, as_json: bool) -> int:
    if isinstance(result, NoteRejected):
        return _print_errors(result.errors)
    if isinstance(result, Accepted):
        text, code = f"accepted as revision {result.revision}", EXIT_DONE
    elif isinstance(result, Conflict):
        text = f"conflict: revision {result.revision} has another note; not accepted"
        code = EXIT_CONFLICT
    elif isinstance(result, StoreBehind):
        text = (
            f"not accepted: the release store holds revision {result.head} and lacks "
            "the release in force; balancers are restoring it, try again"
        )
        code = EXIT_UNREACHABLE
    else:
        text, code = _format_unknown_result(result, note)
    if as_json:
        kind = type(result).__name__.lower()
        _print_json({"result": kind, "note_id": note.note_id, "text": text})
        return code
    console.print(text, markup=False)
    if isinstance(result, Conflict) and result.delta is not None:
        console.print(f"accepted note, by {result.delta.note.author or 'unknown'}:")
        _print_note(result.delta.note)
    return code


def _format_unknown_result(result: UnknownYet, note: ReleaseNote) -> tuple[str, int]:
    if not result.note_id:
        text = "not accepted: cannot read the release store; try again"
        return text, EXIT_UNREACHABLE
    text = (
        f"unknown yet: not confirmed by the store; rerun with --note-id {note.note_id}"
    )
    return text, EXIT_UNKNOWN_YET


def _print_json(value: object) -> None:
    print(msgspec.json.encode(value).decode())


def main(arguments: list[str] | None = None) -> None:
    """Run a command and exit with its exit code."""
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
        "flow": FLOW_COMMANDS,
    }
    try:
        code = defopt.run(
            commands, argv=arguments, version=version("bilberrypath"), short={}
        )
    except SettingsError as error:
        _stderr.print(str(error), markup=False)
        code = EXIT_INVALID_INPUT
    sys.exit(code)
