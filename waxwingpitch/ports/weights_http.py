"""HTTP implementation of the weight store's interface."""

from __future__ import annotations

from urllib.parse import quote

from ..errors import StoreUnavailableError
from .common import WeightStore
from .http import ConnectionLostError, HttpClient, NotSentError, ResponseTimeoutError

LOAD_TIMEOUT_S = 3600.0


class HttpWeightStore(WeightStore):
    """Weight store over HTTP.

    Parameters
    ----------
    base_url
        Base URL of the store.
    """

    def __init__(self, base_url: str):
        self._client = HttpClient(base_url)

    def load(self, model: str, version: str) -> None:
        path = f"/v1/weights/{quote(model, safe='')}/{quote(version, safe='')}"
        try:
            resp = self._client.send("GET", path, timeout_s=LOAD_TIMEOUT_S)
        except (NotSentError, ResponseTimeoutError, ConnectionLostError) as exc:
            raise StoreUnavailableError(str(exc)) from exc
        if resp.status != 200:
            raise StoreUnavailableError(f"GET {path}: status {resp.status}")
