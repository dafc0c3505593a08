"""Hostile peers by hand, on loopback only.

python -m benchmarks.hostile attack 127.0.0.1:PORT ATTACK [--connections N] [--seconds S]
python -m benchmarks.hostile trial [ATTACK ...] [--connections N,N] [--memory-mb N,N] [--sockets N]

`attack` sends; `trial` starts a dispatcher, attacks it and exits with 1 if a promise was broken. Without
names all attacks are tried. Each prints JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import sys
from dataclasses import asdict

from benchmarks.hostile.attacks import ATTACKS
from benchmarks.hostile.engine import Engine
from benchmarks.hostile.trial import Trial, print_verdict, run_trial


def whole_numbers(text: str) -> list[int]:
    """Parse `1,700`."""
    return [int(item) for item in text.split(",")]


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="benchmarks.hostile")
    commands = parser.add_subparsers(dest="command", required=True)
    attack = commands.add_parser("attack")
    attack.add_argument("address")
    attack.add_argument("attack", choices=sorted(ATTACKS))
    attack.add_argument("--connections", type=int, default=1)
    attack.add_argument("--seconds", type=float, default=5.0)
    trial = commands.add_parser("trial")
    trial.add_argument("attacks", nargs="*", default=sorted(ATTACKS))
    trial.add_argument("--connections", type=whole_numbers, default=[1, 700])
    trial.add_argument("--memory-mb", type=whole_numbers, default=[64])
    trial.add_argument("--sockets", type=int, default=1024)
    trial.add_argument("--seconds", type=float, default=3.0)
    trial.add_argument("--results-bytes", type=int, default=10)
    return parser.parse_args()


def attack_address(args: argparse.Namespace) -> int:
    """Carry out one attack."""
    host, _, port = args.address.rpartition(":")
    if not host.startswith("127."):
        raise SystemExit("only addresses of this machine are attacked")
    engine = Engine(ATTACKS[args.attack], (host, int(port)), args.connections)
    print(json.dumps(asdict(engine.run(args.seconds))))
    return 0


def try_attacks(args: argparse.Namespace) -> int:
    """Try the attacks one after the other, each with all limits and numbers of connections."""
    broken = 0
    for name, connections, memory_mb in itertools.product(args.attacks, args.connections, args.memory_mb):
        trial = Trial(name, connections, memory_mb, args.sockets, args.seconds, args.results_bytes)
        verdict = asyncio.run(run_trial(trial))
        print_verdict(verdict)
        broken += bool(verdict.violations)
    return 1 if broken else 0


def main() -> int:
    """Run the command that the arguments name."""
    args = parse_arguments()
    return attack_address(args) if args.command == "attack" else try_attacks(args)


if __name__ == "__main__":
    sys.exit(main())
