"""The live director."""
