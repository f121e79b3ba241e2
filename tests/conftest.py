"""Hooks and fixtures for all tests: the list of known red tests, and platforms for the supervisor under test."""

import pytest

from tests.known_red import *  # noqa: F403  hooks for KNOWN-RED.txt
from tests.platforms import Platform


@pytest.fixture
def platform():
    """A platform with the supervisor under test, on one event loop."""
    made = Platform()
    yield made
    made.close()


@pytest.fixture
def other():
    """A platform without a supervisor."""
    made = Platform(serve=False)
    yield made
    made.close()
