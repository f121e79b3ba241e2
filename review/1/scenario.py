"""Case 1: the relay cannot be reached for 6 s; proxies that join again before its first sign of life are never bound
again, so what drains later stays in their tables.

    python scenario.py FOLDER SEED     TROUBLE=0 leaves the disruption out

Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from platform_standin import World, late_sends, report, taqsit_settings

OUTAGE_AT_S, OUTAGE_S = 10.0, 6.0  # FLEET.md, split+mass: "for 6 s a zone is partitioned"
NOTICE_S, REDIAL_S = (0.31, 1.9), (0.33, 2.4)  # notice_ms and redial_s of the site file
# One at a time 7 of 8 servers (part: at most 0.99) in 31.5 s (len_s: 21 to 39).
DEPLOY_AT_S, STEP_S, STEPS = 28.0, 4.5, 7


async def lose_relay(world: World) -> None:
    """The relay is cut off from all for OUTAGE_S: proxies notice, keep their tables and dial again until it answers."""
    world.relay.go_away()
    for proxy in world.proxies:
        world.task(dial_again(world, proxy))
    await asyncio.sleep(OUTAGE_S)
    await world.relay.come_back()


async def dial_again(world: World, proxy) -> None:
    proxy.lose_stream()
    await asyncio.sleep(world.random.uniform(*NOTICE_S))
    while True:
        await asyncio.sleep(world.random.uniform(*REDIAL_S))
        if not world.relay.cut:
            proxy.join()
            return


async def play(world: World, trouble: bool) -> list[str]:
    world.stand_up_proxies()
    await asyncio.sleep(OUTAGE_AT_S)
    if trouble:
        await lose_relay(world)
    await asyncio.sleep(max(0.0, DEPLOY_AT_S - world.record.now()))
    started = []
    for server in list(world.servers[:STEPS]):
        await world.replace(server, STEP_S, started)
    await asyncio.sleep(8.0)
    return late_sends(world)


async def main(folder: Path, seed: int, trouble: bool) -> int:
    world = World(folder, seed, taqsit_settings())
    with tempfile.TemporaryDirectory() as temporary:
        try:
            await world.start(temporary)
            return report(world, await play(world, trouble), trouble, seed, DEPLOY_AT_S)
        finally:
            world.stop()


if __name__ == "__main__":
    try:
        code = asyncio.run(main(Path(sys.argv[1]), int(sys.argv[2]), os.environ.get("TROUBLE", "1") != "0"))
    except Exception as error:
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    sys.exit(code)
