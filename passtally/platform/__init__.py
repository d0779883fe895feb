"""The adapter to the outside platform: it translates and makes no decisions.

All names of the platform's wire are in this package, which decodes each message once
into the product's types. Retries, routing, limits, silence and drains are handled
by the product.
"""
