"""What the decoders of the adapter raise for bytes that they cannot read."""

from __future__ import annotations

import msgspec

#: Deep nesting ends in the recursion limit, and bytes that are no text in a Unicode error; neither
#: may end a feed or a connection.
UNREADABLE_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeError)
