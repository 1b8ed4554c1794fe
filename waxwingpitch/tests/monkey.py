"""Plugin that makes the standard library cooperative before anything uses it."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()
