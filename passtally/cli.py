"""The command line: the daemon, and the operators' commands."""

import sys
from typing import Any

import attrs
import click

from passtally import __version__
from passtally.operator_cli import EXIT_REFUSED, add_commands
from passtally.reference import PAGES
from passtally.settings import (
    Settings,
    SettingsError,
    check_settings,
    flag_of,
    variable_of,
)
from passtally.standard_streams import open_standard_streams
from passtally.stop_signals import StopSignals
from passtally.trace import trace

EXIT_USAGE = 2


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Serve long generations on engines that may die in the middle of an answer."""


add_commands(main)


def _settings_options(command: Any) -> Any:
    for field in reversed(attrs.fields(Settings)):
        command = click.option(
            flag_of(field.name),
            field.name,
            envvar=variable_of(field.name),
            metavar="TEXT",
            help=_help_of(field),
        )(command)
    return command


def _help_of(field: attrs.Attribute) -> str:
    default = field.metadata["default"]
    shown = "required" if default is None else f"default: {default or 'empty'}"
    return f"{field.metadata['help']} [{shown}; env: {variable_of(field.name)}]"


@main.command()
@_settings_options
def serve(**texts_by_name: str | None) -> None:
    """Run the daemon of one entry host."""
    open_standard_streams()
    try:
        settings = check_settings(texts_by_name)
    except SettingsError as error:
        click.echo(f"passtally serve: {error}", err=True)
        sys.exit(EXIT_USAGE)
    signals = StopSignals()
    signals.catch()
    # Imported here so that the operators' commands start without the daemon's modules.
    from passtally.daemon import run_daemon

    run_daemon(settings, signals)


@main.command("trace")
@click.argument("request_id", metavar="REQUEST_ID")
@click.option(
    "--log",
    "log",
    type=click.File(),
    default="-",
    help="The log of a host, or - for standard input.",
)
def trace_command(request_id: str, log: Any) -> None:
    """Print the log lines of a request, in order; exit 1 if there are none."""
    found = False
    for line in trace(log, request_id):
        found = True
        click.echo(line)
    if not found:
        click.echo(f"{request_id} is not in this log.", err=True)
        sys.exit(EXIT_REFUSED)


@main.command()
@click.argument("page", type=click.Choice(sorted(PAGES)))
def reference(page: str) -> None:
    """Print a page of docs/ that is generated from the code."""
    click.echo(PAGES[page](), nl=False)
