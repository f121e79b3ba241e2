"""Several supervisors over one store, in virtual time: members, leases, records, and drawn histories of faults."""

from random import Random

import pytest

from driftshed.roster.announce import Standing
from tests.fleets import TIMEOUT, Fleet, check

TOPICS = ("policy", "zone.east")


def trouble(fleet: Fleet, chance: Random) -> None:
    """One fault, or something that is asked for."""
    names = fleet.names
    name, luck = chance.choice(names), chance.random()
    if luck < 0.35:
        topic = chance.choice(TOPICS)
        if fleet.agents[name].chair.standing is not Standing.FENCED and not fleet.seats[name].ended:
            quorum = chance.choice([len(names), len(names) // 2 + 1])
            binds = chance.choice([None, 2.0])
            fleet.propose(name, topic, chance.random(), quorum, chance.choice([0.5, 3.0]), binds_for=binds)
    elif luck < 0.42:
        fleet.pause(name, TIMEOUT * chance.choice([0.3, 0.9, 1.1, 2.5]))
    elif luck < 0.52:
        fleet.cut(name, TIMEOUT * chance.choice([0.3, 0.9, 1.5, 3]), *chance.choice([(1, 1), (1, 0), (0, 1)]))
    elif luck < 0.64:
        fleet.lose_answers(name)
    elif luck < 0.7:
        fleet.kill(name)
        fleet.network.loop_seat.after(chance.choice([0.1, 1.0, 4.0]), lambda: fleet.start(name))
    elif luck < 0.74:
        fleet.start(name)  # a second process under one name
    elif luck < 0.78 and not fleet.store_seat.ended:
        fleet.store_down(chance.choice([0.2, 1.0, 3.0]))
    elif luck < 0.82:
        fleet.store_still(chance.choice([0.3, TIMEOUT, 2 * TIMEOUT]))
    elif luck < 0.9:
        fleet.words[name, chance.choice(TOPICS)] = chance.choice([(True, ""), (False, "no"), None])
    else:
        for topic in TOPICS:
            stands = fleet.agents[name].agreed(topic)
            if stands is not None:
                fleet.agents[name].end(topic, stands.epoch, "enough")


def history(seed: int, steps: int = 14, agents: int = 3, **given) -> Fleet:
    """A drawn history: faults one after the other and over each other, then quiet in which all must end."""
    chance = Random(f"history {seed}")
    fleet = Fleet("abcdefghi"[:agents], seed, **given)
    fleet.run(chance.choice([0.0, 0.05, 1.0]))
    for _ in range(steps):
        trouble(fleet, chance)
        fleet.run(chance.choice([0.003, 0.01, 0.05, 0.3, 1.5]))
    fleet.words.clear()
    fleet.run(6)
    for name in fleet.names:
        if not any(agent.name == name and agent.chair.standing is not Standing.FENCED and not agent.seat.ended
                   for agent in fleet.all):  # fmt: skip
            fleet.start(name)
    fleet.run(25)
    return fleet


def all_ended(fleet: Fleet) -> None:
    """After the faults everybody is up again, and nothing is left waiting."""
    up = [agent.name for agent in fleet.all if agent.holds() and not agent.seat.ended]
    assert sorted(up) == sorted(fleet.names), {n: a.view() for n, a in fleet.agents.items()}
    for topic in TOPICS:
        record = fleet.stored(topic)
        assert record is None or record.state != "open", record
    stuck = [(topic, p.state) for topic, p in fleet.proposals if p.state in ("waiting", "open")]
    kept = [p for agent in fleet.all if agent.holds() for topic in agent.topics.values() for p in topic.proposals]
    assert not kept, stuck


@pytest.mark.parametrize("seed", range(60))
def test_drawn_histories_keep_what_was_agreed_and_end_all_that_was_begun(seed):
    fleet = history(seed)
    check(fleet)
    all_ended(fleet)
