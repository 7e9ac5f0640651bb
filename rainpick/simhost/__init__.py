"""The adapter for the operators' bench: directors hosted behind the simulator's binary protocol.

``framing`` reads batches and writes replies, ``events`` and ``commands`` decode and encode the records in
them, and ``host`` runs one director for each simulated instance.
"""
