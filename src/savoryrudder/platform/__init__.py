"""Translate between the users' platform and the product.

Nothing outside this package knows the names that the platform uses.
"""

from __future__ import annotations
