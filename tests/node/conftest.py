"""Fixtures: stubs of the platform, and a live director as a process."""

import pytest

from tests.node.director_under_test import DirectorUnderTest
from tests.node.platform_stubs import StubDiscovery, entry
from tests.node.stub_relay import StubRelay


@pytest.fixture
def relay():
    stub = StubRelay()
    yield stub
    stub.close()


@pytest.fixture
def discovery():
    stub = StubDiscovery(entry(1), entry(2))
    yield stub
    stub.close()


@pytest.fixture
def director(tmp_path):
    process = DirectorUnderTest(tmp_path)
    yield process
    process.stop()
