"""Adapter for the users' platform: translates its names and formats to the package's types and back.

This package only translates; all decisions are made elsewhere. It lies inside ``wagtailtrestle``
because a top-level package of this name would shadow the standard library's ``platform``.
"""
