"""`python -m eiderpin` is short for `eiderpin run`: one real dispatcher, without what the command line
needs."""

import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from eiderpin.cli import main

        main(prog_name="eiderpin")
    else:
        from eiderpin.service import main as run

        sys.exit(run())
