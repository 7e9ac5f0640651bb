"""Seeded random numbers, with an independent stream for each part of a run.

A change in one part does not change the random numbers of the other parts. So runs with the same seed have
the same arrivals and work, and their results can be compared in pairs (common random numbers).
"""

from __future__ import annotations

from zlib import crc32

import numpy

BLOCK_SIZE = 1024  # numbers generated at once; one call of numpy for each number costs ten times as much


class RandomStream:
    """A stream of random numbers. The same seed and name give the same stream on every machine (PCG64)."""

    def __init__(self, seed: int, name: str):
        self.generator = numpy.random.Generator(numpy.random.PCG64([seed, crc32(name.encode())]))
        self.uniforms: list[float] = []
        self.exponentials: list[float] = []

    def uniform(self) -> float:
        """Draw from the uniform distribution over [0, 1)."""
        if not self.uniforms:
            self.uniforms = self.generator.random(BLOCK_SIZE).tolist()
        return self.uniforms.pop()

    def exponential(self, mean: float) -> float:
        """Draw from the exponential distribution with this mean."""
        if not self.exponentials:
            self.exponentials = self.generator.standard_exponential(BLOCK_SIZE).tolist()
        return mean * self.exponentials.pop()
