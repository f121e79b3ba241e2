"""The settings of the play's deployment, as a supervisor's configuration has them."""

from __future__ import annotations

from driftshed.node.config import SupervisorOptions, parse

SECOND_US = 1_000_000


def fleet_settings(number: int, supervisors: int, proxies: int) -> dict:
    """The settings of one supervisor: two zones, two kinds of servers, two operations."""
    operations = [
        {"name": "lookup", "sloUs": 600_000, "deadlineUs": 2 * SECOND_US, "worth": 1.0, "effect": "retryable"},
        {"name": "payment", "sloUs": 300_000, "deadlineUs": 750_000, "worth": 5.0, "effect": "dedup"},
    ]
    for operation in operations:
        operation |= {"dedupScope": "all", "lateWorth": 0.2, "windowUs": operation["deadlineUs"]}
    return {
        "az": number % 2,
        "me": number,
        "balancers": supervisors,
        "family": "control",
        "zones": ["east", "west"],
        "hostTypes": ["new", "old"],
        "registryMode": "pushed",
        "weightSource": "rough",
        "quantumUs": 2000,
        "lanes": operations,
        "report": {"fields": ["busy_reqs"], "how": "inline"},
        "domain": {
            "admit": "share",
            "bootstrap": 5,
            "classWrites": [False, True],
            "cycleUs": 500_000,
            "defaultRetry": 1,
            "emptyForUs": 4_700_000,
            "hearsPerS": 60.0,
            "linesPerS": 1300.0,
            "messagesOverUs": 10 * SECOND_US,
            "minConnCap": 157.0,
            "perMessage": 3.0,
            "perTry": 1.0,
            "pick": "two",
            "proxies": proxies,
            "pushesAllowed": 30,
            "queueCap": 1950.0,
            "slices": 0,
            "staysLocal": [False, False],
            "transitUs": 306_000,
            "worstTransitUs": 765_000,
        },
        "invariants": {
            "askWithinUs": 10 * SECOND_US,
            "coldFrom": 0.15,
            "drainGraceUs": 3 * SECOND_US,
            "fallUs": 2 * SECOND_US,
            "fullMayHaveRun": True,
            "tipMultiple": 4.0,
            "warmWithinUs": 16 * SECOND_US,
        },
        "limits": {"dialTimeoutUs": 250_000, "idleCloseUs": 15 * SECOND_US, "maxStreams": 32, "mayProbe": False},
    }


def fleet_configuration(number: int, supervisors: int, proxies: int, listen: str, discovery: str, relay: str) -> dict:
    """The configuration file of one supervisor, with addresses as "host:port" texts."""
    return {
        "name": f"n{number}",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{number + 1:x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "distributor": {"address": relay},
        "settings": fleet_settings(number, supervisors, proxies),
    }


def fleet_options(supervisors: int, proxies: int) -> SupervisorOptions:
    """The parsed configuration of a supervisor without addresses in use."""
    return parse(fleet_configuration(0, supervisors, proxies, "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"), {})
