"""TCP proxy that stands for the network link between two failure domains.

While stopped by SIGSTOP, it forwards nothing but connections stay open, as in a
network partition. SIGCONT ends the partition.
"""

import asyncio

import click

CHUNK_BYTES = 1 << 16


async def _forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while chunk := await reader.read(CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


async def _serve(port: int, target: int) -> None:
    async def forward_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", target
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            _forward(reader, target_writer), _forward(target_reader, writer)
        )

    server = await asyncio.start_server(forward_connection, "127.0.0.1", port)
    await server.serve_forever()


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--target", type=int, required=True)
def main(port: int, target: int) -> None:
    """Forward connections from a port to a target port on this machine."""
    asyncio.run(_serve(port, target))


if __name__ == "__main__":
    main()
