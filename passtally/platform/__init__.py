"""The adapter to the users' platform: it translates and decides nothing.

Every name of the platform's wire stands in this package. It is decoded once into
the product's types; retries, routing, limits, silence and drains are the product's.
"""
