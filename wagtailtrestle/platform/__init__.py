"""The users' platform: its names and shapes, translated into the product's types and back.

Nothing is decided here. The folder lies inside the package, since a top-level folder of this
name would hide the standard library's module ``platform``.
"""
