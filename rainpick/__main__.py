"""Entry point of ``python -m rainpick``."""

from rainpick.cli import main

main()
