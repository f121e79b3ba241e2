"""Case 2: a new configuration moves discovery to an address that counts the versions of its list from its own start; its
whole list and all its changes are ignored, so proxies go on sending to servers that drain and are gone.

    python scenario.py FOLDER SEED     TROUBLE=0 leaves the new configuration out

With CONTROL=1 the new address goes on with the version of the old one. Exits with 1 if the rule was broken, 0 if it
held, 2 if the case could not run."""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from platform_standin import Discovery, World, late_sends, report, reset, taqsit_settings

FIRST_AT_S, RELOAD_AT_S, SECOND_AT_S = 6.0, 22.0, 30.0
STEP_S = 4.5  # of a rolling deploy: one of 8 servers at a time (size: at most 0.15); 7 of 8 in all (part: at most 0.99)
CLOSES_AFTER_S = 1.5  # DAYS.md: what was there "closes the open ones after 1.5 s"


async def move_discovery(world: World, control: bool) -> None:
    """The configuration is replaced and the supervisor gets SIGHUP; the old address takes no new connection."""
    old, new = world.discovery, Discovery(world)
    new.entries, new.told = dict(old.entries), old.told
    new.version = old.version if control else 1
    await new.start()
    world.discovery = new
    world.write_configuration()
    world.record.line(f"TROUBLE new configuration: discovery moves from version {old.version} to version {new.version}")
    old.listener.close()
    world.supervisor.send_signal(signal.SIGHUP)
    await asyncio.sleep(CLOSES_AFTER_S)
    for writer in list(old.watches):
        reset(writer)


async def play(world: World, trouble: bool) -> list[str]:
    world.stand_up_proxies()
    servers, started = list(world.servers), []
    await asyncio.sleep(FIRST_AT_S)
    for server in servers[:3]:
        await world.replace(server, STEP_S, started)
    await asyncio.sleep(max(0.0, RELOAD_AT_S - world.record.now()))
    if trouble:
        await move_discovery(world, os.environ.get("CONTROL") == "1")
    await asyncio.sleep(max(0.0, SECOND_AT_S - world.record.now()))
    for server in servers[3:7]:
        await world.replace(server, STEP_S, started)
    await asyncio.sleep(8.0)
    return late_sends(world)


async def main(folder: Path, seed: int, trouble: bool) -> int:
    world = World(folder, seed, taqsit_settings())
    with tempfile.TemporaryDirectory() as temporary:
        try:
            await world.start(temporary)
            return report(world, await play(world, trouble), trouble, seed, SECOND_AT_S)
        finally:
            world.stop()


if __name__ == "__main__":
    try:
        code = asyncio.run(main(Path(sys.argv[1]), int(sys.argv[2]), os.environ.get("TROUBLE", "1") != "0"))
    except Exception as error:
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    sys.exit(code)
