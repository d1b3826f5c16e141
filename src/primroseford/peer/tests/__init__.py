"""Tests of the peer network."""
