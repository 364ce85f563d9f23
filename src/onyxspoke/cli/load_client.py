"""Helper of the benchmarks: measures one HTTP server and prints a JSON report."""

from __future__ import annotations

import sys

import msgspec
from twisted.internet import reactor

from onyxspoke.cli.common import make_parser
from onyxspoke.core.codes import ExitCode
from onyxspoke.load.load_client import LoadClient, LoadClientReport

WARM_UP_SECONDS = 1.0


def main() -> None:
    """Run the program."""
    parser = make_parser("onyxspoke.cli.load_client", "Measure an HTTP server.")
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--path", default="/v1/requests")
    parser.add_argument("--body", required=True)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rate", type=float, help="open loop at this rate (default: closed loop)")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    body = arguments.body.encode()
    head = (
        f"POST {arguments.path} HTTP/1.1\r\nHost: {arguments.host}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    client = LoadClient(
        arguments.host,
        arguments.port,
        head.encode() + body,
        arguments.connections,
        arguments.rate,
        arguments.seed,
    )

    def report(result: LoadClientReport) -> None:
        print(msgspec.json.encode(result).decode())
        reactor.stop()

    def begin() -> None:
        client.run(WARM_UP_SECONDS, arguments.seconds).addCallback(report)

    reactor.callWhenRunning(begin)
    reactor.run()
    sys.exit(ExitCode.OK)


if __name__ == "__main__":
    main()
