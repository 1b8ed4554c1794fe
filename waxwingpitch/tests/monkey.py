"""Plugin that applies gevent's patches before other modules use what they replace."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()
