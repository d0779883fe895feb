"""Builds and checks the one-file binary."""
