"""A link between failure domains: passes bytes on until it is stopped.

Stopped by SIGSTOP it swallows what is sent, as a cut network does; SIGCONT heals it.
"""

import asyncio

import click

CHUNK_BYTES = 1 << 16


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while chunk := await reader.read(CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


async def _serve(port: int, target: int) -> None:
    async def pass_on(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(_pump(reader, far_writer), _pump(far_reader, writer))

    server = await asyncio.start_server(pass_on, "127.0.0.1", port)
    await server.serve_forever()


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--target", type=int, required=True)
def main(port: int, target: int) -> None:
    """Run the link."""
    asyncio.run(_serve(port, target))


if __name__ == "__main__":
    main()
