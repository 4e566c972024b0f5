"""`spurdeal lab demo`: runs the demo and prints a table or one JSON object."""

from __future__ import annotations

import json
import random

import click

from ..lab.demo import DemoError, DemoInterruptedError, run_demo
from ..lab.demo_cluster import DispatcherError
from ..lab.demo_report import render, summarise

MAX_SEED = 2**32 - 1
EXIT_FAILED, EXIT_INTERRUPTED = 1, 130


def demo(as_json: bool, seconds: float, seed: int | None) -> int:
    """Run the demo and return the exit code; without a seed a random one is used and printed."""
    run_seed = random.SystemRandom().randint(0, MAX_SEED) if seed is None else seed
    try:
        run = run_demo(seconds, run_seed, lambda text: click.echo(text, err=True))
    except DemoInterruptedError:
        click.echo("spurdeal: the demo was interrupted", err=True)
        return EXIT_INTERRUPTED
    except (DemoError, DispatcherError, OSError) as error:
        click.echo(f"spurdeal: the demo could not run: {error}", err=True)
        return EXIT_FAILED
    summary = summarise(run)
    click.echo(json.dumps(summary.as_json()) if as_json else render(summary))
    return 0
