"""Output of tables and coloured text on the terminal."""

from __future__ import annotations

from rich.console import Console, RenderableType

console = Console(highlight=False)


def print_rich(content: RenderableType, *, soft_wrap: bool = False, markup: bool = True) -> None:
    """Print text or a table. ``soft_wrap``: do not wrap long lines; ``markup``: ``[red]`` is a colour."""
    console.print(content, soft_wrap=soft_wrap, markup=markup)
