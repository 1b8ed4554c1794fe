"""Pytest plugin that applies gevent's patches before the patched modules are used."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()
