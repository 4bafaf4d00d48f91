"""The adapter to the users' platform: its wire formats, and nothing else.

All data from the platform is decoded here, once, into types of the other packages.
"""
