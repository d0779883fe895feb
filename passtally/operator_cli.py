"""The operators' commands, as clients of the operators' API of any host.

Exit codes: 0 done, 1 refused or failed, 2 invalid usage, 3 no host reachable.
"""

import json
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import click

from passtally.intent import IntentKind

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3
CALL_TIMEOUT_SECONDS = 30
WATCH_SECONDS = 1.0
ENDED_STATES = ("done", "failed", "cancelled")
API = "/operator/v1"
CALLERS_API = "/v1"


@attrs.frozen(kw_only=True)
class Client:
    """Calls the operators' API of the first host that answers.

    Attributes:
        urls: The hosts' URLs, tried in order.
        token: The operators' token.
        as_json: Whether to print JSON.
        api: The path prefix of the calls.
    """

    urls: tuple[str, ...]
    token: str
    as_json: bool
    api: str = API

    def call(
        self, method: str, path: str, value: object = None, *, version: str = ""
    ) -> Any:
        """Make a call and return its answer; if it fails, print the error and exit."""
        for url in self.urls:
            try:
                return self._call_one(url, method, path, value, version)
            except urllib.error.HTTPError as error:
                _exit_refused(error, as_json=self.as_json)
            except (urllib.error.URLError, OSError) as error:
                click.echo(f"{url}: {error}", err=True)
        click.echo("No host is reachable.", err=True)
        sys.exit(EXIT_UNREACHABLE)

    def show(self, value: Any, write: Callable[[Any], None]) -> None:
        """Print a value as JSON, or as readable text through ``write``."""
        if self.as_json:
            click.echo(json.dumps(value, indent=1, sort_keys=True))
        else:
            write(value)

    def _call_one(
        self, url: str, method: str, path: str, value: object, version: str
    ) -> Any:
        headers = {"Authorization": f"Bearer {self.token}"}
        if version:
            headers["If-Match"] = version
        data = None if value is None else json.dumps(value).encode()
        request = urllib.request.Request(
            url.rstrip("/") + self.api + path, data=data, method=method, headers=headers
        )
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_SECONDS) as response:
            return json.loads(response.read())


def _exit_refused(error: urllib.error.HTTPError, *, as_json: bool) -> None:
    body = error.read()
    try:
        failure = json.loads(body)["error"]
    except (ValueError, KeyError):
        failure = {"code": str(error.code), "message": body.decode(errors="replace")}
    if as_json:
        click.echo(json.dumps({"error": failure}, indent=1, sort_keys=True))
    else:
        click.echo(f"{failure['code']}: {failure['message']}", err=True)
    sys.exit(EXIT_REFUSED)


def client_options(command: Callable) -> Callable:
    """Add the options that all operators' commands share."""

    @click.option(
        "--host",
        "urls",
        multiple=True,
        default=("http://127.0.0.1:8080",),
        envvar="PASSTALLY_HOSTS",
        help="A host's URL; several are tried in order. [env: PASSTALLY_HOSTS]",
    )
    @click.option(
        "--token",
        default="",
        envvar="PASSTALLY_OPERATOR_TOKEN",
        help="The operators' token. [env: PASSTALLY_OPERATOR_TOKEN]",
    )
    @click.option("--json", "as_json", is_flag=True, help="Print JSON.")
    @click.pass_context
    def run(
        context: click.Context,
        /,
        urls: tuple[str, ...],
        token: str,
        as_json: bool,
        **kwargs: Any,
    ) -> Any:
        client = Client(urls=urls, token=token, as_json=as_json)
        return context.invoke(command, client, **kwargs)

    run.__name__ = command.__name__
    run.__doc__ = command.__doc__
    params = getattr(command, "__click_params__", [])
    run.__click_params__ = [*params, *run.__click_params__]
    return run


def _object_group(name: str, kind: str) -> click.Group:
    """Return the commands for one kind of configuration object."""
    group = click.Group(name, help=f"Show and change {kind}.")

    @group.command("list")
    @client_options
    def list_objects(client: Client) -> None:
        """List all objects that are active on the host."""
        client.show(client.call("GET", f"/config/{kind}"), _write_rows)

    @group.command("show")
    @click.argument("object_id", metavar="ID")
    @client_options
    def show(client: Client, object_id: str) -> None:
        """Show one object."""
        client.show(client.call("GET", f"/config/{kind}/{object_id}"), _write_row)

    @group.command("put")
    @click.argument("object_id", metavar="ID")
    @click.argument("value")
    @click.option(
        "--version", default="", help="Replace only this version; 0 to create only."
    )
    @client_options
    def put(client: Client, object_id: str, value: str, version: str) -> None:
        """Create or replace an object from JSON, or from a file given as @FILE."""
        path = f"/config/{kind}/{object_id}"
        answer = client.call("PUT", path, _read_value(value), version=version)
        client.show(answer, lambda row: click.echo(f"accepted at {row['version']}"))

    @group.command("remove")
    @click.argument("object_id", metavar="ID")
    @client_options
    def remove(client: Client, object_id: str) -> None:
        """Remove an object."""
        answer = client.call("DELETE", f"/config/{kind}/{object_id}")
        client.show(answer, lambda row: click.echo("removed"))

    return group


def _read_value(text: str) -> Any:
    try:
        if text.startswith("@"):
            with open(text[1:]) as file:
                return json.load(file)
        return json.loads(text)
    except (OSError, ValueError) as error:
        raise click.BadParameter(str(error), param_hint="VALUE") from error


@click.group()
def intent() -> None:
    """Declare changes, review their plans, confirm or cancel them."""


@intent.command()
@click.argument("kind", type=click.Choice([kind.value for kind in IntentKind]))
@click.argument("params", nargs=-1, metavar="[NAME=VALUE]...")
@client_options
def declare(client: Client, kind: str, params: Sequence[str]) -> None:
    """Make a plan; it is executed only once it is confirmed.

    \b
    put-service     value=JSON
    remove-service  service=ID
    place-service   service=ID failure_domains=A,B
    move-workspace  workspace=ID service=ID to=FAILURE-DOMAIN
    drain, restore  endpoints=ID,ID
    load            endpoints=ID,ID version=VERSION
    set-role        endpoint=ID role=ROLE
    """
    pairs = [param.partition("=") for param in params]
    if not all(separator for _, separator, _ in pairs):
        raise click.BadParameter("must be NAME=VALUE", param_hint="PARAMS")
    body = {"kind": kind, "params": {name: value for name, _, value in pairs}}
    client.show(client.call("POST", "/intents", body), _write_intent)


@intent.command()
@click.argument("intent_id", metavar="ID")
@client_options
def plan(client: Client, intent_id: str) -> None:
    """Show an intent's plan."""
    client.show(client.call("GET", f"/intents/{intent_id}"), _write_intent)


@intent.command()
@click.argument("intent_id", metavar="ID")
@client_options
def confirm(client: Client, intent_id: str) -> None:
    """Confirm an intent, so that its plan is executed. Repeating this is safe."""
    client.show(client.call("POST", f"/intents/{intent_id}/confirm"), _write_intent)


@intent.command()
@click.argument("intent_id", metavar="ID")
@client_options
def cancel(client: Client, intent_id: str) -> None:
    """Stop an intent before its next step."""
    client.show(client.call("POST", f"/intents/{intent_id}/cancel"), _write_intent)


@intent.command("list")
@client_options
def list_intents(client: Client) -> None:
    """List all intents."""

    def write(rows: list) -> None:
        for row in rows:
            click.echo(f"{row['id']:36} {row['state']:10} {row['reason']}")

    client.show(client.call("GET", "/intents"), write)


@intent.command()
@click.argument("intent_id", metavar="ID")
@click.option("--watch", is_flag=True, help="Poll until it has ended.")
@client_options
def show(client: Client, intent_id: str, watch: bool) -> None:
    """Show an intent's current state; exit 1 if it failed."""
    shown = None
    while True:
        row = client.call("GET", f"/intents/{intent_id}")
        if row != shown:
            client.show(row, _write_intent)
            shown = row
        if not watch or row["state"] in ENDED_STATES:
            sys.exit(EXIT_REFUSED if row["state"] == "failed" else 0)
        time.sleep(WATCH_SECONDS)


@click.group()
def generation() -> None:
    """Collect the answers of jobs, using a workspace's token."""


@generation.command()
@click.argument("generation_id", metavar="ID")
@click.option("--watch", is_flag=True, help="Poll until it has ended.")
@client_options
def collect(client: Client, generation_id: str, watch: bool) -> None:
    """Print a job's answer, or its state while it is running."""
    callers = attrs.evolve(client, api=CALLERS_API)
    while True:
        row = callers.call("GET", f"/generations/{generation_id}")
        is_running = row.get("status") == "running"
        if not (watch and is_running):
            callers.show(row, _write_answer)
            return
        time.sleep(WATCH_SECONDS)


@click.group()
def quarantine() -> None:
    """Manage requests that are refused because they crashed endpoints."""


@quarantine.command("list")
@client_options
def list_quarantined(client: Client) -> None:
    """List each quarantined request with the endpoints that it crashed."""
    client.show(client.call("GET", "/quarantine"), _write_quarantined)


@quarantine.command()
@click.argument("request_id", metavar="ID")
@client_options
def lift(client: Client, request_id: str) -> None:
    """Lift the quarantine of a request on all hosts."""
    done = client.call("DELETE", f"/quarantine/{request_id}")
    client.show(done, lambda row: click.echo(f"{request_id}: lifted"))


@click.command()
@client_options
def status(client: Client) -> None:
    """Show the active configuration versions and the unreachable hosts."""
    client.show(client.call("GET", "/status"), _write_status)


def _write_quarantined(rows: list[dict]) -> None:
    for row in rows:
        click.echo(f"{row['id']}: crashed {', '.join(row['ended'])}")


def _write_rows(rows: dict[str, dict]) -> None:
    for object_id in sorted(rows):
        _write_row(rows[object_id])


def _write_row(row: dict) -> None:
    fields = " ".join(f"{name}={value}" for name, value in row.items() if name != "id")
    click.echo(f"{row['id']}: {fields}")


def _write_intent(row: dict) -> None:
    reason = f" ({row['reason']})" if row["reason"] else ""
    click.echo(f"{row['id']}: {row['state']}{reason}")
    for number, step in enumerate(row["plan"]["steps"], start=1):
        target = step["endpoint"] or step["key"]
        click.echo(
            f"  {number}. [{step['state']:7}] {step['kind']} {target}: {step['why']}"
            f" (about {step['seconds']:.0f} s, {step['streams']} streams)"
        )
    before, after = row["plan"]["capacity_before"], row["plan"]["capacity_after"]
    for service in sorted(before.keys() | after.keys()):
        click.echo(
            f"  capacity of {service}: {before.get(service, 0)} requests"
            f" before, {after.get(service, 0)} after"
        )


def _write_answer(row: dict) -> None:
    if row.get("status") == "running":
        click.echo(f"{row['id']}: running")
        return
    choice = row["choices"][0]
    click.echo(choice["message"]["content"] if "message" in choice else choice["text"])


def _write_status(row: dict) -> None:
    reachability = "reachable" if row["platform_reachable"] else "not reachable"
    click.echo(
        f"{row['id']} in {row['failure_domain']}: config {row['config_version']},"
        f" {row['open_requests']} open, platform {reachability}"
    )
    for peer in row["peers"]:
        state = "alive" if peer["alive"] else "UNREACHABLE"
        state = "leaving" if peer["alive"] and peer["leaving"] else state
        click.echo(f"  {peer['id']}: config {peer['config_version']}, {state}")
    for endpoint in row["endpoints"]:
        click.echo(
            f"  {endpoint['id']}: {endpoint['state']},"
            f" {endpoint['own_streams']} streams from this host"
        )


def add_commands(main: click.Group) -> None:
    """Add the operators' commands to the command line."""
    for name, kind in (
        ("service", "services"),
        ("endpoint", "endpoints"),
        ("workspace", "workspaces"),
    ):
        main.add_command(_object_group(name, kind))
    main.add_command(intent)
    main.add_command(generation)
    main.add_command(quarantine)
    main.add_command(status)
