"""Decisions of a director, one job a module; ``rainpick.balance`` wires them."""
