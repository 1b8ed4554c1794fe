"""Documents that are agreed through the key-value service and spread by peers."""

from __future__ import annotations

from .documents import AgreedDocuments, Document

__all__ = ["AgreedDocuments", "Document"]
