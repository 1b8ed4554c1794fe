"""Documents agreed through the key-value service and replicated between peers."""

from __future__ import annotations

from .documents import AgreedDocuments, Document

__all__ = ["AgreedDocuments", "Document"]
