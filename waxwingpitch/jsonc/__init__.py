"""Reading of JSON with comments into validated data classes, and writing of it."""

from __future__ import annotations

from .reader import decode, find_line, read_file
from .writer import Comment, render

__all__ = ["Comment", "decode", "find_line", "read_file", "render"]
