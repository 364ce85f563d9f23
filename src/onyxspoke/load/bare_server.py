"""The yardstick of the benchmark: a bare ``twisted.web`` server that answers at once."""

from __future__ import annotations

import sys
from typing import Any

from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

ANSWER = b'{"outcome":"completed","code":100,"code_name":"OK"}'


class BareResource(Resource):
    """Answers every request with the same small body."""

    isLeaf = True

    def render(self, request: Request) -> bytes:
        """Read the body and answer; called by Twisted."""
        assert request.content is not None
        request.content.read()
        request.setHeader(b"content-type", b"application/json")
        return ANSWER


class QuietSite(Site):
    """A site that writes no access log, as the entry's writes none."""

    def log(self, request: object) -> None:
        """Log nothing."""


def main() -> None:
    """Serve on the address and port given as arguments."""
    host, port = sys.argv[1], int(sys.argv[2])
    site: Any = QuietSite(BareResource())
    reactor.listenTCP(port, site, backlog=512, interface=host)
    reactor.run()


if __name__ == "__main__":
    main()
