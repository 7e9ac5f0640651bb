"""Stand-ins of the platform for a test."""

import pytest

from tests.node.platform import Discovery, Relay, entry


@pytest.fixture
def relay():
    made = Relay()
    yield made
    made.close()


@pytest.fixture
def discovery():
    made = Discovery(entry(1), entry(2))
    yield made
    made.close()
