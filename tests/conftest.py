"""Fixtures for tests that run real processes."""

import itertools

import pytest

from tests.support.deployment import Deployment

_subnets = itertools.count(60)


@pytest.fixture
def deployment(tmp_path):
    """A deployment of processes that ends with the test."""
    made = Deployment(tmp_path, next(_subnets))
    yield made
    made.stop()
