"""Decisions of a director, one job a module; ``rainpick.decisions.director`` wires them."""
