"""What users have stored stays readable, whatever is renamed in the code."""
