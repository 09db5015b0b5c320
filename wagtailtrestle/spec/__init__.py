"""Formal specifications of the core protocols, and the bounded model checker that verifies them."""
