"""`python -m eiderpin` runs a dispatcher like `eiderpin run`, without importing the command line's modules.

With arguments, it is the command `eiderpin`.
"""

import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from eiderpin.cli import main

        main(prog_name="eiderpin")
    else:
        from eiderpin.service import main as run

        sys.exit(run())
