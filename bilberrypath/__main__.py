"""Entry point of ``python -m bilberrypath``."""

from bilberrypath.cli import main

if __name__ == "__main__":
    main()
