"""Tests of the live director."""
