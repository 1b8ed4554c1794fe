"""Assembly of one answer from pieces that may be late, duplicated or reordered."""

from __future__ import annotations

from ..ports import Piece

MAX_BUFFERED_PIECES = 1024


class AnswerAssembly:
    """Collects the tokens of one answer in order, each once.

    Pieces of another request or of an earlier attempt are dropped. A piece that
    arrives out of order is buffered.

    Parameters
    ----------
    request
        Id of the request.

    Attributes
    ----------
    target
        Id of the target of the current attempt.

    Examples
    --------
    >>> assembly = AnswerAssembly("r")
    >>> assembly.start_attempt()
    1
    >>> assembly.accept(Piece("r", 1, 1, ("b",), "stop"))
    ()
    >>> assembly.accept(Piece("r", 1, 0, ("a",)))
    ('a', 'b')
    >>> assembly.finish
    'stop'
    """

    def __init__(self, request: str):
        self.request = request
        self.attempt = 0
        self.target = ""
        self.tokens: list[str] = []
        self.finish = ""
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self._buffered: dict[int, Piece] = {}
        self._final_piece: Piece | None = None

    @property
    def next_offset(self) -> int:
        """Index of the first missing token."""
        return len(self.tokens)

    def start_attempt(self, target: str = "") -> int:
        """Abandon the current attempt and return the number of the next one."""
        self.attempt += 1
        self.target = target
        self._buffered.clear()
        self._final_piece = None
        return self.attempt

    def accept(self, piece: Piece) -> tuple[str, ...]:
        """Add a piece and return the tokens that follow in order because of it."""
        if self.finish or not self._is_current(piece):
            return ()
        if (
            piece.offset == len(self.tokens)
            and not self._buffered
            and self._final_piece is None
        ):
            return self._append(piece)
        if len(self._buffered) < MAX_BUFFERED_PIECES:
            self._buffered[piece.offset] = piece
        if piece.finish:
            self._final_piece = piece
        start = self.next_offset
        self._append_buffered()
        self._update_finish()
        return tuple(self.tokens[start:])

    def _append(self, piece: Piece) -> tuple[str, ...]:
        """Append a piece that arrived in order, which is the common case."""
        self.tokens.extend(piece.tokens)
        if piece.finish:
            self._final_piece = piece
            self._update_finish()
        return piece.tokens

    def _is_current(self, piece: Piece) -> bool:
        return piece.request == self.request and piece.attempt == self.attempt

    def _append_buffered(self) -> None:
        for offset in sorted(self._buffered):
            piece = self._buffered[offset]
            if offset > self.next_offset:
                return
            self.tokens.extend(piece.tokens[self.next_offset - offset :])
            del self._buffered[offset]

    def _update_finish(self) -> None:
        end = self._final_piece
        if end is None or self.next_offset < end.offset + len(end.tokens):
            return
        self.finish = end.finish
        self.prompt_tokens = end.prompt_tokens
        self.cached_tokens = end.cached_tokens
