"""Proofs with real processes, and what they need."""
