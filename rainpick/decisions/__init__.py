"""The decisions of a director, one concern per module; ``rainpick.decisions.director`` combines them."""
