"""Sub-commands. Each imports what it needs when it runs."""

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


@click.group(help="A query gateway: what runs, on which engine, when, and with how much memory.")
def spurdeal() -> None:
    """The group; without a sub-command `python -m spurdeal` runs a dispatcher and never comes here."""


def exit_with_error(why: object) -> NoReturn:
    """What cannot be used: its text on standard error, exit code 2."""
    click.echo(f"spurdeal: {why}", err=True)
    sys.exit(2)


def load_installation(path: str) -> Installation:
    """The operator's file; what cannot be used is told, and ends the process."""
    from ..settings.reading import SettingsError, read

    try:
        return read(path)
    except SettingsError as error:
        exit_with_error(error)


@spurdeal.command(help="One dispatcher from ROUTER_CONFIG, with an operator's file where one is named.")
@click.option("--settings", type=click.Path(), help="an operator's YAML file")
def run(settings: str | None) -> None:
    """One dispatcher from ROUTER_CONFIG."""
    from ..net.start import main

    if settings is None:
        sys.exit(main(os.environ))
    from .running import run_with

    sys.exit(run_with(os.environ, settings))


@spurdeal.command(help="Checks an operator's file: file, line and key of each fault, exit code 2.")
@click.argument("file", type=click.Path())
def check(file: str) -> None:
    """Checks an operator's file."""
    found = load_installation(file)
    parts = [
        part
        for part in ("vrrp", "handover", "fleet", "extproc", "ledger")
        if getattr(found, part) is not None
    ]
    click.echo(f"{file}: can be used; {found.name} with {len(found.peers)} peers and {', '.join(parts)}")


@spurdeal.command(help="Every key of an operator's file, its default and its meaning.")
def keys() -> None:
    """Prints every key."""
    from ..settings.reading import keys as all_keys

    for key, default, meaning in all_keys():
        click.echo(f"{key}  ({default})\n    {meaning}" if default else f"{key}\n    {meaning}")


@spurdeal.group(help="Advertisements: what would be sent, and what a datagram says.")
def vrrp() -> None:
    """The group of VRRP's commands."""


@vrrp.command(help="The advertisement that a configured group would send now.")
@click.argument("file", type=click.Path())
@click.option("--group", "number", type=int, required=True, help="the VRID")
@click.option("--hex", "as_hex", is_flag=True, help="as hex digits only")
def advert(file: str, number: int, as_hex: bool) -> None:
    """Prints an advertisement."""
    from ..vrrp import advert as adverts

    found = load_installation(file)
    groups = found.vrrp.groups if found.vrrp is not None else []
    group = next((group for group in groups if group.group == number), None)
    if found.vrrp is None or group is None:
        exit_with_error(f"{file}: no group {number}")
    for peer in found.peers[:1] if as_hex else found.peers:
        source, target = found.vrrp.listen[0], peer.adverts[0]
        told = adverts.Advert(number, group.priority, group.interval, tuple(group.addresses))
        text = adverts.write(told, source, target).hex()
        click.echo(text if as_hex else f"{source} to {target}: {text}")


@vrrp.command(help="A datagram field by field.")
@click.argument("digits")
@click.option("--json", "as_json", is_flag=True)
@click.option("--source", default="127.0.0.1", help="the datagram's sender, for the checksum")
@click.option("--target", default="127.0.0.1", help="where it was sent, for the checksum")
def dump(digits: str, as_json: bool, source: str, target: str) -> None:
    """Prints the fields of a datagram."""
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
    """The group of the external processor's commands."""


@extproc.command(help="A dispatcher that other proxies ask, as the file's `extproc` says.")
@click.option("--settings", type=click.Path(), required=True, help="an operator's YAML file")
def serve(settings: str) -> None:
    """Runs the external processor."""
    if load_installation(settings).extproc is None:
        exit_with_error(f"{settings}: extproc: this key is missing")
    from .running import run_with

    sys.exit(run_with(os.environ, settings))


@spurdeal.group(help="The fleet: who is in it, and what its logs say.")
def fleet() -> None:
    """The group of the fleet's commands."""


@fleet.command(help="Who is in the fleet, on which versions, who is out and why, as one dispatcher sees it.")
@click.option("--at", required=True, help="a dispatcher's address for clients, as 127.0.0.1:7001")
@click.option("--json", "as_json", is_flag=True)
def status(at: str, as_json: bool) -> None:
    """Prints one dispatcher's view of the fleet."""
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
    from ..fleet.words import status_words

    click.echo("\n".join(status_words(found)))


def read_logs(folders: tuple[str, ...], strict: bool) -> list[Any]:
    """Reads audit logs; one that cannot be read is told, and ends the process."""
    from pathlib import Path

    from ..fleet.asking import UnreadableLogError, read_log

    try:
        return [read_log(Path(folder), strict) for folder in folders]
    except (UnreadableLogError, OSError) as error:
        exit_with_error(error)


@fleet.command(help="What the audit logs of these folders hold, in one true order.")
@click.argument("folders", nargs=-1, required=True, type=click.Path())
@click.option("--submission", default="", help="only what was done with this id")
@click.option("--engine", default="", help="only what was sent to this engine, or says its name")
@click.option("--dispatcher", default="", help="only what this one did, or was told of it")
@click.option("--version", default="", help="only what was done under this version, as 0.57")
@click.option("--between", nargs=2, type=float, default=None, help="Unix ms, from and until")
@click.option("--json", "as_json", is_flag=True, help="a JSON object a line")
def audit(
    folders: tuple[str, ...],
    submission: str,
    engine: str,
    dispatcher: str,
    version: str,
    between: tuple[float, float] | None,
    as_json: bool,
) -> None:
    """Prints entries of audit logs."""
    from ..fleet.asking import Asked, chosen, merged

    since, until = between or (0.0, float("inf"))
    asked = Asked(submission, engine, dispatcher, version, since, until)
    for entry in chosen(merged(read_logs(folders, True)), asked):
        click.echo(json.dumps(entry.told()) if as_json else entry.words())


@fleet.command("check", help="What went against the versions, in words; exit code 1 where anything did.")
@click.argument("folders", nargs=-1, required=True, type=click.Path())
@click.option("--grace", default="250ms", help="after a version is told, until it must be kept")
@click.option("--json", "as_json", is_flag=True, help="a JSON object a line")
def check_logs(folders: tuple[str, ...], grace: str, as_json: bool) -> None:
    """Prints what went against the versions."""
    from ..fleet.asking import check as check_all
    from ..settings.units import milliseconds

    try:
        allowed = milliseconds(grace)
    except ValueError as error:
        exit_with_error(f"--grace: {error}")
    findings = check_all(read_logs(folders, False), allowed)
    for found in findings:
        at = str(found.entry.record.stamp) if found.entry is not None else None
        click.echo(
            json.dumps({"kind": found.kind, "says": found.words, "at": at})
            if as_json
            else f"{found.kind}: {found.words}"
        )
    if not as_json:
        click.echo(f"{len(findings)} findings in {len(folders)} logs")
    sys.exit(1 if findings else 0)


PROOFS = {
    "audit": "audited",
    "capacity": "capacity",
    "cold": "cold_ramp",
    "emulate": "emulate",
    "extproc": "asking",
    "model": "model",
    "vrrp": "takeover",
}  # names of `spurdeal lab`, and the modules of spurdeal.lab that hold their figures()


def proofs(name: str) -> Callable[..., dict[str, Any]]:
    """The function that returns the figures of a proof, imported when it is asked for."""
    module = importlib.import_module(f"spurdeal.lab.{PROOFS[name]}")
    figures: Callable[..., dict[str, Any]] = module.figures
    return figures


class CapacityOptions(NamedTuple):
    """What only `lab capacity` takes."""

    sections: tuple[str, ...]
    sizes: str | None
    page: str | None
    source: str | None


def run_capacity(options: CapacityOptions, as_json: bool, quick: bool) -> None:
    """Measures, or writes a page from what was measured."""
    from pathlib import Path

    from ..lab.capacity.measure import Refused
    from ..lab.capacity.report import UnusablePage, write_page

    if (options.page is None) != (options.source is None):
        exit_with_error("lab capacity: --page and --from go together")
    try:
        if options.page is not None and options.source is not None:
            write_page(Path(options.page), json.loads(Path(options.source).read_text()))
            return
        sizes = [int(size) for size in options.sizes.split(",")] if options.sizes else []
        found = proofs("capacity")(quick, lambda line: click.echo(line, err=True), options.sections, sizes)
    except (Refused, UnusablePage, OSError, ValueError) as error:
        exit_with_error(f"lab capacity: {error}")
    click.echo(json.dumps(found) if as_json else json.dumps(found, indent=2))


@spurdeal.command(help="A proof of the project's own, with real processes on loopback.")
@click.argument(
    "name",
    type=click.Choice([*PROOFS, "demo"]),
)
@click.option("--json", "as_json", is_flag=True, help="one JSON object as the last line")
@click.option("--quick", is_flag=True, help="a part of it, under a minute")
@click.option(
    "--seed", type=int, default=None, help="of audit's faults, cold's runs or demo's load, as a run prints it"
)
@click.option("--seconds", type=click.FloatRange(2, 120), default=None, help="how long demo's load lasts")
@click.option("--section", "sections", multiple=True, help="of capacity: only this one; may be repeated")
@click.option("--sizes", default=None, help="of one section of capacity: as 36,150,500,1000,2000")
@click.option("--page", type=click.Path(), default=None, help="of capacity: write this page's tables")
@click.option("--from", "source", type=click.Path(), default=None, help="the JSON to write the page from")
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
    """Runs a proof, or the demo."""
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
    found = proofs(name)(quick, lambda line: click.echo(line, err=True), **more)
    click.echo(json.dumps(found) if as_json else json.dumps(found, indent=2))
