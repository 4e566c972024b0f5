"""The sub-commands. Each imports its dependencies when it runs, so that none needs the extras of another."""

from __future__ import annotations

import importlib
import json
import os
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, NoReturn

import click

if TYPE_CHECKING:
    from ..settings.installation import Installation


@click.group(help="A query gateway: decides what runs, on which engine, when, and with how much memory.")
def spurdeal() -> None:
    """The top-level group.

    Without a sub-command, `python -m spurdeal` runs a dispatcher and does not come here.
    """


def exit_with_error(message: object) -> NoReturn:
    """Print the error to standard error and exit with code 2."""
    click.echo(f"spurdeal: {message}", err=True)
    sys.exit(2)


def load_installation(path: str) -> Installation:
    """Read the settings file; if it is invalid, print the errors and exit with code 2."""
    from ..settings.reading import SettingsError, read

    try:
        return read(path)
    except SettingsError as error:
        exit_with_error(error)


@spurdeal.command(
    help="Runs a dispatcher with the configuration ROUTER_CONFIG, and with a settings file if one is given."
)
@click.option("--settings", type=click.Path(), help="a YAML settings file")
def run(settings: str | None) -> None:
    """Run a dispatcher."""
    from ..net.start import main

    if settings is None:
        sys.exit(main(os.environ))
    from .running import run_with

    sys.exit(run_with(os.environ, settings))


@spurdeal.command(
    help="Checks a settings file: prints file, line and key of each error; then the exit code is 2."
)
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Check a settings file."""
    found = load_installation(file)
    parts = [
        part
        for part in ("vrrp", "handover", "fleet", "extproc", "ledger")
        if getattr(found, part) is not None
    ]
    click.echo(f"{file}: is valid; {found.name} with {len(found.peers)} peers and {', '.join(parts)}")


@spurdeal.command(help="Lists every key of a settings file, with its default and meaning.")
def keys() -> None:
    """Print every key."""
    from ..settings.reading import keys as all_keys

    for key, default, meaning in all_keys():
        click.echo(f"{key}  ({default})\n    {meaning}" if default else f"{key}\n    {meaning}")


@spurdeal.group(help="VRRP advertisements: encodes and decodes them.")
def vrrp() -> None:
    """The group of the VRRP commands."""


@vrrp.command(help="Prints the advertisement that a configured group would send now.")
@click.argument("file", type=click.Path())
@click.option("--group", "number", type=int, required=True, help="the VRID")
@click.option("--hex", "as_hex", is_flag=True, help="as hex digits only")
def advert(file: str, number: int, as_hex: bool) -> None:
    """Print an advertisement."""
    from ..vrrp import advert as adverts

    found = load_installation(file)
    groups = found.vrrp.groups if found.vrrp is not None else []
    group = next((group for group in groups if group.group == number), None)
    if found.vrrp is None or group is None:
        exit_with_error(f"{file}: no group {number}")
    for peer in found.peers[:1] if as_hex else found.peers:
        source, target = found.vrrp.listen[0], peer.adverts[0]
        advertisement = adverts.Advert(number, group.priority, group.interval, tuple(group.addresses))
        text = adverts.write(advertisement, source, target).hex()
        click.echo(text if as_hex else f"{source} to {target}: {text}")


@vrrp.command(help="Prints the fields of a datagram.")
@click.argument("digits")
@click.option("--json", "as_json", is_flag=True)
@click.option("--source", default="127.0.0.1", help="the datagram's sender, for the checksum")
@click.option("--target", default="127.0.0.1", help="the datagram's destination, for the checksum")
def dump(digits: str, as_json: bool, source: str, target: str) -> None:
    """Print the fields of a datagram."""
    from ipaddress import ip_address

    from ..vrrp.advert import fields

    try:
        found = fields(bytes.fromhex(digits), ip_address(source), ip_address(target))
    except ValueError as error:
        exit_with_error(error)
    if as_json:
        click.echo(json.dumps(found))
    else:
        for name, value in found.items():
            click.echo(f"{name}: {value}")


@spurdeal.group(help="The external processor.")
def extproc() -> None:
    """The group of the external processor commands."""


@extproc.command(help="Runs a dispatcher with the external processor from the file's `extproc` section.")
@click.option("--settings", type=click.Path(), required=True, help="a YAML settings file")
def serve(settings: str) -> None:
    """Run the external processor."""
    if load_installation(settings).extproc is None:
        exit_with_error(f"{settings}: extproc: this key is missing")
    from .running import run_with

    sys.exit(run_with(os.environ, settings))


@spurdeal.group(help="The fleet: its members and its audit logs.")
def fleet() -> None:
    """The group of the fleet commands."""


@fleet.command(
    help="Prints members, their versions, and who is shut out and why, as one dispatcher sees the fleet."
)
@click.option("--at", required=True, help="a dispatcher's address for clients, such as 127.0.0.1:7001")
@click.option("--json", "as_json", is_flag=True)
def status(at: str, as_json: bool) -> None:
    """Print one dispatcher's view of the fleet."""
    from urllib.error import URLError
    from urllib.request import urlopen

    try:
        with urlopen(f"http://{at}/fleet", timeout=5) as answer:
            found = json.load(answer)
    except (URLError, OSError, ValueError) as error:
        exit_with_error(f"{at}: {error}")
    if as_json:
        click.echo(json.dumps(found))
        return
    from ..fleet.status_text import status_lines

    click.echo("\n".join(status_lines(found)))


def read_logs(folders: tuple[str, ...], strict: bool) -> list[Any]:
    """Read audit logs; if one is unreadable, print the error and exit with code 2."""
    from pathlib import Path

    from ..fleet.audit_query import UnreadableLogError, read_log

    try:
        return [read_log(Path(folder), strict) for folder in folders]
    except (UnreadableLogError, OSError) as error:
        exit_with_error(error)


@fleet.command(help="Prints the entries of the audit logs in these directories, merged in causal order.")
@click.argument("folders", nargs=-1, required=True, type=click.Path())
@click.option("--submission", default="", help="only entries about this request id")
@click.option("--engine", default="", help="only entries about this engine, or whose mode text contains it")
@click.option("--dispatcher", default="", help="only entries by or about this dispatcher")
@click.option("--version", default="", help="only entries under this version, such as 0.57")
@click.option("--between", nargs=2, type=float, default=None, help="start and end, in Unix ms")
@click.option("--json", "as_json", is_flag=True, help="one JSON object per line")
def audit(
    folders: tuple[str, ...],
    submission: str,
    engine: str,
    dispatcher: str,
    version: str,
    between: tuple[float, float] | None,
    as_json: bool,
) -> None:
    """Print entries of audit logs."""
    from ..fleet.audit_query import AuditQuery, merge_logs, select_entries

    since, until = between or (0.0, float("inf"))
    query = AuditQuery(submission, engine, dispatcher, version, since, until)
    for entry in select_entries(merge_logs(read_logs(folders, True)), query):
        click.echo(json.dumps(entry.to_json()) if as_json else entry.to_text())


@fleet.command(
    "check",
    help="Prints decisions against the versions, and damaged, incomplete or contradicting logs; "
    "the exit code is 1 if there are any.",
)
@click.argument("folders", nargs=-1, required=True, type=click.Path())
@click.option(
    "--grace",
    default="250ms",
    help="time from when a dispatcher first acts on a list until all must follow it",
)
@click.option("--json", "as_json", is_flag=True, help="one JSON object per line")
def check_logs(folders: tuple[str, ...], grace: str, as_json: bool) -> None:
    """Print decisions against the versions, and damaged, incomplete or contradicting logs."""
    from ..fleet.audit_query import check as check_all
    from ..settings.units import milliseconds

    try:
        grace_ms = milliseconds(grace)
    except ValueError as error:
        exit_with_error(f"--grace: {error}")
    findings = check_all(read_logs(folders, False), grace_ms)
    for found in findings:
        at = str(found.entry.record.stamp) if found.entry is not None else None
        click.echo(
            json.dumps({"kind": found.kind, "says": found.text, "at": at})
            if as_json
            else f"{found.kind}: {found.text}"
        )
    if not as_json:
        click.echo(f"{len(findings)} findings in {len(folders)} logs")
    sys.exit(1 if findings else 0)


LAB_MODULES = {
    "audit": "audited",
    "capacity": "capacity",
    "cold": "cold_ramp",
    "emulate": "emulate",
    "extproc": "extproc_experiment",
    "model": "model",
    "vrrp": "takeover",
}  # arguments of `spurdeal lab`, and the modules of spurdeal.lab whose figures() runs and returns the results


def import_figures(name: str) -> Callable[..., dict[str, Any]]:
    """Import the module of a lab run and return its figures() function."""
    module = importlib.import_module(f"spurdeal.lab.{LAB_MODULES[name]}")
    figures: Callable[..., dict[str, Any]] = module.figures
    return figures


class CapacityOptions(NamedTuple):
    """The options that only `lab capacity` accepts."""

    sections: tuple[str, ...]
    sizes: str | None
    page: str | None
    source: str | None


def run_capacity(options: CapacityOptions, as_json: bool, quick: bool) -> None:
    """Measure the capacity, or write the tables of a report page from the JSON of an earlier run."""
    from pathlib import Path

    from ..lab.capacity.measure import MeasurementRefused
    from ..lab.capacity.report import UnusablePage, write_page

    if (options.page is None) != (options.source is None):
        exit_with_error("lab capacity: --page and --from go together")
    try:
        if options.page is not None and options.source is not None:
            write_page(Path(options.page), json.loads(Path(options.source).read_text()))
            return
        sizes = [int(size) for size in options.sizes.split(",")] if options.sizes else []
        found = import_figures("capacity")(
            quick, lambda line: click.echo(line, err=True), options.sections, sizes
        )
    except (MeasurementRefused, UnusablePage, OSError, ValueError) as error:
        exit_with_error(f"lab capacity: {error}")
    click.echo(json.dumps(found) if as_json else json.dumps(found, indent=2))


@spurdeal.command(help="Runs one of the project's experiments, with real processes on loopback.")
@click.argument(
    "name",
    type=click.Choice([*LAB_MODULES, "demo"]),
)
@click.option("--json", "as_json", is_flag=True, help="one JSON object as the last line")
@click.option("--quick", is_flag=True, help="a shorter run, under a minute")
@click.option(
    "--seed",
    type=int,
    default=None,
    help="seed of audit's faults, cold's runs or demo's load, as printed by a run",
)
@click.option("--seconds", type=click.FloatRange(2, 120), default=None, help="how long demo's load lasts")
@click.option("--section", "sections", multiple=True, help="capacity: only this section; may be repeated")
@click.option(
    "--sizes", default=None, help="capacity: the sizes of one section, such as 36,150,500,1000,2000"
)
@click.option("--page", type=click.Path(), default=None, help="capacity: write the tables of this page")
@click.option(
    "--from", "source", type=click.Path(), default=None, help="capacity: the JSON file to write the page from"
)
def lab(
    name: str,
    as_json: bool,
    quick: bool,
    seed: int | None,
    seconds: float | None,
    sections: tuple[str, ...],
    sizes: str | None,
    page: str | None,
    source: str | None,
) -> None:
    """Run an experiment or the demo."""
    if name == "demo":
        from .demo import demo

        sys.exit(demo(as_json, seconds if seconds is not None else 5.0 if quick else 20.0, seed))
    if seconds is not None:
        exit_with_error(f"lab {name}: it takes no seconds")
    options = CapacityOptions(sections, sizes, page, source)
    if name != "capacity" and any(options):
        exit_with_error(f"lab {name}: it takes no section, sizes or page")
    if seed is not None and name not in ("audit", "cold"):
        exit_with_error(f"lab {name}: it takes no seed")
    if name == "capacity":
        run_capacity(options, as_json, quick)
        return
    more = {} if seed is None else {"seed": seed}
    found = import_figures(name)(quick, lambda line: click.echo(line, err=True), **more)
    click.echo(json.dumps(found) if as_json else json.dumps(found, indent=2))
