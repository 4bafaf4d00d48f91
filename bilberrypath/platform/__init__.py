"""The adapter to the users' platform: its wire formats, and nothing else.

Whatever the platform says is decoded here, once, into types of the product.
"""
