"""One dispatcher on sockets, as its configuration says."""

import os
import sys

from .net.start import main

if __name__ == "__main__":
    sys.exit(main(os.environ))
