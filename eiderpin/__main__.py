"""One real dispatcher: `python -m eiderpin`, configured by the file that GW_CONFIG names."""

import sys

from eiderpin.service import main

if __name__ == "__main__":
    sys.exit(main())
