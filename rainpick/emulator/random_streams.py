"""Seeded random numbers, in a stream for each part of a run.

A change in one part leaves the draws of the others alone. Runs of an experiment that have the seed in common
have arrivals and work in common, too: their differences are paired (common random numbers).
"""

from __future__ import annotations

from zlib import crc32

import numpy

BLOCK_SIZE = 1024  # draws made at once: a call of numpy for each costs ten times as much


class RandomStream:
    """One stream of draws. The same seed and name give the same stream on every machine (PCG64)."""

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
        """Draw from the exponential distribution of a mean."""
        if not self.exponentials:
            self.exponentials = self.generator.standard_exponential(BLOCK_SIZE).tolist()
        return mean * self.exponentials.pop()
