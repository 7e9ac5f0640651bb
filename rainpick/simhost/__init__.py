"""Adapter for the operators' simulator: runs directors behind the simulator's binary protocol.

``framing`` reads batches and encodes replies, ``events`` decodes the records of a batch, ``commands`` encodes
the records of a reply, and ``host`` runs one director for each simulated instance.
"""
