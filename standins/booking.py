"""Stand-in for a plain HTTP service that books slots and counts runs per slot."""

import asyncio
import os
import signal
from collections import Counter

import click
import msgspec
from aiohttp import web

from passtally.unframed_response import UnframedResponse
from standins.serving import run_app


class Control(msgspec.Struct, kw_only=True):
    """Faults to inject, set by ``PUT /control``.

    Attributes:
        delay: Delay of each response, in seconds.
        lose_answers: Number of next bookings that are made but get no response.
        die_after: Number of further bookings after which this process is killed.
        unframed: Whether responses have neither a Content-Length nor chunks.
    """

    delay: float = 0.0
    lose_answers: int = 0
    die_after: int | None = None
    unframed: bool = False


class BookingStandin:
    """Booking service: run counts per slot and the HTTP handlers."""

    def __init__(self) -> None:
        self.control = Control()
        self.runs_by_slot: Counter[str] = Counter()

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/control", self.read_control)
        app.router.add_put("/control", self.write_control)
        app.router.add_get("/redirect/{slot}", self.redirect)
        app.router.add_route("*", "/slots/{slot}", self.book)
        return app

    async def book(self, request: web.Request) -> web.StreamResponse:
        """Book a slot and return its run count, subject to the injected faults."""
        slot = request.match_info["slot"]
        self.runs_by_slot[slot] += 1
        await asyncio.sleep(self.control.delay)
        if self.control.die_after is not None:
            self.control.die_after -= 1
            if self.control.die_after <= 0:
                os.kill(os.getpid(), signal.SIGKILL)
        if self.control.lose_answers > 0:
            self.control.lose_answers -= 1
            request.transport.abort()
        body = {"slot": slot, "runs": self.runs_by_slot[slot]}
        if not self.control.unframed:
            return web.json_response(body)
        response = UnframedResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        await response.write(msgspec.json.encode(body))
        return response

    async def redirect(self, request: web.Request) -> web.Response:
        """Redirect to the slot's path; the proxy must not follow the redirect."""
        raise web.HTTPTemporaryRedirect(f"/slots/{request.match_info['slot']}")

    async def read_control(self, request: web.Request) -> web.Response:
        """Return the number of runs of each slot."""
        return web.json_response(dict(self.runs_by_slot))

    async def write_control(self, request: web.Request) -> web.Response:
        """Replace the faults to inject."""
        self.control = msgspec.json.decode(await request.read(), type=Control)
        return web.json_response({})


@click.command()
@click.option("--port", type=int, required=True)
def main(port: int) -> None:
    """Run the booking service on a port."""
    run_app(BookingStandin().build_app, port)


if __name__ == "__main__":
    main()
