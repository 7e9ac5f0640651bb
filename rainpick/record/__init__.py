"""Days as directors lived them: recorded step by step, and played again."""
